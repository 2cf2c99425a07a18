"""Division of a contract's figures over zones."""

from __future__ import annotations

from collections.abc import Mapping
from collections.abc import Sequence
from fractions import Fraction
from math import log
from typing import NamedTuple

from .lease_rows import hash64
from .quota_messages import Account


class ZoneShare(NamedTuple):
    """The part of a contract that one zone grants."""

    rate_per_s: int
    burst: int


TOKENS_PER_ZONE = 8
"""Smallest burst share worth a holder of its own.

With a few tokens per zone, tokens in use or granted in advance in one zone are refusals in another.
"""


def home_zones(
    account: Account, rate_per_s: int, burst: int, weights: Mapping[str, int]
) -> list[str]:
    """Return the zones that a contract is divided over: few for a small one, at least one.

    Weighted rendezvous hashing: zones are chosen in proportion to their weights, a larger contract
    adds zones to those of a smaller one, and the loss of one zone moves only what it had.
    """
    zones = [zone for zone, weight in weights.items() if weight > 0]
    count = max(1, min(burst // TOKENS_PER_ZONE, rate_per_s))

    def score(zone: str) -> tuple[float, str]:
        draw = (hash64("\n".join((*account, zone))) + 0.5) / 2**64
        return log(draw) / weights[zone], zone

    return sorted(sorted(zones, key=score, reverse=True)[:count])


def contract_shares(
    account: Account, rate_per_s: int, burst: int, weights: Mapping[str, int]
) -> dict[str, ZoneShare]:
    """Return the shares of a contract; a zone that is not named has none.

    `weights` names every zone of the profile. Nothing but the configuration decides.
    """
    zones = home_zones(account, rate_per_s, burst, weights)
    if not zones:
        return {}
    rates, bursts = zone_shares(rate_per_s, zones, weights), zone_shares(burst, zones, weights)
    return {zone: ZoneShare(rates[zone], bursts[zone]) for zone in zones}


def zone_shares(total: int, zones: Sequence[str], weights: Mapping[str, int]) -> dict[str, int]:
    """Return whole shares by zone that sum to `total`; a missing weight counts as 1.

    Zones and weights come from the configuration, never from the live members: zones that divide
    by different views would together hand out more than the total. Seats go to the highest
    average (D'Hondt). This keeps every share from falling when the total rises, so zones that
    apply a change of the total at different times never exceed the larger of the two totals.
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
        winner = max(shares, key=lambda zone: Fraction(weight_by_zone[zone], shares[zone] + 1))
        shares[winner] += 1
    return shares
