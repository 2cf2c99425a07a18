"""What borrowers and holders of quota tell each other."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

GRANT_LIFETIME_S = 1.0
"""Life of a grant: from the request at the borrower, from the grant at the holder."""


class Account(NamedTuple):
    """One organisation under one profile; quota belongs to the pair."""

    profile: str
    organisation: str


@dataclass(frozen=True, slots=True)
class Settlement:
    """Tokens of one grant that the borrower can no longer spend; counts are cumulative.

    Cumulative counts make a repeated or reordered settlement harmless.
    """

    request_id: str
    spent: int
    returned: int


@dataclass(frozen=True, slots=True)
class QuotaAsk:
    """A request for tokens: `needed` for waiting calls, `wanted` including the prefetch.

    `request_id` is unique over all borrowers and their restarts.
    """

    borrower: str
    request_id: str
    account: Account
    needed: int
    wanted: int
    settlements: tuple[Settlement, ...] = ()


@dataclass(frozen=True, slots=True)
class Granted:
    """Tokens that the borrower may spend until 1 s after it sent the request."""

    request_id: str
    tokens: int
    epoch: int


@dataclass(frozen=True, slots=True)
class Denied:
    """No tokens; `retry_after_s` is the time in seconds until some may be available."""

    request_id: str
    retry_after_s: float
