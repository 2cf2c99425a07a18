"""Messages between borrowers and holders of quota."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

GRANT_LIFETIME_S = 1.0
"""Lifetime of a grant; it starts at the request for the borrower, at the grant for the holder."""


class Account(NamedTuple):
    """One organisation under one profile; each pair has its own quota."""

    profile: str
    organisation: str


@dataclass(frozen=True, slots=True)
class Settlement:
    """Cumulative counts of the tokens of one grant that the borrower can no longer spend.

    Because the counts are cumulative, settlements may be repeated or reordered.
    """

    request_id: str
    spent: int
    returned: int


@dataclass(frozen=True, slots=True)
class TokenRequest:
    """A token request: `needed` counts waiting calls, `wanted` also includes the prefetch.

    `request_id` is unique over all borrowers and their restarts.
    """

    borrower: str
    request_id: str
    account: Account
    needed: int
    wanted: int
    settlements: tuple[Settlement, ...] = ()


@dataclass(frozen=True, slots=True)
class TokensGranted:
    """Granted tokens; the borrower may spend them until 1 s after it sent the request.

    The holder must not send the reply before `ready_at`, a time of its clock in seconds, because
    the tokens accrue only until then.
    """

    request_id: str
    tokens: int
    epoch: int
    ready_at: float = float("-inf")


@dataclass(frozen=True, slots=True)
class TokensDenied:
    """No tokens were granted; some may be available after `retry_after_s` seconds."""

    request_id: str
    retry_after_s: float
