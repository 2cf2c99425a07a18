"""Retry budget: bounds the retries that reach a service, summed over all nodes."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass

USED_FRACTION = 0.9
"""Fraction of the allowed retries that is used.

The rest covers retries that reach a service closer together than they were sent, and nested calls
of a retry beyond the learnt number.
"""

SLOTS_PER_WINDOW = 40
"""Number of parts of a window that are counted apart and leave the window one by one."""


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """Bounds on the retries within any `window_s` seconds.

    They are `ratio` retries for each request, plus `slack` retries over all nodes.
    """

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 48.0


@dataclass(slots=True)
class _Slot:
    """Requests and retries of one service in one part of a window."""

    number: int
    requests: float = 0.0
    retries: float = 0.0


class _ServiceWindow:
    """Requests and retries of one service in the current slot and in those of a window before it.

    It is longer than a window by less than a slot, so that no window has more retries.
    """

    def __init__(self) -> None:
        self._slots: deque[_Slot] = deque()
        self.requests = 0.0
        self.retries = 0.0

    def advance(self, number: int) -> None:
        """Remove the slots that have left the window at slot `number`."""
        slots = self._slots
        while slots and slots[0].number < number - SLOTS_PER_WINDOW:
            slot = slots.popleft()
            self.requests -= slot.requests
            self.retries -= slot.retries
        if not slots:
            # Sums of floats that were added and subtracted differ from 0.
            self.requests = self.retries = 0.0

    def add(self, number: int, requests: float = 0.0, retries: float = 0.0) -> None:
        """Add requests and retries to slot `number`, the latest one."""
        if not self._slots or self._slots[-1].number != number:
            self._slots.append(_Slot(number))
        slot = self._slots[-1]
        slot.requests += requests
        slot.retries += retries
        self.requests += requests
        self.retries += retries


class ServiceRetryBudgets:
    """Counts requests and retries by service, and permits retries within the bounds.

    The retries of each window are counted. A bucket of tokens that is full when failures begin and
    is refilled during them would permit more than the bounds in one window.

    The slack is divided equally among the nodes. A node that is `restarted` has none for one
    window, because the process before it may have used it up. A retry of a request with nested
    calls repeats those calls as well, so it is charged at every service in the call tree.
    """

    def __init__(self, bounds: RetryBounds, now: float, restarted: bool = False) -> None:
        self._bounds = bounds
        self._nodes = 1
        self._slack_from = now + bounds.window_s if restarted else now
        self._window_by_service: dict[str, _ServiceWindow] = {}

    def set_node_count(self, nodes: int) -> None:
        """Set the number of nodes among which the slack is divided."""
        self._nodes = max(1, nodes)

    def on_request(self, service: str, now: float) -> None:
        """Count the first attempt of a request, for which retries are permitted."""
        number = self._slot_number(now)
        self._window(service, number).add(number, requests=1.0)

    def try_debit(self, calls_by_service: Mapping[str, float], now: float) -> bool:
        """Charge one retry at all services that it calls, with the calls at each.

        Returns False and charges nothing if it would exceed the bounds of one service.
        """
        number = self._slot_number(now)
        windows = [
            (self._window(service, number), calls) for service, calls in calls_by_service.items()
        ]
        if any(window.retries + calls > self._limit(window, now) for window, calls in windows):
            return False
        for window, calls in windows:
            window.add(number, retries=calls)
        return True

    def charge(self, service: str, now: float) -> None:
        """Charge a retry that could not be prevented; the bounds may be exceeded."""
        number = self._slot_number(now)
        self._window(service, number).add(number, retries=1.0)

    def _limit(self, window: _ServiceWindow, now: float) -> float:
        slack = self._bounds.slack / self._nodes if now >= self._slack_from else 0.0
        return USED_FRACTION * (self._bounds.ratio * window.requests + slack)

    def _slot_number(self, now: float) -> int:
        return int(now * SLOTS_PER_WINDOW / self._bounds.window_s)

    def _window(self, service: str, number: int) -> _ServiceWindow:
        window = self._window_by_service.get(service)
        if window is None:
            window = self._window_by_service[service] = _ServiceWindow()
        window.advance(number)
        return window
