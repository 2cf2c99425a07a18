"""Claims non-idempotent calls in the platform's table, so that each runs at most once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence
from time import monotonic
from typing import Any
from typing import Protocol

from pollenglade_core.calls.outcome import Outcome
from pollenglade_core.calls.outcome import Reason
from pollenglade_core.calls.outcome import Refusal
from pollenglade_core.claims.claim_messages import Answer
from pollenglade_core.claims.claim_messages import AnswerLost
from pollenglade_core.claims.claim_messages import ClaimAbsent
from pollenglade_core.claims.claim_messages import ClaimAction
from pollenglade_core.claims.claim_messages import ClaimEvent
from pollenglade_core.claims.claim_messages import ClaimExists
from pollenglade_core.claims.claim_messages import ClaimInserted
from pollenglade_core.claims.claim_messages import DeadlinePassed
from pollenglade_core.claims.claim_messages import InsertClaim
from pollenglade_core.claims.claim_messages import OutcomeUnknown
from pollenglade_core.claims.claim_messages import PlatformUnavailable
from pollenglade_core.claims.claim_messages import ReadClaim
from pollenglade_core.claims.claim_messages import RecordLost
from pollenglade_core.claims.claim_messages import RecordWritten
from pollenglade_core.claims.claim_messages import RepeatArrived
from pollenglade_core.claims.claim_messages import SendOnce
from pollenglade_core.claims.claim_messages import TargetNotRun
from pollenglade_core.claims.claim_messages import TargetResponded
from pollenglade_core.claims.claim_row import ClaimRow
from pollenglade_core.claims.claim_row import InvalidRow
from pollenglade_core.claims.claim_row import RecordedResponse
from pollenglade_core.claims.claim_row import RowState
from pollenglade_core.claims.claim_row import hash_idempotency_key
from pollenglade_core.claims.claims import ClaimMachine
from pollenglade_core.randomness import RandomSource
from pollenglade_net import platform_api
from pollenglade_net.http_message import Headers
from pollenglade_net.platform_api import Row
from pollenglade_net.platform_api import RowWritten
from pollenglade_net.platform_api import Table
from pollenglade_net.platform_api import Unavailable
from pollenglade_net.platform_api import VersionConflict

from .entry.entry_call import EntryCall

ClaimKey = tuple[str, str]
"""Organisation and hash of the idempotency key; identifies a claim."""

CLAIM_TOPIC = "claim-status"

OWNER_REPLY_TIMEOUT_S = 0.25
"""Longest wait for a reply from the node that owns a claim.

