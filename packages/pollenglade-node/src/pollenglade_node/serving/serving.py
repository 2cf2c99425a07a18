"""The serving role: admits calls to the targets of this host and relays their responses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from time import monotonic
from typing import Any

import structlog

from pollenglade_core.admission.admission import Action
from pollenglade_core.admission.admission import Admit
from pollenglade_core.admission.limit import ConcurrencyLimit
from pollenglade_core.admission.quarantine import CrashLedger
from pollenglade_core.admission.quarantine import CrashNotice
from pollenglade_core.calls.call import CallContext
from pollenglade_core.calls.call_handles import CallHandles
from pollenglade_core.calls.outcome import Outcome
from pollenglade_core.calls.outcome import Reason
from pollenglade_core.calls.outcome import Refusal
from pollenglade_core.randomness import RandomSource
from pollenglade_core.randomness import jittered
from pollenglade_net.address import Address
from pollenglade_net.attempt import AttemptSink
from pollenglade_net.client_connection import ConnectionPool
from pollenglade_net.http_message import HttpFailure
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.link_message import Feedback

from .serving_call import ServingCall
from .target import Target
from .target import TargetState

RETRY_AFTER_S = 0.5
CRASH_NOTICE_TIMEOUT_S = 0.25
"""Time that a call waits for other nodes to acknowledge a crash notice."""

CRASH_PROBE_TIMEOUT_S = 0.25
CRASH_PROBE_DELAYS_S = (0.0, 0.05)
"""Pauses before the probes of a target whose connection broke.

