"""Call handles: opaque tokens with which a target makes nested calls without a key."""

from __future__ import annotations

from dataclasses import dataclass
from heapq import heapify
from heapq import heappop
from heapq import heappush

from ..configuration.profile import RequestRule
from ..randomness import RandomSource
from .call import MAX_DEPTH
from .call import CallContext
from .outcome import Reason
from .outcome import Refusal

HANDLE_BITS = 128
MAX_LIVE_HANDLES = 20_000
"""Limit of valid handles at one node.

It is far above the slots of a host, so that only leaked handles can reach it.
"""

HEAP_COMPACTION_SLACK = 64
"""Bound on revoked entries in the deadline heap, in addition to the number of valid handles.

The heap is rebuilt without revoked entries when it exceeds this bound.
"""


class CallHandles:
    """Issues and resolves the handles of the calls that run at one node.

    `source` must be cryptographically secure: anyone who guesses a handle can act for
    another organisation. ValueError is raised if `limit` is below 1.
    """

    def __init__(self, source: RandomSource, limit: int = MAX_LIVE_HANDLES) -> None:
        if limit < 1:
            raise ValueError("limit must be at least 1")
        self._source = source
        self._limit = limit
        self._context_by_handle: dict[str, CallContext] = {}
        self._deadline_heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._context_by_handle)

    def issue(self, context: CallContext) -> str:
        """Return a new handle of 32 hexadecimal digits for a call.

        At the limit, the handle with the earliest deadline is evicted. Handles of calls that ended
        without `revoke` are evicted first, because their deadlines have passed.
        """
        if len(self._context_by_handle) >= self._limit:
            self._evict_earliest()
        handle = self._unused_handle()
        self._context_by_handle[handle] = context
        heappush(self._deadline_heap, (context.deadline, handle))
        return handle

    def resolve(self, handle: str, now: float) -> CallContext | Refusal:
        """Return the context of a running call, or a refusal with reason `HANDLE_UNKNOWN`.

        A handle expires at the deadline of its call, even if it has not been revoked.
        """
        context = self._context_by_handle.get(handle)
        if context is None:
            return Refusal(Reason.HANDLE_UNKNOWN, detail="no running call has this handle")
        if context.remaining_s(now) <= 0.0:
            self.revoke(handle)
            return Refusal(Reason.HANDLE_UNKNOWN, detail="the deadline of the call has passed")
        return context

    def revoke(self, handle: str) -> None:
        """Invalidate a handle; an unknown handle is ignored."""
        self._context_by_handle.pop(handle, None)
        if len(self._deadline_heap) > 2 * len(self._context_by_handle) + HEAP_COMPACTION_SLACK:
            self._deadline_heap = [
                entry for entry in self._deadline_heap if entry[1] in self._context_by_handle
            ]
            heapify(self._deadline_heap)

    def _unused_handle(self) -> str:
        while True:
            handle = f"{self._source.getrandbits(HANDLE_BITS):0{HANDLE_BITS // 4}x}"
            if handle not in self._context_by_handle:
                return handle

    def _evict_earliest(self) -> None:
        while self._deadline_heap:
            _, handle = heappop(self._deadline_heap)
            if self._context_by_handle.pop(handle, None) is not None:
                return


@dataclass(frozen=True, slots=True)
class NestedCall:
    """The context of a nested call, and the number of retries that its parent lent to it."""

    context: CallContext
    lent: int

    def return_unspent(self, parent: CallContext, unspent: int) -> None:
        """Return unspent retries to the parent; call this only after the response has arrived."""
        parent.allowance.return_unspent(unspent, self.lent)


def derive_nested_call(
    context: CallContext,
    call_id: str,
    service: str,
    rule: RequestRule,
    now: float,
    concurrent: int = 1,
    fingerprint: str = "",
) -> NestedCall | Refusal:
    """Derive the context of a nested call that a target makes while it runs `context`.

    `rule` is the profile's rule for the nested request. `concurrent` is the number of nested calls
    that share the remaining retry allowance. The importance is inherited from the parent, because
    shedding a nested call wastes the work of its ancestors. A rule can lower the deadline and the
    number of retries, but never raise them above those of the parent.

    Return a refusal if the call chain is too deep or the deadline of the parent has passed.
    """
    if context.depth >= MAX_DEPTH:
        return Refusal(Reason.TOO_DEEP, detail=f"call chains end at depth {MAX_DEPTH}")
    if context.remaining_s(now) <= 0.0:
        return Refusal(Reason.DEADLINE, detail="the deadline of the parent call has passed")
    lent = _lend_retries(context, rule.extra_attempts, concurrent)
    child = CallContext(
        call_id=call_id,
        organisation=context.organisation,
        profile=context.profile,
        service=service,
        importance=context.importance,
        deadline=min(context.deadline, now + rule.deadline_ms / 1_000),
        allowance=type(context.allowance)(lent),
        weight=context.weight,
        depth=context.depth + 1,
        idempotent=bool(rule.idempotent),
        fingerprint=fingerprint,
    )
    return NestedCall(child, lent)


def _lend_retries(context: CallContext, max_retries: int, concurrent: int) -> int:
    share = context.allowance.lend(concurrent)
    granted = min(share, max(0, max_retries))
    context.allowance.return_unspent(share - granted, share)
    return granted
