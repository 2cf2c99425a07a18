"""The admission level of a target: what callers should not send at the moment."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from ..calls.importance import Importance

WINDOW_S = 0.1
"""Seconds between changes of the level."""

REFUSED_SHARE = 0.2
"""Part of the offered calls whose refusal at the target leaves the level unchanged.

The level is learned late and applies to all organisations alike; the queue of the target is exact.
The level therefore lets through somewhat more than the target runs, and no slot stays empty.
"""

RISE_STEP = 0.15
"""Largest rise of the level per window.

Refusals arrive a queue delay after their calls and callers learn the level a response later, so
that a larger rise overshoots: a level set from one window alone jumped from 0.3 to 3.9.
"""

FALL_STEP = 0.1
"""Fall of the level by the first window without refusals; each further one falls by this more.

The whole range takes 0.9 s, so that the level does not delay the recovery, while one window that is
free of refusals by chance hardly changes it.
"""

MAX_FRACTION = 0.9
"""Largest refused fraction of the highest importance; the rest keeps the level measurable."""


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
    """Moves the level towards a fixed part of refused calls, window by window.

    The level applies to all organisations alike. Refusals that hit a single organisation therefore
    do not raise it: they are the correction of a surge, which the fair queue handles.
    """

    def __init__(self) -> None:
        self.level = OPEN
        self._position = 0.0
        self._opened = 0.0
        self._calm_windows = 0
        self._highest_refused = min(Importance)
        self._offered_by_organisation: Counter[str] = Counter()
        self._refused_by_organisation: Counter[str] = Counter()

    def on_offer(self, organisation: str, now: float) -> None:
        """Count a call that arrived at the target."""
        if now - self._opened >= WINDOW_S:
            self.close_window(now)
        self._offered_by_organisation[organisation] += 1

    def on_refusal(self, organisation: str, importance: Importance) -> None:
        """Count a refusal for load."""
        self._refused_by_organisation[organisation] += 1
        self._highest_refused = max(self._highest_refused, importance)

    def close_window(self, now: float) -> None:
        """Adjust the level; windows that passed without a call count as free of refusals."""
        windows = max(1, int((now - self._opened) / WINDOW_S))
        share = self._refused_share()
        self._calm_windows = 0 if share else self._calm_windows + windows
        step = self._step(share)
        if step > 0.0:
            # The queue refuses by importance: what is more important than the refused calls fits.
            top = max(self._position, self._highest_refused + MAX_FRACTION)
            step = min(step, top - self._position)
        self._position = max(0.0, self._position + step)
        self._opened = now
        self._offered_by_organisation.clear()
        self._refused_by_organisation.clear()
        self._highest_refused = min(Importance)
        self.level = self._as_level()

    def _refused_share(self) -> float:
        """Return the refused part of the calls, without the organisation refused most."""
        refused = self._refused_by_organisation
        if len(refused) < 2:
            return 0.0
        largest, count = refused.most_common(1)[0]
        excess = refused.total() - count
        offered = self._offered_by_organisation.total() - self._offered_by_organisation[largest]
        # Calls refused now may have been offered in an earlier window.
        return excess / max(offered, excess)

    def _step(self, share: float) -> float:
        if share > REFUSED_SHARE:
            return RISE_STEP * (share - REFUSED_SHARE) / (1.0 - REFUSED_SHARE)
        if share:
            return -FALL_STEP * (1.0 - share / REFUSED_SHARE)
        return -FALL_STEP * self._calm_windows

    def _as_level(self) -> AdmissionLevel:
        index = int(self._position)
        return AdmissionLevel(Importance(index), self._position - index)
