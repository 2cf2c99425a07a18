"""Graceful stop of a node and of a target."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

MIN_LINGER_S = 3.0
"""Time for which a stopped node still answers, so that every sender learns of the stop."""

DRAIN_LIMIT_S = 30.0
"""Longest wait for running calls; above the longest deadline of a call."""


class DrainState(StrEnum):
    """Where the stop of a node stands."""

    SERVING = "serving"
    LEAVING = "leaving"
    LINGERING = "lingering"
    CLOSED = "closed"


class TargetState(StrEnum):
    """Whether a target gets calls."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class StopRequested:
    """The node has been asked to stop, or the target has announced that it drains."""


@dataclass(frozen=True, slots=True)
class RunningCalls:
    """The number of calls that run now; reported after each change while draining."""

    count: int


@dataclass(frozen=True, slots=True)
class Tick:
    """The time of `wake_at` has come."""


@dataclass(frozen=True, slots=True)
class TargetLost:
    """The target refuses connections or has stopped announcing itself."""


@dataclass(frozen=True, slots=True)
class TargetStarted:
    """A target has announced itself as ready with this incarnation."""

    incarnation: int


DrainEvent = StopRequested | RunningCalls | Tick
TargetEvent = StopRequested | RunningCalls | Tick | TargetLost | TargetStarted


@dataclass(frozen=True, slots=True)
class RefuseNew:
    """Refuse new calls as not-run; nested calls of running calls are still admitted."""


@dataclass(frozen=True, slots=True)
class AnnounceLeaving:
    """Spread by gossip that the node or the target gets no new calls."""


@dataclass(frozen=True, slots=True)
class SendDrainOnLinks:
    """Send `drain` on every open link."""


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close idle connections whose last response carried `Connection: close`."""


@dataclass(frozen=True, slots=True)
class Exit:
    """Release the quota slots, then close the listeners and end the process."""


DrainAction = RefuseNew | AnnounceLeaving | SendDrainOnLinks | CloseIdleConnections | Exit


class Drain:
    """The stop of one node: serving, leaving, lingering, closed.

    The node leaves until no call runs or the drain limit has passed, and then lingers. A caller
    that has not heard of the stop may still send a call while the node lingers; the node ends only
    after that call, or at the limit.
    """

    def __init__(self, linger_s: float = MIN_LINGER_S, limit_s: float = DRAIN_LIMIT_S) -> None:
        self.state = DrainState.SERVING
        self._linger_s = max(linger_s, MIN_LINGER_S)
        self._limit_s = limit_s
        self._running = 0
        self._wake_at: float | None = None
        self._limit_at = 0.0
        self._linger_until = 0.0

    @property
    def wake_at(self) -> float | None:
        """Time at which the node must deliver `Tick`; None where no timer is needed."""
        return self._wake_at

    def handle(self, event: DrainEvent, now: float) -> list[DrainAction]:
        """Return the actions that follow from an event."""
        if isinstance(event, RunningCalls):
            self._running = event.count
        match self.state:
            case DrainState.SERVING if isinstance(event, StopRequested):
                return self._leave(now)
            case DrainState.LEAVING if self._running == 0 or self._is_due(now):
                return self._linger(now)
            case DrainState.LINGERING:
                return self._exit_if_finished(now)
        return []

    def _leave(self, now: float) -> list[DrainAction]:
        self.state = DrainState.LEAVING
        self._wake_at = self._limit_at = now + self._limit_s
        actions: list[DrainAction] = [RefuseNew(), AnnounceLeaving(), SendDrainOnLinks()]
        return actions + (self._linger(now) if self._running == 0 else [])

    def _linger(self, now: float) -> list[DrainAction]:
        self.state = DrainState.LINGERING
        self._wake_at = self._linger_until = now + self._linger_s
        return [CloseIdleConnections()]

    def _exit_if_finished(self, now: float) -> list[DrainAction]:
        if now < self._linger_until:
            return []
        if self._running and now < self._limit_at:
            self._wake_at = self._limit_at
            return []
        self.state = DrainState.CLOSED
        self._wake_at = None
        return [CloseIdleConnections(), Exit()]

    def _is_due(self, now: float) -> bool:
        return self._wake_at is not None and now >= self._wake_at


class TargetDrain:
    """The stop of one target as its node sees it: ready, draining, gone.

    A target that drains becomes ready again only with a higher incarnation, because an
    announcement from before the drain can arrive late.
    """

    def __init__(self, incarnation: int, limit_s: float = DRAIN_LIMIT_S) -> None:
        self.state = TargetState.READY
        self.incarnation = incarnation
        self._limit_s = limit_s
        self._running = 0
        self._wake_at: float | None = None

    @property
    def wake_at(self) -> float | None:
        """Time at which the node must deliver `Tick`; None where no timer is needed."""
        return self._wake_at

    def handle(self, event: TargetEvent, now: float) -> list[DrainAction]:
        """Return the actions that follow from an event."""
        match event:
            case RunningCalls(count):
                self._running = count
            case TargetStarted(incarnation) if incarnation > self.incarnation:
                self.incarnation = incarnation
                self.state = TargetState.READY
                self._running = 0
                self._wake_at = None
                return []
            case TargetLost() if self.state is TargetState.READY:
                return [RefuseNew(), AnnounceLeaving(), *self._end()]
            case TargetLost() if self.state is TargetState.DRAINING:
                return self._end()
            case StopRequested() if self.state is TargetState.READY:
                self.state = TargetState.DRAINING
                self._wake_at = now + self._limit_s
                return [RefuseNew(), AnnounceLeaving(), *self._end_if_finished(now)]
        return self._end_if_finished(now)

    def _end_if_finished(self, now: float) -> list[DrainAction]:
        if self.state is not TargetState.DRAINING:
            return []
        due = self._wake_at is not None and now >= self._wake_at
        return self._end() if self._running == 0 or due else []

    def _end(self) -> list[DrainAction]:
        self.state = TargetState.GONE
        self._wake_at = None
        return [CloseIdleConnections()]
