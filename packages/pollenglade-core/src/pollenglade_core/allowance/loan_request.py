"""Order in which the holders of a limit are asked for the tokens that requests wait for.

Handles limits of a few requests per second in meshes of hundreds of nodes. Most requests then need
a loan, and each token that a node borrows beyond its need stays there unused, so that the limit is
spent while its requests are refused. One holder is asked first, for what is missing; only if it
lends too little, others are asked for the rest.
"""

from __future__ import annotations

from collections.abc import Sequence

from ..randomness import RandomSource

MAX_LENDERS = 5
"""Upper bound on the holders that are asked for one loan; each lends up to half of its tokens."""

ROUNDING_MARGIN = 1e-6
"""Tokens that are borrowed in addition, so that the sum of several loans is not just below one."""


def missing_tokens(waiting: int, tokens: float) -> float:
    """Return the tokens to borrow for waiting requests at a node that has some tokens.

    A request that waits although there are enough is not important enough for the last of them.
    """
    missing = waiting - tokens
    return missing + ROUNDING_MARGIN if missing > 0.0 else 1.0


class LoanRequest:
    """The lenders that are asked in turn until no more tokens are missing."""

    def __init__(self, lenders: Sequence[str], random_source: RandomSource) -> None:
        chosen = random_source.sample(lenders, min(MAX_LENDERS, len(lenders)))
        self._steps = [step for step in (chosen[1:], chosen[:1]) if step]

    def next_lenders(self) -> list[str]:
        """Return the lenders to ask in parallel now; empty if all have been asked."""
        return self._steps.pop() if self._steps else []
