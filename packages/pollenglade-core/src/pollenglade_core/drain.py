"""State machines for the graceful stop of a node and of a target."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from math import inf

MIN_LINGER_S = 3.0
"""Least time for which a stopped node still responds, so that every sender learns of the stop."""

DRAIN_LIMIT_S = 30.0
"""Longest wait for running calls; it is longer than any call deadline."""


class DrainState(StrEnum):
    """Stages of the stop of a node."""

    SERVING = "serving"
    LEAVING = "leaving"
    LINGERING = "lingering"
    CLOSED = "closed"


class TargetState(StrEnum):
    """Whether a target receives calls."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The node was asked to stop (`Drain`), or the target announced its drain (`TargetDrain`)."""


@dataclass(frozen=True, slots=True)
class RunningCalls:
    """The current number of running calls; reported after each change while draining."""

    count: int


@dataclass(frozen=True, slots=True)
class Tick:
    """The time `wake_at` has been reached."""


@dataclass(frozen=True, slots=True)
class TargetLost:
    """The target refuses connections, or its announcements have stopped."""


@dataclass(frozen=True, slots=True)
class TargetStarted:
    """The target announced that it is ready, with this incarnation."""

    incarnation: int


DrainEvent = StopRequested | RunningCalls | Tick
TargetEvent = StopRequested | RunningCalls | Tick | TargetLost | TargetStarted


@dataclass(frozen=True, slots=True)
class RefuseNew:
    """Refuse new calls with outcome not-run; nested calls of running calls are still admitted."""


@dataclass(frozen=True, slots=True)
class AnnounceLeaving:
    """Announce by gossip that the node or the target accepts no new calls."""


@dataclass(frozen=True, slots=True)
class SendDrainOnLinks:
    """Send a drain message on every open link."""


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close the idle connections whose last response had the header `Connection: close`.

    After this header a client sends no further request on a connection, so that none is cut off.
    """


@dataclass(frozen=True, slots=True)
class Exit:
    """Release the quota slots, close the listeners and exit the process."""


DrainAction = RefuseNew | AnnounceLeaving | SendDrainOnLinks | CloseIdleConnections | Exit


class Drain:
    """State machine for the stop of a node: serving, leaving, lingering, closed.

    The node is leaving until no call runs or the drain limit has passed, and then lingers. A caller
    that has not learned of the stop may still send a call while the node lingers; the node exits
    only after that call has ended, or at the limit, and accepts none whose deadline lies behind
    `ends_at`. Times are in seconds on a monotonic clock.
    """

    def __init__(self, linger_s: float = MIN_LINGER_S, limit_s: float = DRAIN_LIMIT_S) -> None:
        self.state = DrainState.SERVING
        self._linger_s = max(linger_s, MIN_LINGER_S)
        self._limit_s = limit_s
        self._running_calls = 0
        self._wake_at: float | None = None
        self._drain_deadline = 0.0
        self._linger_until = 0.0
        self._ends_at = inf

    @property
    def wake_at(self) -> float | None:
        """Time at which the node must deliver `Tick`; None if no timer is needed."""
        return self._wake_at

    @property
    def ends_at(self) -> float:
        """Earliest time at which the node may exit although calls run; infinite while serving."""
        return self._ends_at

    def handle(self, event: DrainEvent, now: float) -> list[DrainAction]:
        """Process an event and return the resulting actions."""
        if isinstance(event, RunningCalls):
            self._running_calls = event.count
        match self.state:
            case DrainState.SERVING if isinstance(event, StopRequested):
                return self._start_leaving(now)
            case DrainState.LEAVING if self._running_calls == 0 or self._is_timer_due(now):
                return self._start_lingering(now)
            case DrainState.LINGERING:
                return self._exit_if_finished(now)
        return []

    def _start_leaving(self, now: float) -> list[DrainAction]:
        self.state = DrainState.LEAVING
        self._wake_at = self._drain_deadline = now + self._limit_s
        self._ends_at = now + max(self._limit_s, self._linger_s)
        actions: list[DrainAction] = [RefuseNew(), AnnounceLeaving(), SendDrainOnLinks()]
        return actions + (self._start_lingering(now) if self._running_calls == 0 else [])

    def _start_lingering(self, now: float) -> list[DrainAction]:
        self.state = DrainState.LINGERING
        self._wake_at = self._linger_until = now + self._linger_s
        return [CloseIdleConnections()]

    def _exit_if_finished(self, now: float) -> list[DrainAction]:
        if now < self._linger_until:
            return []
        if self._running_calls and now < self._drain_deadline:
            self._wake_at = self._drain_deadline
            return []
        self.state = DrainState.CLOSED
        self._wake_at = None
        return [CloseIdleConnections(), Exit()]

    def _is_timer_due(self, now: float) -> bool:
        return self._wake_at is not None and now >= self._wake_at


class TargetDrain:
    """State machine for the stop of a target, as its node sees it: ready, draining, gone.

    A draining target becomes ready again only with a higher incarnation, because an announcement
    that was sent before the drain can arrive late. Times are in seconds on a monotonic clock.
    """

    def __init__(self, incarnation: int, limit_s: float = DRAIN_LIMIT_S) -> None:
        self.state = TargetState.READY
        self.incarnation = incarnation
        self._limit_s = limit_s
        self._running_calls = 0
        self._wake_at: float | None = None

    @property
    def wake_at(self) -> float | None:
        """Time at which the node must deliver `Tick`; None if no timer is needed."""
        return self._wake_at

    def handle(self, event: TargetEvent, now: float) -> list[DrainAction]:
        """Process an event and return the resulting actions."""
        match event:
            case RunningCalls(count):
                self._running_calls = count
            case TargetStarted(incarnation) if incarnation > self.incarnation:
                self.incarnation = incarnation
                self.state = TargetState.READY
                self._running_calls = 0
                self._wake_at = None
                return []
            case TargetLost() if self.state is TargetState.READY:
                return [RefuseNew(), AnnounceLeaving(), *self._mark_gone()]
            case TargetLost() if self.state is TargetState.DRAINING:
                return self._mark_gone()
            case StopRequested() if self.state is TargetState.READY:
                self.state = TargetState.DRAINING
                self._wake_at = now + self._limit_s
                return [RefuseNew(), AnnounceLeaving(), *self._mark_gone_if_finished(now)]
        return self._mark_gone_if_finished(now)

    def _mark_gone_if_finished(self, now: float) -> list[DrainAction]:
        if self.state is not TargetState.DRAINING:
            return []
        is_timer_due = self._wake_at is not None and now >= self._wake_at
        return self._mark_gone() if self._running_calls == 0 or is_timer_due else []

    def _mark_gone(self) -> list[DrainAction]:
        self.state = TargetState.GONE
        self._wake_at = None
        return [CloseIdleConnections()]
