"""The admission level of a target: what callers should not send at the moment."""

from __future__ import annotations

from dataclasses import dataclass

from .importance import Importance

WINDOW_S = 0.1
"""Seconds between changes of the level."""

FALL_STEP = 0.05
"""Fall of the level per window without refusals for load: one importance in 2 s."""

MAX_FRACTION = 0.9
"""Largest refused fraction of the highest importance; the rest keeps the level measurable."""

TOP = int(max(Importance)) + MAX_FRACTION


@dataclass(frozen=True, slots=True)
class AdmissionLevel:
    """Calls below `importance` are refused, and the `fraction` of calls of that importance."""

    importance: Importance = Importance.SHEDDABLE
    fraction: float = 0.0

    @property
    def is_open(self) -> bool:
        """Return whether no call is refused."""
        return self.importance == min(Importance) and self.fraction <= 0.0


OPEN = AdmissionLevel()


class LevelController:
    """Derives the level from the calls offered and refused in each window.

    The level applies to all organisations alike. Refusals that hit a single organisation therefore
    do not raise it: they are the correction of a surge, which the fair queue handles.
    """

    def __init__(self) -> None:
        self.level = OPEN
        self._position = 0.0
        self._opened = 0.0
        self._offered = [0] * len(Importance)
        self._refused_by_organisation: dict[str, int] = {}

    def on_offer(self, importance: Importance, now: float) -> None:
        """Count a call that arrived at the target."""
        if now - self._opened >= WINDOW_S:
            self.close_window(now)
        self._offered[importance] += 1

    def on_refusal(self, organisation: str) -> None:
        """Count a refusal for load."""
        counts = self._refused_by_organisation
        counts[organisation] = counts.get(organisation, 0) + 1

    def close_window(self, now: float) -> None:
        """Adjust the level; windows that passed without a call count as free of refusals."""
        windows = max(1, int((now - self._opened) / WINDOW_S))
        counts = self._refused_by_organisation
        excess = sum(counts.values()) - max(counts.values()) if counts else 0
        if excess:
            self._raise(float(excess))
        elif self._position:
            self._position = max(0.0, self._position - FALL_STEP * windows)
        self._opened = now
        self._offered = [0] * len(Importance)
        self._refused_by_organisation = {}
        self.level = self._as_level()

    def _raise(self, excess: float) -> None:
        """Move the level up until the calls below it make up the excess."""
        while excess > 0.0 and self._position < TOP:
            index = int(self._position)
            fraction = self._position - index
            # Callers already hold back `fraction`; what arrived is the rest of the demand.
            demand = self._offered[index] / max(1.0 - fraction, 1.0 - MAX_FRACTION)
            room = demand * (1.0 - fraction)
            if excess < room:
                self._position += excess / demand
                break
            excess -= room
            self._position = float(index + 1)
        self._position = min(self._position, TOP)

    def _as_level(self) -> AdmissionLevel:
        index = int(self._position)
        return AdmissionLevel(Importance(index), self._position - index)
