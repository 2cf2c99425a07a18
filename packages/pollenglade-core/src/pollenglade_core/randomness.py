"""The random source that decisions take as a parameter."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol
from typing import TypeVar

T = TypeVar("T")


class RandomSource(Protocol):
    """The part of `random.Random` that decisions use."""

    def random(self) -> float:
        """Return a float in [0, 1)."""

    def uniform(self, a: float, b: float) -> float:
        """Return a float between a and b."""

    def randrange(self, start: int, stop: int) -> int:
        """Return an integer in [start, stop)."""

    def choice(self, seq: Sequence[T]) -> T:
        """Return one element of a non-empty sequence."""

    def sample(self, population: Sequence[T], k: int) -> list[T]:
        """Return k distinct elements."""

    def getrandbits(self, k: int) -> int:
        """Return an integer with k random bits."""


def jittered(base_s: float, source: RandomSource) -> float:
    """Return a delay in seconds between `base_s` and twice `base_s`.

    Jitter keeps callers that were refused together from returning together.
    """
    return base_s * (1.0 + source.random())
