"""Admission levels that an entry node learns from responses, to refuse calls at the source."""

from __future__ import annotations

from dataclasses import dataclass

from ..calls.importance import Importance
from ..randomness import RandomSource
from ..randomness import jittered
from .admission_level import AdmissionLevel

VALID_S = 1.0
"""Age at which a level is no longer used."""

PROBE_INTERVAL_S = 0.25
"""Least time between calls sent despite a level.

A target reports its level only with a response. Without probes the level would be refused at the
source until it expires, and all held-back load would then return at once.
"""

PRUNE_SIZE = 1_024
"""Number of kept levels from which expired ones are removed."""


@dataclass(slots=True)
class _Learned:
    level: AdmissionLevel
    valid_until: float
    next_probe: float


class SourceLevels:
    """Levels by node and service, valid for VALID_S after the response that carried them."""

    def __init__(self) -> None:
        self._learned_by_key: dict[tuple[str, str], _Learned] = {}
        self._prune_size = PRUNE_SIZE

    def __len__(self) -> int:
        return len(self._learned_by_key)

    def learn(
        self, node: str, service: str, level: AdmissionLevel, now: float, source: RandomSource
    ) -> None:
        """Store the level of a response received at `now`."""
        key = (node, service)
        if level.is_open:
            self._learned_by_key.pop(key, None)
            return
        learned = self._learned_by_key.get(key)
        if learned is not None:
            learned.level = level
            learned.valid_until = now + VALID_S
            return
        next_probe = now + jittered(PROBE_INTERVAL_S, source)
        self._learned_by_key[key] = _Learned(level, now + VALID_S, next_probe)
        if len(self._learned_by_key) > self._prune_size:
            self._prune(now)

    def refuses(
        self, node: str, service: str, importance: Importance, now: float, source: RandomSource
    ) -> bool:
        """Return whether a call need not be sent; it is sent regardless where a probe is due."""
        learned = self._learned_by_key.get((node, service))
        if learned is None or importance > learned.level.importance:
            return False
        if now >= learned.valid_until:
            del self._learned_by_key[node, service]
            return False
        at_boundary = importance == learned.level.importance
        if at_boundary and source.random() >= learned.level.fraction:
            return False
        if now < learned.next_probe:
            return True
        learned.next_probe = now + jittered(PROBE_INTERVAL_S, source)
        return False

    def _prune(self, now: float) -> None:
        self._learned_by_key = {
            key: learned
            for key, learned in self._learned_by_key.items()
            if now < learned.valid_until
        }
        self._prune_size = max(PRUNE_SIZE, 2 * len(self._learned_by_key))
