"""Lease on one quota slot: claim, confirmation, takeover and release by compare-and-set."""

from __future__ import annotations

from enum import Enum

from .lease_rows import ABSENT_ROW
from .lease_rows import ReadSlot
from .lease_rows import SlotRow
from .lease_rows import StoredSlotRow
from .lease_rows import WriteSlot
from .quota_holder import SlotHold
from .quota_messages import GRANT_LIFETIME_S

POLL_S = 2.0
"""How often a candidate reads a slot that another node holds; below the observation gap of 5 s."""


class _Awaits(Enum):
    NOTHING = "nothing"
    READ = "read"
    WRITE = "write"


class SlotLease:
    """What one process knows about one slot; at most one request for its row is in flight."""

    def __init__(self, slot: int, node: str, incarnation: int) -> None:
        self._slot = slot
        self._node = node
        self._incarnation = incarnation
        self._known: StoredSlotRow | None = None
        self._awaits = _Awaits.NOTHING
        self._poll_at = 0.0
        self._attempts = 0
        self._sent: WriteSlot | None = None
        self._sent_generation = 0
        self._generation = 0
        self._since: float | None = None
        self._releasing = False

    @property
    def row(self) -> SlotRow | None:
        """Content of the row as last seen; None before the first read."""
        return self._known.row if self._known else None

    @property
    def is_own(self) -> bool:
        """Return whether the row as last seen names this process."""
        row = self.row
        if row is None:
            return False
        return (row.holder, row.incarnation) == (self._node, self._incarnation)

    @property
    def may_be_own(self) -> bool:
        """Return whether the row names this process or a write that says so is unresolved."""
        return self.is_own or self._sent is not None

    def hold(self, generation: int, now: float) -> SlotHold | None:
        """Return the hold if it was written in `generation` and former grants have expired."""
        if self._known is None or self._since is None or self._releasing or not self.is_own:
            return None
        if self._generation != generation or now < self._since:
            return None
        return SlotHold(self._known.row.epoch, self._since)

    def maintain(self, generation: int) -> ReadSlot | WriteSlot | None:
        """Return the request that settles an unclear write, confirms the lease or releases it."""
        if self._awaits is not _Awaits.NOTHING:
            return None
        if self._known is None:
            return self._read() if self._sent is not None else None
        if not self.is_own:
            return None
        if self._releasing:
            return self._write("", self._known.row.epoch, generation)
        if self._since is not None and self._generation == generation:
            return None
        return self._write(self._node, self._known.row.epoch, generation)

    def claim(
        self, generation: int, may_write: bool, former_is_gone: bool, now: float
    ) -> ReadSlot | WriteSlot | None:
        """Return the request that brings a candidate closer to the lease.

        `may_write` says that it is this node's turn, `former_is_gone` that the process named in the
        row can no longer grant.
        """
        if self._awaits is not _Awaits.NOTHING or self.is_own or self._releasing:
            return None
        if self._known is not None:
            row = self._known.row
            is_free = former_is_gone or row.holder in ("", self._node)
            if may_write and is_free:
                return self._write(self._node, row.epoch + 1, generation)
            if now < self._poll_at:
                return None
        self._poll_at = now + POLL_S
        return self._read()

    def release(self) -> None:
        """Stop granting at once; `maintain` then returns the write that releases the row."""
        self._releasing = True

    def on_row(self, stored: StoredSlotRow | None, now: float) -> None:
        """Take the answer to a read or a conflict; None if the row does not exist."""
        self._learn(stored or ABSENT_ROW, now)

    def on_written(self, version: int, now: float) -> None:
        """Take the answer that the last write took effect as `version`."""
        if self._sent is not None:
            self._learn(StoredSlotRow(version, self._sent.row), now)

    def on_lost(self) -> None:
        """Take the loss of an answer; a write is settled by reading its attempt back."""
        self._awaits = _Awaits.NOTHING
        if self._sent is not None:
            self._known = None

    def _learn(self, stored: StoredSlotRow, now: float) -> None:
        self._awaits = _Awaits.NOTHING
        self._known = stored
        sent, self._sent = self._sent, None
        if not self.is_own:
            self._since = None
        elif sent is not None and stored.row.attempt == sent.row.attempt:
            self._generation = self._sent_generation
            # A confirmed lease keeps its start: nobody else held the slot in between.
            self._since = now + GRANT_LIFETIME_S if self._since is None else self._since

    def _read(self) -> ReadSlot:
        self._awaits = _Awaits.READ
        return ReadSlot(self._slot)

    def _write(self, holder: str, epoch: int, generation: int) -> WriteSlot:
        expected = self._known.version if self._known else 0
        self._attempts += 1
        attempt = f"{self._node}/{self._incarnation}/{self._slot}/{self._attempts}"
        row = SlotRow(holder, self._incarnation if holder else 0, epoch, attempt)
        self._sent = WriteSlot(self._slot, expected, row)
        self._sent_generation = generation
        self._awaits = _Awaits.WRITE
        return self._sent