Without a reply the owner is assumed to run the call.
"""

STATUS_RUNNING = "running"
STATUS_IDLE = "idle"


class QuerySender(Protocol):
    """Sends queries to other nodes."""

    def query_node(
        self, node: str, topic: str, payload: object, callback: Callable[[object], None]
    ) -> None:
        """Send a query to a node; `callback` receives the reply, or None if there is none."""


class ClaimService:
    """Owns the claim machines of an entry node.

    `process` identifies this process as `<node>/<incarnation>`. `is_alive` returns whether the
    process with such an identifier may still run.
    """

    def __init__(
        self,
        process: str,
        table: Table,
        is_alive: Callable[[str], bool],
        querier: QuerySender,
        source: RandomSource,
    ) -> None:
        self.process = process
        self.table = table
        self._is_alive = is_alive
        self._querier = querier
        self._source = source
        self._loop = asyncio.get_running_loop()
        self._tasks: set[asyncio.Task[None]] = set()
        self._runs_by_claim_key: dict[ClaimKey, _ClaimRun] = {}

    def claim_and_run(self, call: EntryCall, idempotency_key: bytes) -> None:
        """Claim the call, then run it or answer it from the recorded claim.

        A repeat that arrives while the claim is open at this node is answered at once.
        """
        key_hash = hash_idempotency_key(idempotency_key.decode("latin-1"))
        claim_key = (call.context.organisation, key_hash)
        open_run = self._runs_by_claim_key.get(claim_key)
        if open_run is not None:
            open_run.answer_repeat(call)
            return
        row = ClaimRow(
            call.context.organisation,
            key_hash,
            call.context.call_id,
            call.context.fingerprint,
            self.process,
        )
        machine = ClaimMachine(row, call.context.call_id, call.context.deadline, self._source)
        run = _ClaimRun(self, claim_key, machine, call)
        self._runs_by_claim_key[claim_key] = run
        run.start()

    async def is_owner_running(self, row: ClaimRow | InvalidRow) -> bool:
        """Return whether the process that claimed a row may still run the call.

        A row stays `claimed` if its owner failed to record the outcome, so its state alone does not
        tell; the owner is queried.
        """
        if isinstance(row, InvalidRow) or row.state is not RowState.CLAIMED:
            return False
        if row.entry_node == self.process:
            # The run that asks has another attempt id, and a process has one run per claim, so the
            # run of the row has ended.
            return False
        if not self._is_alive(row.entry_node):
            return False
        replied: asyncio.Future[object] = self._loop.create_future()

        def on_reply(reply: object) -> None:
            if not replied.done():
                replied.set_result(reply)

        node = row.entry_node.rpartition("/")[0]
        payload = [row.organisation, row.key_hash, row.entry_node]
        self._querier.query_node(node, CLAIM_TOPIC, payload, on_reply)
        try:
            async with asyncio.timeout(OWNER_REPLY_TIMEOUT_S):
                return await replied != STATUS_IDLE
        except TimeoutError:
            return True

    def reply_status(self, payload: object, reply: Callable[[object], None]) -> None:
        """Reply to a `claim-status` query whether this process still runs a claim.

        The payload holds the organisation, the key hash and the process in the row. The reply to a
        malformed query is None.
        """
        if not isinstance(payload, list) or len(payload) != 3:
            reply(None)
            return
        organisation, key_hash, process = payload
        running = process == self.process and (organisation, key_hash) in self._runs_by_claim_key
        reply(STATUS_RUNNING if running else STATUS_IDLE)

    def remove_run(self, claim_key: ClaimKey) -> None:
        """Remove the run of a claim that needs no further operation."""
        self._runs_by_claim_key.pop(claim_key, None)

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in a task that `close` cancels."""
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @property
    def is_busy(self) -> bool:
        """Whether a claim still needs an operation of the platform."""
        return bool(self._runs_by_claim_key)

    async def close(self) -> None:
        """Cancel the remaining tasks."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.sleep(0)


class _ClaimRun:
    """Carries out the actions of one claim machine."""

    def __init__(
        self, service: ClaimService, claim_key: ClaimKey, machine: ClaimMachine, call: EntryCall
    ) -> None:
        self._service = service
        self._claim_key = claim_key
        self._machine = machine
        self._call = call
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the deadline timer and the first operation of the claim."""
        loop = asyncio.get_running_loop()
        remaining_s = self._call.context.remaining_s(monotonic())
        self._timer = loop.call_later(max(0.0, remaining_s), self._handle, DeadlinePassed())
        self._apply(self._machine.start(monotonic()))

    def answer_repeat(self, call: EntryCall) -> None:
        """Answer a repeat of the call that arrived while the claim is open at this node."""
        event = RepeatArrived(call.context.call_id, call.context.fingerprint)
        for action in self._machine.handle(event, monotonic()):
            if isinstance(action, Answer):
                _deliver_answer(call, action)

    def _handle(self, event: ClaimEvent) -> None:
        self._apply(self._machine.handle(event, monotonic()))

    def _apply(self, actions: Sequence[ClaimAction]) -> None:
        for action in actions:
            if isinstance(action, Answer):
                _deliver_answer(self._call, action)
            elif isinstance(action, SendOnce):
                self._send()
            elif isinstance(action, ReadClaim):
                self._service.spawn(self._read_row(action))
            else:
                self._service.spawn(
                    self._write_row(
                        action.row,
                        action.operation_id,
                        action.expected_version,
                        is_insert=isinstance(action, InsertClaim),
                    )
                )
        if self._machine.closed:
            if self._timer is not None:
                self._timer.cancel()
            self._service.remove_run(self._claim_key)

    def _send(self) -> None:
        if not self._call.is_open:
            detail = "the caller left before the call was sent"
            self._handle(TargetNotRun(Refusal(Reason.CANCELLED, detail=detail)))
            return
        if not self._machine.permit_send(monotonic()):
            self._handle(DeadlinePassed())
            return
        self._call.ignores_cancellation = True
        self._call.on_result = self._on_result
        self._call.run()

    def _on_result(
        self, status: int, headers: Headers, body: bytes, refusal: Refusal | None
    ) -> None:
        if refusal is None:
            pairs = tuple(
                (name.decode("latin-1"), value.decode("latin-1")) for name, value in headers
            )
            self._handle(TargetResponded(RecordedResponse(status, pairs, body)))
        elif refusal.outcome is Outcome.NOT_RUN:
            self._handle(TargetNotRun(refusal))
        else:
            self._handle(OutcomeUnknown(refusal))

    async def _read_row(self, action: ReadClaim) -> None:
        if action.after_s > 0.0:
            await asyncio.sleep(action.after_s)
        result = await self._service.table.read(action.name)
        if isinstance(result, Row):
            self._handle(await self._claim_exists_event(result))
        elif isinstance(result, Unavailable):
            self._handle(PlatformUnavailable())
        else:
            self._handle(ClaimAbsent())

    async def _claim_exists_event(self, row: Row) -> ClaimExists:
        value = row.value if isinstance(row.value, dict) else {}
        claim = ClaimRow.from_wire(value)
        running = await self._service.is_owner_running(claim)
        if not running and isinstance(claim, ClaimRow) and claim.state is RowState.CLAIMED:
            # The owner may have recorded the outcome between the read and its reply.
            reread = await self._service.table.read(row.name)
            if isinstance(reread, Row) and reread.version > row.version:
                return await self._claim_exists_event(reread)
        return ClaimExists(claim, row.version, running)

    async def _write_row(
        self, row: ClaimRow, operation_id: str, expected_version: int, is_insert: bool
    ) -> None:
        result = await self._service.table.write(
            row.name, row.to_wire(), expected_version, operation_id
        )
        if isinstance(result, RowWritten):
            self._handle(ClaimInserted(result.version) if is_insert else RecordWritten())
        elif isinstance(result, VersionConflict):
            current = result.current
            self._handle(
                ClaimAbsent() if current is None else await self._claim_exists_event(current)
            )
        elif isinstance(result, platform_api.AnswerLost):
            self._handle(AnswerLost() if is_insert else RecordLost())
        else:
            self._handle(PlatformUnavailable())


def _deliver_answer(call: EntryCall, answer: Answer) -> None:
    call.ignores_cancellation = False
    call.on_result = None
    result = answer.result
    if isinstance(result, Refusal):
        call.finish_refused(result)
        return
    headers = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in result.headers]
    call.finish(result.status, headers, result.body or b"")
