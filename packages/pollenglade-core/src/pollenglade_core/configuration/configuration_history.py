"""Configuration versions that one process has applied."""

from __future__ import annotations

from collections.abc import Iterable

from ..finding import Findings
from .configuration import Change
from .configuration import Configuration
from .configuration import Conflict
from .configuration import apply

SNAPSHOT_INTERVAL_CHANGES = 64
"""Number of changes after which a new snapshot replaces the older changes."""


class ConfigurationHistory:
    """A snapshot and the changes after it; the version never decreases."""

    def __init__(self, snapshot: Configuration | None = None) -> None:
        self._snapshot = snapshot or Configuration()
        self._current = self._snapshot
        self._changes: list[Change] = []

    @property
    def current(self) -> Configuration:
        """The latest configuration."""
        return self._current

    @property
    def snapshot(self) -> Configuration:
        """The configuration before the oldest retained change."""
        return self._snapshot

    def digest(self) -> str:
        """Return the digest of the latest configuration."""
        return self._current.digest()

    def apply(self, change: Change) -> Configuration | Conflict | Findings:
        """Apply a change as the next version, or return the reason why it is not accepted."""
        result = apply(self._current, change)
        if isinstance(result, Configuration):
            self._current = result
            self._changes.append(change)
            self._compact()
        return result

    def advance(
        self, first_version: int, changes: Iterable[Change]
    ) -> Configuration | Conflict | Findings | None:
        """Apply accepted changes that create `first_version` and the versions after it.

        Versions that are already in force are skipped. Returns None if a version before
        `first_version` is missing, so that a snapshot is needed.
        """
        if first_version > self._current.version + 1:
            return None
        for version, change in enumerate(changes, first_version):
            if version > self._current.version:
                result = self.apply(change)
                if not isinstance(result, Configuration):
                    return result
        return self._current

    def replace(self, snapshot: Configuration) -> bool:
        """Replace the history by a snapshot if it is newer; return whether it was replaced."""
        if snapshot.version <= self._current.version:
            return False
        self._snapshot = self._current = snapshot
        self._changes = []
        return True

    def changes_since(self, version: int) -> tuple[Change, ...] | None:
        """Return the changes after a version, or None if they are no longer retained.

        A version above the current one has no later changes.
        """
        if version < self._snapshot.version:
            return None
        return tuple(self._changes[version - self._snapshot.version :])

    def _compact(self) -> None:
        # The previous interval is retained, so a process one snapshot behind needs no snapshot.
        if len(self._changes) < 2 * SNAPSHOT_INTERVAL_CHANGES:
            return
        for change in self._changes[:SNAPSHOT_INTERVAL_CHANGES]:
            advanced = apply(self._snapshot, change)
            assert isinstance(advanced, Configuration)
            self._snapshot = advanced
        del self._changes[:SNAPSHOT_INTERVAL_CHANGES]
