"""Evidence for retaining or taking over a lease: renewals, peer messages, platform contact."""

from __future__ import annotations

from dataclasses import dataclass

TAKEOVER_DELAY_S = 30.0
"""A candidate may take over slots of a holder whose announcement it saw unchanged this long."""

GRANTING_PERIOD_S = 20.0
"""Time after the request of its last renewal in which a holder may grant unconditionally."""

CONTACT_SLACK_S = 12.0
"""Time after a renewal within which platform contact of the holder's zone does not stop it.

Renewals are 10 s apart, so at the start of an outage other nodes may have had contact up to 10 s
after a holder's last renewal. A takeover needs contact at least TAKEOVER_DELAY_S after that
renewal. The holder stops when it learns of contact more than CONTACT_SLACK_S after the renewal.
Gossip has the 18 s between the two times to carry this information to the holder.
"""

MAX_READ_GAP_S = 5.0
"""Longest time between two reads of one observation; a longer gap restarts the observation.

Otherwise a candidate without a connection could take over with its first read after an outage,
before the holder has learned that the platform is available again.
"""

ISOLATION_TIMEOUT_S = 5.0
"""A holder without a message from a peer in its zone for this long is isolated until it renews."""


@dataclass(slots=True)
class AnnouncementWatch:
    """A candidate's observation of how long a holder's announcement has been unchanged."""

    version: int = -1
    incarnation: int = 0
    first_seen_at: float = 0.0
    last_seen_at: float = 0.0
    unchanged_s: float = 0.0

    def on_read(self, version: int, incarnation: int, requested_at: float, now: float) -> None:
        """Record a read that was requested at `requested_at` and answered at `now`.

        The platform read the row at some time between the two. To be safe, an observation starts
        at the time of an answer and ends at the time of a request.
        """
        if version != self.version or requested_at - self.last_seen_at > MAX_READ_GAP_S:
            self.version = version
            self.first_seen_at = now
        self.last_seen_at = now
        self.incarnation = max(incarnation, self.incarnation)
        self.unchanged_s = requested_at - self.first_seen_at

    def has_lapsed(self, now: float) -> bool:
        """Return whether the latest read permits a takeover of the holder's slots."""
        return self.unchanged_s >= TAKEOVER_DELAY_S and now - self.last_seen_at <= MAX_READ_GAP_S


class RenewalEvidence:
    """Evidence of whether this node's announcement still protects its slots from takeover.

    `generation` counts the first renewal and each one after a gap in which a takeover was possible.
    The node may grant from a slot only if a write has confirmed it in the current generation.
    """

    def __init__(self) -> None:
        self.generation = 0
        self._renewed_at: float | None = None
        self._zone_contact_at: float | None = None
        self._peer_message_at = 0.0
        self._was_isolated = True

    def on_renewed(self, requested_at: float, now: float) -> None:
        """Record a successful renewal of this node's announcement.

        After a gap in which a takeover was possible, a new generation begins: each slot has to be
        confirmed by a write, because a takeover may be in progress.
        """
        if self._renewed_at is not None and requested_at <= self._renewed_at:
            return
        if self._renewed_at is None or now - self._renewed_at >= GRANTING_PERIOD_S:
            self.generation += 1
        self._renewed_at = requested_at
        self._was_isolated = False
        self._peer_message_at = now

    def on_peer_message(self, now: float) -> None:
        """Record a message of any kind from a peer in the local zone."""
        self._update_isolation(now)
        self._peer_message_at = now

    def on_zone_contact(self, age_s: float, now: float) -> None:
        """Record the age of the zone's latest platform contact, by this node or from gossip.

        The transit time of gossip makes the contact look more recent than it was. This is safe,
        because a more recent contact only makes the holder stop earlier.
        """
        contact_at = now - age_s
        if self._zone_contact_at is None or contact_at > self._zone_contact_at:
            self._zone_contact_at = contact_at

    def zone_contact_age_s(self, now: float) -> float | None:
        """Return the age of the zone's latest known platform contact; None if none is known."""
        return None if self._zone_contact_at is None else max(0.0, now - self._zone_contact_at)

    def excludes_takeover(self, now: float) -> bool:
        """Return whether no other node can have taken over the slots held in this generation."""
        if self._renewed_at is None:
            return False
        if now - self._renewed_at < GRANTING_PERIOD_S:
            return True
        self._update_isolation(now)
        # A holder without peers stops too: it would not notice a takeover by a node that joins.
        return not self._was_isolated and not self._zone_had_later_contact()

    def may_claim(self, now: float) -> bool:
        """Return whether this node's announcement is recent enough to claim a slot."""
        return self._renewed_at is not None and now - self._renewed_at < GRANTING_PERIOD_S

    def _zone_had_later_contact(self) -> bool:
        if self._zone_contact_at is None or self._renewed_at is None:
            return False
        return self._zone_contact_at > self._renewed_at + CONTACT_SLACK_S

    def _update_isolation(self, now: float) -> None:
        if now - self._peer_message_at > ISOLATION_TIMEOUT_S:
            self._was_isolated = True