While a process exits, its listener can still accept for a moment after its connections broke.
"""

log = structlog.get_logger()

LimitFactory = Callable[[int], ConcurrencyLimit]
Notify = Callable[[str, list[CrashNotice]], Coroutine[Any, Any, None]]


async def _notify_nobody(service: str, notices: list[CrashNotice]) -> None:
    return None


class Serving:
    """Owns the targets of this host and the calls that run at them."""

    def __init__(
        self,
        name: str,
        handles: CallHandles,
        pool: ConnectionPool,
        limit_of: LimitFactory,
        source: RandomSource,
        ledger: CrashLedger,
    ) -> None:
        self._name = name
        self.handles = handles
        self.pool = pool
        self.ledger = ledger
        self._limit_of = limit_of
        self._source = source
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer_by_target: dict[Target, asyncio.TimerHandle] = {}
        self._crash_probes_by_target: dict[Target, asyncio.Task[None]] = {}
        self.targets_by_address: dict[Address, Target] = {}
        self.calls_by_id: dict[str, ServingCall] = {}
        self.calls_by_handle: dict[str, ServingCall] = {}
        self.draining = False
        self.on_targets_changed: Callable[[], None] = lambda: None
        self._crashes = 0
        self.notify: Notify = _notify_nobody

    def announce(self, service: str, address: Address, slots: int, state: TargetState) -> None:
        """Take the announcement of a target."""
        now = monotonic()
        target = self.targets_by_address.get(address)
        if target is None or target.service != service:
            target = Target(service, address, slots, self._limit_of(slots), self._source)
            self.targets_by_address[address] = target
        changed = target.state is not state or not target.is_ready(now)
        target.slots = slots
        target.state = state
        target.announced_at = now
        if state is TargetState.GONE:
            self._remove(target)
        if changed:
            self.on_targets_changed()

    def expire_targets(self) -> None:
        """Forget targets that have stopped to announce themselves."""
        now = monotonic()
        for target in list(self.targets_by_address.values()):
            silent = target.state is TargetState.READY and not target.is_ready(now)
            if silent:
                target.state = TargetState.GONE
                self._remove(target)
                self.on_targets_changed()

    def _remove(self, target: Target) -> None:
        self.targets_by_address.pop(target.address, None)
        self.pool.drop_address(target.address)

    def ready_targets(self, service: str) -> list[Target]:
        """Return the targets of a service that take new calls."""
        now = monotonic()
        targets = self.targets_by_address.values()
        return [item for item in targets if item.service == service and item.is_ready(now)]

    def run(self, context: CallContext, request: HttpRequest, sink: AttemptSink) -> ServingCall:
        """Admit, queue or refuse a call."""
        targets = self.ready_targets(context.service)
        target = min(targets, key=lambda item: item.admission.in_flight) if targets else None
        call = ServingCall(self, target, context, request, sink)
        refusal = self._refusal_before_admission(context, target)
        if refusal is not None or target is None:
            call.refuse(refusal or self._refusal(Reason.NO_TARGET))
            return call
        self.calls_by_id[context.call_id] = call
        self.apply(target, target.admission.offer(context, monotonic()))
        return call

    def _refusal_before_admission(
        self, context: CallContext, target: Target | None
    ) -> Refusal | None:
        if self.draining:
            return self._refusal(Reason.DRAINING)
        if target is None:
            return self._refusal(Reason.NO_TARGET)
        if context.call_id in self.calls_by_id:
            return self._refusal(Reason.BAD_REQUEST, "the call id is in use")
        return self.ledger.check(context, monotonic(), self._source)

    def _refusal(self, reason: Reason, detail: str = "") -> Refusal:
        return Refusal(reason, Outcome.NOT_RUN, jittered(RETRY_AFTER_S, self._source), detail)

    def apply(self, target: Target, actions: list[Action]) -> None:
        """Carry out the actions of an admission and set the timer for its next expiry."""
        for action in actions:
            call = self.calls_by_id.get(action.call_id)
            if call is None:
                continue
            if isinstance(action, Admit):
                call.start()
            else:
                call.refuse(action.refusal)
        self._schedule_expiry(target)

    def _schedule_expiry(self, target: Target) -> None:
        if target in self._timer_by_target:
            return
        expiry = target.admission.next_expiry()
        if expiry is not None:
            delay_s = max(0.0, expiry - monotonic())
            self._timer_by_target[target] = self._loop.call_later(delay_s, self._expire, target)

    def _expire(self, target: Target) -> None:
        self._timer_by_target.pop(target, None)
        self.apply(target, target.admission.expire(monotonic()))

    def feedback(
        self, target: Target | None, context: CallContext, target_s: float = 0.0
    ) -> Feedback:
        """Return what the entry node is told with the final message of a call."""
        unspent = context.allowance.remaining
        if target is None:
            return Feedback(unspent)
        level = target.admission.level
        return Feedback(unspent, int(level.importance), level.fraction, target_s)

    def forget(self, call: ServingCall) -> None:
        """Remove a call that has ended."""
        self.calls_by_id.pop(call.context.call_id, None)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in a task that `close` cancels."""
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def report_break(self, target: Target) -> None:
        """Find out whether a target crashed, and tell the other nodes of its service.

        Calls that broke together share one probe. A call that broke is answered only after this
        has ended, so that a resend finds the crash on record everywhere.
        """
        probe = self._crash_probes_by_target.get(target)
        if probe is None:
            probe = self._loop.create_task(self._probe_crash(target))
            self._crash_probes_by_target[target] = probe
            probe.add_done_callback(lambda _: self._crash_probes_by_target.pop(target, None))
        await asyncio.shield(probe)

    async def _probe_crash(self, target: Target) -> None:
        if await self._accepts(target):
            return
        if target.state is not TargetState.GONE:
            target.state = TargetState.GONE
            self._remove(target)
            self.on_targets_changed()
        self._crashes += 1
        crash_id = f"{self._name}/{self._crashes}"
        notices = self.ledger.crash(str(target.address), crash_id, monotonic())
        log.warning("target_crashed", service=target.service, calls_in_flight=len(notices))
        await self.share(target.service, notices)

    async def _accepts(self, target: Target) -> bool:
        for delay_s in CRASH_PROBE_DELAYS_S:
            await asyncio.sleep(delay_s)
            connection = await self.pool.connect(target.address, CRASH_PROBE_TIMEOUT_S)
            if isinstance(connection, HttpFailure):
                return False
            connection.abort()
        return True

    async def share(self, service: str, notices: list[CrashNotice]) -> None:
        """Send crash notices to the other nodes of a service and wait for them for a short time."""
        if not notices:
            return
        try:
            async with asyncio.timeout(CRASH_NOTICE_TIMEOUT_S):
                await self.notify(service, notices)
        except TimeoutError:
            return

    async def close(self) -> None:
        """Cancel what is left."""
        for timer in self._timer_by_target.values():
            timer.cancel()
        for call in list(self.calls_by_id.values()):
            call.cancel()
        for task in [*self._tasks, *self._crash_probes_by_target.values()]:
            task.cancel()
        await asyncio.sleep(0)
