"""The sequence of configuration versions that one process has seen."""

from __future__ import annotations

from collections.abc import Iterable

from ..finding import Findings
from .configuration import Change
from .configuration import Configuration
from .configuration import Conflict
from .configuration import apply

SNAPSHOT_INTERVAL = 64
"""Changes after which a new snapshot replaces the older changes."""


class ConfigurationHistory:
    """A snapshot and the changes after it; the version only goes up."""

    def __init__(self, snapshot: Configuration | None = None) -> None:
        self._snapshot = snapshot or Configuration()
        self._current = self._snapshot
        self._changes: list[Change] = []

    @property
    def current(self) -> Configuration:
        """The newest configuration."""
        return self._current

    @property
    def snapshot(self) -> Configuration:
        """The configuration before the oldest change that is kept."""
        return self._snapshot

    def digest(self) -> str:
        """Return the digest of the newest configuration."""
        return self._current.digest()

    def apply(self, change: Change) -> Configuration | Conflict | Findings:
        """Accept a change as the next version, or return why it is not accepted."""
        result = apply(self._current, change)
        if isinstance(result, Configuration):
            self._current = result
            self._changes.append(change)
            self._shorten()
        return result

    def advance(
        self, first_version: int, changes: Iterable[Change]
    ) -> Configuration | Conflict | Findings | None:
        """Apply accepted changes that make `first_version` and the versions after it.

        Versions that are already in force are skipped. None means that a version before
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
        """Take a snapshot that is newer than the current version; return whether it was taken."""
        if snapshot.version <= self._current.version:
            return False
        self._snapshot = self._current = snapshot
        self._changes = []
        return True

    def changes_since(self, version: int) -> tuple[Change, ...] | None:
        """Return the changes after a version, or None where they are no longer kept.

        A version above the current one has no later changes.
        """
        if version < self._snapshot.version:
            return None
        return tuple(self._changes[version - self._snapshot.version :])

    def _shorten(self) -> None:
        # The previous interval is kept, so a process that is one snapshot behind needs no snapshot.
        if len(self._changes) < 2 * SNAPSHOT_INTERVAL:
            return
        for change in self._changes[:SNAPSHOT_INTERVAL]:
            older = apply(self._snapshot, change)
            assert isinstance(older, Configuration)
            self._snapshot = older
        del self._changes[:SNAPSHOT_INTERVAL]
