"""Interface of the random source that is passed to decision code."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol
from typing import TypeVar

T = TypeVar("T")


class RandomSource(Protocol):
    """Subset of the methods of `random.Random`."""

    def random(self) -> float:
        """Return a random float in [0, 1)."""

    def uniform(self, a: float, b: float) -> float:
        """Return a random float between a and b."""

    def randrange(self, start: int, stop: int) -> int:
        """Return a random integer in [start, stop)."""

    def choice(self, seq: Sequence[T]) -> T:
        """Return a random element of a non-empty sequence."""

    def sample(self, population: Sequence[T], k: int) -> list[T]:
        """Return k distinct elements, chosen at random."""

    def getrandbits(self, k: int) -> int:
        """Return an integer with k random bits."""


def jittered(base_s: float, source: RandomSource) -> float:
    """Return a delay in seconds between `base_s` and twice `base_s`.

    Jitter prevents callers that were refused at the same time from retrying at the same time.
    """
    return base_s * (1.0 + source.random())
