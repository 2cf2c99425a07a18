"""Division of a contract's rate and burst over zones."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from fractions import Fraction
from math import log
from typing import NamedTuple

from .lease_rows import hash64
from .quota_messages import Account


class ZoneShare(NamedTuple):
    """Rate and burst of a contract that one zone grants."""

    rate_per_s: int
    burst: int


MIN_BURST_PER_ZONE = 8
"""Smallest burst for which a zone gets its own share of a contract.

With only a few tokens per zone, calls are refused in one zone while another has spare tokens.
"""


def contract_zones(
    account: Account, rate_per_s: int, burst: int, weights: Mapping[str, int]
) -> list[str]:
    """Return the zones that share a contract: fewer for a small contract, but at least one.

    Zones of weight 0 get none. With weighted rendezvous hashing, zones are chosen in proportion to
    their weights, a larger contract adds zones to those of a smaller one, and the removal of a zone
    moves only the shares of that zone.
    """
    zones = [zone for zone, weight in weights.items() if weight > 0]
    count = max(1, min(burst // MIN_BURST_PER_ZONE, rate_per_s))

    def score(zone: str) -> tuple[float, str]:
        hash_fraction = (hash64("\n".join((*account, zone))) + 0.5) / 2**64
        return log(hash_fraction) / weights[zone], zone

    return sorted(sorted(zones, key=score, reverse=True)[:count])


def contract_shares(
    account: Account, rate_per_s: int, burst: int, weights: Mapping[str, int]
) -> dict[str, ZoneShare]:
    """Return the shares of a contract by zone; a zone that is not in the result has none.

    `weights` contains every zone of the profile. The result depends on the configuration only.
    """
    zones = contract_zones(account, rate_per_s, burst, weights)
    if not zones:
        return {}
    rates, bursts = apportion(rate_per_s, zones, weights), apportion(burst, zones, weights)
    return {zone: ZoneShare(rates[zone], bursts[zone]) for zone in zones}


def apportion(total: int, zones: Sequence[str], weights: Mapping[str, int]) -> dict[str, int]:
    """Return integer shares by zone that sum to `total`; a missing weight counts as 1.

    Zones and weights come from the configuration, never from the live members: with different views
    of the members, zones would together grant more than the total. The remainder is distributed by
    highest averages (D'Hondt method). No share falls when the total rises, so zones that apply a
    change of the total at different times never exceed the larger of the two totals.

    Raises ValueError for a negative total, missing or repeated zones and invalid weights.
    """
    if total < 0:
        raise ValueError(f"total must not be negative: {total}")
    if not zones or len(set(zones)) != len(zones):
        raise ValueError("zones must be distinct and not empty; name every zone once")
    weight_by_zone = {zone: weights.get(zone, 1) for zone in sorted(zones)}
    if min(weight_by_zone.values()) < 0 or not any(weight_by_zone.values()):
        raise ValueError("weights must not be negative, and one must be above 0")
    weight_sum = sum(weight_by_zone.values())
    shares = {zone: total * weight // weight_sum for zone, weight in weight_by_zone.items()}
    for _ in range(total - sum(shares.values())):
        next_zone = max(shares, key=lambda zone: Fraction(weight_by_zone[zone], shares[zone] + 1))
        shares[next_zone] += 1
    return shares
