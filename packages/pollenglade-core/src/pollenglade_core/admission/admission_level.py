"""Admission level of a target: which calls callers should refuse instead of sending them."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from ..calls.importance import Importance

WINDOW_S = 0.1
"""Interval in seconds between changes of the level."""

STEADY_REFUSED_FRACTION = 0.2
"""Fraction of the offered calls that the target refuses while the level stays unchanged.

Callers learn the level late and it applies to all organisations alike, whereas the queue of the
target is exact. The level therefore admits somewhat more calls than the target can run, so that no
slot stays empty.
"""

MAX_RISE_PER_WINDOW = 0.15
"""Largest rise of the level per window.

Calls are refused one queue delay after they arrive, and callers learn the level one response later,
so a larger rise overshoots: a level set from a single window jumped from 0.3 to 3.9.
"""

FALL_PER_WINDOW = 0.1
"""Fall of the level in the first window without refusals; grows by this value in each further one.

The level falls over its whole range in 0.9 s and so does not delay the recovery, while a single
window that has no refusals by chance hardly changes it.
"""

MAX_REFUSED_FRACTION = 0.9
"""Largest refused fraction of the highest refused importance.

The remaining calls reach the target, which needs them to adjust the level.
"""


@dataclass(frozen=True, slots=True)
class AdmissionLevel:
    """Threshold for refusing calls at their source.

    Calls below `importance` are refused, and so is the given `fraction`, from 0 to 1, of the calls
    of exactly that importance.
    """

    importance: Importance = Importance.SHEDDABLE
    fraction: float = 0.0

    @property
    def is_open(self) -> bool:
        """Whether the level refuses no calls."""
        return self.importance == min(Importance) and self.fraction <= 0.0


OPEN_LEVEL = AdmissionLevel()


class LevelController:
    """Adjusts the level in each window so that the target refuses a fixed fraction of its calls.

    The level applies to all organisations alike. Refusals of a single organisation therefore do not
    raise it: they result from a surge of that organisation, which the fair queue handles.
    """

    def __init__(self) -> None:
        self.level = OPEN_LEVEL
        # The level as one number: the integral part is the importance, the rest the fraction.
        self._numeric_level = 0.0
        self._window_started_at = 0.0
        self._windows_without_refusals = 0
        self._highest_refused = min(Importance)
        self._offered_by_organisation: Counter[str] = Counter()
        self._refused_by_organisation: Counter[str] = Counter()

    def on_offer(self, organisation: str, now: float) -> None:
        """Count a call that arrived at the target."""
        if now - self._window_started_at >= WINDOW_S:
            self.close_window(now)
        self._offered_by_organisation[organisation] += 1

    def on_refusal(self, organisation: str, importance: Importance) -> None:
        """Count a call that the target refused because of load."""
        self._refused_by_organisation[organisation] += 1
        self._highest_refused = max(self._highest_refused, importance)

    def close_window(self, now: float) -> None:
        """End the window and adjust the level.

        Windows that passed without a call count as windows without refusals.
        """
        windows = max(1, int((now - self._window_started_at) / WINDOW_S))
        refused_fraction = self._refused_fraction()
        self._windows_without_refusals = (
            0 if refused_fraction else self._windows_without_refusals + windows
        )
        change = self._level_change(refused_fraction)
        if change > 0.0:
            # The queue refuses the least important calls first, so the target has capacity for the
            # calls above the highest refused importance.
            max_level = max(self._numeric_level, self._highest_refused + MAX_REFUSED_FRACTION)
            change = min(change, max_level - self._numeric_level)
        self._numeric_level = max(0.0, self._numeric_level + change)
        self._window_started_at = now
        self._offered_by_organisation.clear()
        self._refused_by_organisation.clear()
        self._highest_refused = min(Importance)
        self.level = self._to_level()

    def _refused_fraction(self) -> float:
        """Return the fraction of calls refused, excluding the organisation with most refusals."""
        refused = self._refused_by_organisation
        if len(refused) < 2:
            return 0.0
        most_refused, count = refused.most_common(1)[0]
        refused_of_others = refused.total() - count
        offered_by_others = (
            self._offered_by_organisation.total() - self._offered_by_organisation[most_refused]
        )
        # Calls refused in this window may have been offered in an earlier one.
        return refused_of_others / max(offered_by_others, refused_of_others)

    def _level_change(self, refused_fraction: float) -> float:
        if refused_fraction > STEADY_REFUSED_FRACTION:
            return (
                MAX_RISE_PER_WINDOW
                * (refused_fraction - STEADY_REFUSED_FRACTION)
                / (1.0 - STEADY_REFUSED_FRACTION)
            )
        if refused_fraction:
            return -FALL_PER_WINDOW * (1.0 - refused_fraction / STEADY_REFUSED_FRACTION)
        return -FALL_PER_WINDOW * self._windows_without_refusals

    def _to_level(self) -> AdmissionLevel:
        index = int(self._numeric_level)
        return AdmissionLevel(Importance(index), self._numeric_level - index)
