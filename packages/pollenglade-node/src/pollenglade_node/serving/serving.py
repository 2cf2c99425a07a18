"""The serving role: admits calls to the targets on this host and relays their responses."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from time import monotonic
from typing import Any

import structlog

from pollenglade_core.admission.admission import AdmissionAction
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
from pollenglade_net.connection_pool import ConnectionPool
from pollenglade_net.http_message import HttpFailure
from pollenglade_net.http_message import HttpRequest
from pollenglade_net.link_message import Feedback

from .serving_call import ServingCall
from .target import Target
from .target import TargetState

RETRY_AFTER_S = 0.5
"""Retry delay of a refusal, before jitter."""

CRASH_NOTICE_TIMEOUT_S = 0.25
"""Longest time that the end of a call waits for other nodes to acknowledge a crash notice."""

CRASH_PROBE_TIMEOUT_S = 0.25
CRASH_PROBE_DELAYS_S = (0.0, 0.05)
"""Delay before each probe of a target whose connection broke.

While a process exits, its listener can still accept for a moment after its connections broke,
so one probe is not enough.
"""

log = structlog.get_logger()

LimitFactory = Callable[[int], ConcurrencyLimit]
NoticeSender = Callable[[str, list[CrashNotice]], Coroutine[Any, Any, None]]


async def _discard_notices(service: str, notices: list[CrashNotice]) -> None:
    return None


class Serving:
    """Owns the targets on this host and the calls that run at them.

    `process` identifies this process in crash ids: the node name with its incarnation.
    """

    def __init__(
        self,
        process: str,
        handles: CallHandles,
        pool: ConnectionPool,
        limit_factory: LimitFactory,
        source: RandomSource,
        ledger: CrashLedger,
    ) -> None:
        self._process = process
        self.handles = handles
        self.pool = pool
        self.ledger = ledger
        self._limit_factory = limit_factory
        self._source = source
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._expiry_timer_by_target: dict[Target, asyncio.TimerHandle] = {}
        self._crash_probes_by_target: dict[Target, asyncio.Task[None]] = {}
        self.targets_by_address: dict[Address, Target] = {}
        self.calls_by_id: dict[str, ServingCall] = {}
        self.calls_by_handle: dict[str, ServingCall] = {}
        self.draining = False
        self.on_targets_changed: Callable[[], None] = lambda: None
        self._crash_count = 0
        self.notify: NoticeSender = _discard_notices

    def record_announcement(
        self, service: str, address: Address, slots: int, state: TargetState
    ) -> None:
        """Record the announcement of a target; remove the target if it announces `gone`."""
        now = monotonic()
        target = self.targets_by_address.get(address)
        if target is None or target.service != service:
            target = Target(service, address, slots, self._limit_factory(slots), self._source)
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
        """Remove ready targets whose last announcement is too old."""
        now = monotonic()
        for target in list(self.targets_by_address.values()):
            is_expired = target.state is TargetState.READY and not target.is_ready(now)
            if is_expired:
                target.state = TargetState.GONE
                self._remove(target)
                self.on_targets_changed()

    def _remove(self, target: Target) -> None:
        self.targets_by_address.pop(target.address, None)
        self.pool.close_idle(target.address)

    def ready_targets(self, service: str) -> list[Target]:
        """Return the targets of a service that accept new calls."""
        now = monotonic()
        targets = self.targets_by_address.values()
        return [item for item in targets if item.service == service and item.is_ready(now)]

    def run(self, context: CallContext, request: HttpRequest, sink: AttemptSink) -> ServingCall:
        """Admit, queue or refuse a call at the ready target with the fewest calls in flight."""
        targets = self.ready_targets(context.service)
        target = min(targets, key=lambda item: item.admission.in_flight) if targets else None
        call = ServingCall(self, target, context, request, sink)
        refusal = self._refusal_before_admission(context, target)
        if refusal is not None or target is None:
            call.refuse(refusal or self._refusal(Reason.NO_TARGET))
            return call
        self.calls_by_id[context.call_id] = call
        self.apply_actions(target, target.admission.offer(context, monotonic()))
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

    def apply_actions(self, target: Target, actions: list[AdmissionAction]) -> None:
        """Carry out the actions of an admission and schedule the expiry of its queued calls."""
        for action in actions:
            call = self.calls_by_id.get(action.call_id)
            if call is None:
                continue
            if isinstance(action, Admit):
                call.start()
            else:
                call.refuse(action.refusal)
        self._schedule_queue_expiry(target)

    def _schedule_queue_expiry(self, target: Target) -> None:
        if target in self._expiry_timer_by_target:
            return
        expiry = target.admission.next_expiry()
        if expiry is not None:
            delay_s = max(0.0, expiry - monotonic())
            self._expiry_timer_by_target[target] = self._loop.call_later(
                delay_s, self._expire_queued_calls, target
            )

    def _expire_queued_calls(self, target: Target) -> None:
        self._expiry_timer_by_target.pop(target, None)
        self.apply_actions(target, target.admission.expire(monotonic()))

    def feedback(
        self, target: Target | None, context: CallContext, target_s: float = 0.0
    ) -> Feedback:
        """Return the feedback that the entry node receives with the final message of a call.

        `target_s` is the time that the call ran at the target.
        """
        unspent = context.allowance.remaining
        if target is None:
            return Feedback(unspent)
        level = target.admission.level
        return Feedback(unspent, int(level.importance), level.fraction, target_s)

    def remove_call(self, call: ServingCall) -> None:
        """Remove a call that has ended."""
        self.calls_by_id.pop(call.context.call_id, None)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in a task that `close` cancels."""
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def report_broken_connection(self, target: Target) -> None:
        """Probe a target whose connection broke; if it crashed, notify the nodes of its service.

        Calls whose connections broke together share one probe. Each of them reports its failure
        only after this returns, so that a further attempt finds the crash recorded at all nodes.
        """
        probe = self._crash_probes_by_target.get(target)
        if probe is None:
            probe = self._loop.create_task(self._probe_crash(target))
            self._crash_probes_by_target[target] = probe
            probe.add_done_callback(lambda _: self._crash_probes_by_target.pop(target, None))
        await asyncio.shield(probe)

    async def _probe_crash(self, target: Target) -> None:
        if await self._accepts_connections(target):
            return
        if target.state is not TargetState.GONE:
            target.state = TargetState.GONE
            self._remove(target)
            self.on_targets_changed()
        self._crash_count += 1
        crash_id = f"{self._process}/{self._crash_count}"
        notices = self.ledger.on_target_crashed(str(target.address), crash_id, monotonic())
        log.warning("target_crashed", service=target.service, calls_in_flight=len(notices))
        await self.send_crash_notices(target.service, notices)

    async def _accepts_connections(self, target: Target) -> bool:
        for delay_s in CRASH_PROBE_DELAYS_S:
            await asyncio.sleep(delay_s)
            connection = await self.pool.connect(target.address, CRASH_PROBE_TIMEOUT_S)
            if isinstance(connection, HttpFailure):
                return False
            connection.abort()
        return True

    async def send_crash_notices(self, service: str, notices: list[CrashNotice]) -> None:
        """Send crash notices to the other nodes of a service.

        Return once all have replied, or after `CRASH_NOTICE_TIMEOUT_S`.
        """
        if not notices:
            return
        try:
            async with asyncio.timeout(CRASH_NOTICE_TIMEOUT_S):
                await self.notify(service, notices)
        except TimeoutError:
            return

    async def close(self) -> None:
        """Cancel the remaining timers, calls and tasks."""
        for timer in self._expiry_timer_by_target.values():
            timer.cancel()
        for call in list(self.calls_by_id.values()):
            call.cancel()
        for task in [*self._tasks, *self._crash_probes_by_target.values()]:
            task.cancel()
        await asyncio.sleep(0)
