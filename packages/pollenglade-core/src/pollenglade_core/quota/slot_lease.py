"""Lease on one quota slot: claim, confirmation, takeover and release by compare-and-set."""

from __future__ import annotations

from enum import Enum

from .lease_rows import ABSENT_ROW
from .lease_rows import ReadSlot
from .lease_rows import SlotRow
from .lease_rows import StoredSlotRow
from .lease_rows import WriteSlot
from .quota_holder import GrantingRight
from .quota_messages import GRANT_LIFETIME_S

SLOT_POLL_INTERVAL_S = 2.0
"""Time between a candidate's reads of another holder's slot; below the maximum read gap of 5 s."""


class _PendingRequest(Enum):
    NOTHING = "nothing"
    READ = "read"
    WRITE = "write"


class SlotLease:
    """Lease state of one slot in one process; at most one request for the row is pending."""

    def __init__(self, slot: int, node: str, incarnation: int) -> None:
        self._slot = slot
        self._node = node
        self._incarnation = incarnation
        self._stored_row: StoredSlotRow | None = None
        self._pending = _PendingRequest.NOTHING
        self._next_poll_at = 0.0
        self._write_count = 0
        self._unresolved_write: WriteSlot | None = None
        self._write_generation = 0
        self._confirmed_generation = 0
        self._granting_since: float | None = None
        self._releasing = False

    @property
    def row(self) -> SlotRow | None:
        """Last known content of the row; None if it is not known."""
        return self._stored_row.row if self._stored_row else None

    @property
    def names_this_process(self) -> bool:
        """Whether the last known row names this process as holder."""
        row = self.row
        if row is None:
            return False
        return (row.holder, row.incarnation) == (self._node, self._incarnation)

    @property
    def may_name_this_process(self) -> bool:
        """Whether the row names this process, or an unresolved write may have changed it."""
        return self.names_this_process or self._unresolved_write is not None

    def granting_right(self, generation: int, now: float) -> GrantingRight | None:
        """Return the right to grant if `generation` confirmed it and former grants have expired."""
        if (
            self._stored_row is None
            or self._granting_since is None
            or self._releasing
            or not self.names_this_process
        ):
            return None
        if self._confirmed_generation != generation or now < self._granting_since:
            return None
        return GrantingRight(self._stored_row.row.epoch, self._granting_since)

    def maintain(self, generation: int) -> ReadSlot | WriteSlot | None:
        """Return the request that resolves a lost write, or confirms or releases the lease."""
        if self._pending is not _PendingRequest.NOTHING:
            return None
        if self._stored_row is None:
            return self._read() if self._unresolved_write is not None else None
        if not self.names_this_process:
            return None
        if self._releasing:
            return self._write("", self._stored_row.row.epoch, generation)
        if self._granting_since is not None and self._confirmed_generation == generation:
            return None
        return self._write(self._node, self._stored_row.row.epoch, generation)

    def claim(
        self, generation: int, may_write: bool, former_cannot_grant: bool, now: float
    ) -> ReadSlot | WriteSlot | None:
        """Return the next request of a candidate for the lease.

        `may_write` is true if this node is the candidate that may claim the slot;
        `former_cannot_grant` if the process named in the row can no longer grant.
        """
        if (
            self._pending is not _PendingRequest.NOTHING
            or self.names_this_process
            or self._releasing
        ):
            return None
        if self._stored_row is not None:
            row = self._stored_row.row
            is_free = former_cannot_grant or row.holder in ("", self._node)
            if may_write and is_free:
                return self._write(self._node, row.epoch + 1, generation)
            if now < self._next_poll_at:
                return None
        self._next_poll_at = now + SLOT_POLL_INTERVAL_S
        return self._read()

    def release(self) -> None:
        """Stop granting at once; `maintain` then returns the write that releases the row."""
        self._releasing = True

    def on_row(self, stored: StoredSlotRow | None, now: float) -> None:
        """Handle the row that a read or a conflicting write returned; None if it does not exist."""
        self._apply_row(stored or ABSENT_ROW, now)

    def on_written(self, version: int, now: float) -> None:
        """Handle a successful write; `version` is the new version of the row."""
        if self._unresolved_write is not None:
            self._apply_row(StoredSlotRow(version, self._unresolved_write.row), now)

    def on_response_lost(self) -> None:
        """Handle a lost response; a write is resolved by the attempt in a later read."""
        self._pending = _PendingRequest.NOTHING
        if self._unresolved_write is not None:
            self._stored_row = None

    def _apply_row(self, stored: StoredSlotRow, now: float) -> None:
        self._pending = _PendingRequest.NOTHING
        self._stored_row = stored
        write, self._unresolved_write = self._unresolved_write, None
        if not self.names_this_process:
            self._granting_since = None
        elif write is not None and stored.row.attempt == write.row.attempt:
            self._confirmed_generation = self._write_generation
            # A confirmed lease retains its start: no other node held the slot meanwhile.
            self._granting_since = (
                now + GRANT_LIFETIME_S if self._granting_since is None else self._granting_since
            )

    def _read(self) -> ReadSlot:
        self._pending = _PendingRequest.READ
        return ReadSlot(self._slot)

    def _write(self, holder: str, epoch: int, generation: int) -> WriteSlot:
        expected = self._stored_row.version if self._stored_row else 0
        self._write_count += 1
        attempt = f"{self._node}/{self._incarnation}/{self._slot}/{self._write_count}"
        row = SlotRow(holder, self._incarnation if holder else 0, epoch, attempt)
        self._unresolved_write = WriteSlot(self._slot, expected, row)
        self._write_generation = generation
        self._pending = _PendingRequest.WRITE
        return self._unresolved_write
