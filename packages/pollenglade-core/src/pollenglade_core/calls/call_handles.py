"""Call handles: opaque values under which a target makes nested calls without a key."""

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
"""Handles kept at one node; far above the slots of a host, so that only a leak reaches it."""

HEAP_SLACK = 64
"""Revoked entries that the deadline heap may hold in addition to as many as there are handles."""


class CallHandles:
    """The handles of the calls that run at one node.

    `source` must be cryptographically strong: a guessed handle would act for another organisation.
    """

    def __init__(self, source: RandomSource, limit: int = MAX_LIVE_HANDLES) -> None:
        if limit < 1:
            raise ValueError("limit must be at least 1")
        self._source = source
        self._limit = limit
        self._context_by_handle: dict[str, CallContext] = {}
        self._by_deadline: list[tuple[float, str]] = []

    def __len__(self) -> int:
        return len(self._context_by_handle)

    def issue(self, context: CallContext) -> str:
        """Return a new handle of 32 hexadecimal digits for a call.

        At the limit the handle with the earliest deadline becomes invalid. Handles of calls that
        have ended without `revoke` go first, because their deadlines have passed.
        """
        if len(self._context_by_handle) >= self._limit:
            self._evict_earliest()
        handle = self._unused_handle()
        self._context_by_handle[handle] = context
        heappush(self._by_deadline, (context.deadline, handle))
        return handle

    def resolve(self, handle: str, now: float) -> CallContext | Refusal:
        """Return the context of a running call, or `HANDLE_UNKNOWN`.

        A handle is invalid from the deadline of its call on, even before it is revoked.
        """
        context = self._context_by_handle.get(handle)
        if context is None:
            return Refusal(Reason.HANDLE_UNKNOWN, detail="no running call has this handle")
        if context.remaining_s(now) <= 0.0:
            self.revoke(handle)
            return Refusal(Reason.HANDLE_UNKNOWN, detail="the deadline of the call has passed")
        return context

    def revoke(self, handle: str) -> None:
        """Make a handle invalid; does nothing for an unknown handle."""
        self._context_by_handle.pop(handle, None)
        if len(self._by_deadline) > 2 * len(self._context_by_handle) + HEAP_SLACK:
            self._by_deadline = [
                entry for entry in self._by_deadline if entry[1] in self._context_by_handle
            ]
            heapify(self._by_deadline)

    def _unused_handle(self) -> str:
        while True:
            handle = f"{self._source.getrandbits(HANDLE_BITS):0{HANDLE_BITS // 4}x}"
            if handle not in self._context_by_handle:
                return handle

    def _evict_earliest(self) -> None:
        while self._by_deadline:
            _, handle = heappop(self._by_deadline)
            if self._context_by_handle.pop(handle, None) is not None:
                return


@dataclass(frozen=True, slots=True)
class NestedCall:
    """The context of a nested call with the retries that its parent lent to it."""

    context: CallContext
    lent: int

    def give_back(self, parent: CallContext, unspent: int) -> None:
        """Credit unspent retries to the parent; called only when the response has arrived."""
        parent.allowance.give_back(unspent, self.lent)


def nested(
    context: CallContext,
    call_id: str,
    service: str,
    rule: RequestRule,
    now: float,
    concurrent: int = 1,
    fingerprint: str = "",
) -> NestedCall | Refusal:
    """Derive the context of a call that a target makes while it runs `context`.

    `rule` is the profile's rule for the nested request, `concurrent` the number of nested calls
    that share what remains of the allowance. The importance is that of the parent, because a nested
    call that is shed wastes the work of the calls above it. A rule can lower deadline and retries
    but never raise them above those of the parent.
    """
    if context.depth >= MAX_DEPTH:
        return Refusal(Reason.TOO_DEEP, detail=f"call chains end at depth {MAX_DEPTH}")
    if context.remaining_s(now) <= 0.0:
        return Refusal(Reason.DEADLINE, detail="the deadline of the parent call has passed")
    lent = _lend(context, rule.extra_attempts, concurrent)
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


def _lend(context: CallContext, at_most: int, concurrent: int) -> int:
    share = context.allowance.lend(concurrent)
    kept = min(share, max(0, at_most))
    context.allowance.give_back(share - kept, share)
    return kept
