"""Admission levels that an entry node learns from responses, to refuse calls at the source."""

from __future__ import annotations

from dataclasses import dataclass

from ..calls.importance import Importance
from ..randomness import RandomSource
from ..randomness import jittered
from .admission_level import AdmissionLevel

LEVEL_VALIDITY_S = 1.0
"""Age in seconds at which a level expires."""

MIN_TRIAL_INTERVAL_S = 0.25
"""Minimum interval in seconds between trial calls: calls sent although the level refuses them.

A target reports its level only with a response. Without trial calls all calls below the level
would be refused until it expires, and the whole load would then return at once.
"""

MIN_PRUNE_SIZE = 1_024
"""Minimum number of stored levels above which expired ones are removed."""


@dataclass(slots=True)
class _LearnedLevel:
    level: AdmissionLevel
    valid_until: float
    next_trial_at: float


class SourceLevels:
    """Levels by node and service, valid for LEVEL_VALIDITY_S after the latest response."""

    def __init__(self) -> None:
        self._learned_by_key: dict[tuple[str, str], _LearnedLevel] = {}
        self._next_prune_size = MIN_PRUNE_SIZE

    def __len__(self) -> int:
        return len(self._learned_by_key)

    def learn(
        self,
        node: str,
        service: str,
        level: AdmissionLevel,
        now: float,
        random_source: RandomSource,
    ) -> None:
        """Store the level from a response received at `now`."""
        key = (node, service)
        if level.is_open:
            self._learned_by_key.pop(key, None)
            return
        learned = self._learned_by_key.get(key)
        if learned is not None:
            learned.level = level
            learned.valid_until = now + LEVEL_VALIDITY_S
            return
        next_trial_at = now + jittered(MIN_TRIAL_INTERVAL_S, random_source)
        self._learned_by_key[key] = _LearnedLevel(level, now + LEVEL_VALIDITY_S, next_trial_at)
        if len(self._learned_by_key) > self._next_prune_size:
            self._prune(now)

    def should_refuse(
        self,
        node: str,
        service: str,
        importance: Importance,
        now: float,
        random_source: RandomSource,
    ) -> bool:
        """Return whether to refuse a call instead of sending it; False if a trial call is due."""
        learned = self._learned_by_key.get((node, service))
        if learned is None or importance > learned.level.importance:
            return False
        if now >= learned.valid_until:
            del self._learned_by_key[node, service]
            return False
        at_boundary = importance == learned.level.importance
        if at_boundary and random_source.random() >= learned.level.fraction:
            return False
        if now < learned.next_trial_at:
            return True
        learned.next_trial_at = now + jittered(MIN_TRIAL_INTERVAL_S, random_source)
        return False

    def _prune(self, now: float) -> None:
        self._learned_by_key = {
            key: learned
            for key, learned in self._learned_by_key.items()
            if now < learned.valid_until
        }
        self._next_prune_size = max(MIN_PRUNE_SIZE, 2 * len(self._learned_by_key))
