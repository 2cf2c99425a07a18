"""Evidence on which a lease is kept or taken over: renewals, peers, platform contact."""

from __future__ import annotations

from dataclasses import dataclass

LEASE_S = 30.0
"""An announcement unchanged for this long on the candidate's clock may be taken over."""

SPEND_S = 20.0
"""A holder may grant this long after the request of its last renewal."""

CONTACT_SLACK_S = 12.0
"""Platform contact of the zone up to this long after a renewal is harmless.

Renewals are 10 s apart, so at the start of an outage other nodes have had contact up to 10 s after
a holder's last renewal. A takeover needs contact 30 s after it. Contact between the two tells the
holder to stop; the 18 s between the limits are the time for the news to spread by gossip.
"""

CONTACT_GAP_S = 5.0
"""A candidate that reads an announcement less often than this starts its observation again.

Without this, a candidate that was cut off could take over with its first read after an outage,
before the holder has learned that the platform is back.
"""

PEER_SILENCE_S = 5.0
"""A holder that hears no peer of its zone for this long counts as isolated until it renews."""


@dataclass(slots=True)
class AnnouncementWatch:
    """How long a candidate has seen the announcement of a holder unchanged."""

    version: int = -1
    incarnation: int = 0
    first_seen_at: float = 0.0
    last_seen_at: float = 0.0
    unchanged_s: float = 0.0

    def on_read(self, version: int, incarnation: int, requested_at: float, now: float) -> None:
        """Take a read answered at `now`.

        The row was read at some time between the request and the answer, so an observation starts
        at the answer and ends at the request.
        """
        if version != self.version or requested_at - self.last_seen_at > CONTACT_GAP_S:
            self.version = version
            self.first_seen_at = now
        self.last_seen_at = now
        self.incarnation = max(incarnation, self.incarnation)
        self.unchanged_s = requested_at - self.first_seen_at

    def has_lapsed(self, now: float) -> bool:
        """Return whether the holder may be taken over on the latest read."""
        return self.unchanged_s >= LEASE_S and now - self.last_seen_at <= CONTACT_GAP_S


class RenewalEvidence:
    """Whether the own announcement still protects this node's slots from takeover."""

    def __init__(self) -> None:
        self.generation = 0
        self._renewed_at: float | None = None
        self._zone_contact_at: float | None = None
        self._heard_at = 0.0
        self._was_isolated = True

    def on_renewed(self, requested_at: float, now: float) -> None:
        """Take a successful renewal.

        After a gap in which a takeover was possible a new generation begins: each slot has to be
        confirmed by a write, since a takeover may be under way.
        """
        if self._renewed_at is not None and requested_at <= self._renewed_at:
            return
        if self._renewed_at is None or now - self._renewed_at >= SPEND_S:
            self.generation += 1
        self._renewed_at = requested_at
        self._was_isolated = False
        self._heard_at = now

    def on_peer_heard(self, now: float) -> None:
        """Take any message from a peer of the own zone."""
        self._note_silence(now)
        self._heard_at = now

    def on_zone_contact(self, age_s: float, now: float) -> None:
        """Take the age of the zone's latest platform contact, own or learned by gossip.

        The transit time of the gossip makes the contact look later than it was, which is the safe
        direction.
        """
        contact_at = now - age_s
        if self._zone_contact_at is None or contact_at > self._zone_contact_at:
            self._zone_contact_at = contact_at

    def zone_contact_age_s(self, now: float) -> float | None:
        """Return the age of the zone's latest known platform contact; None if there was none."""
        return None if self._zone_contact_at is None else max(0.0, now - self._zone_contact_at)

    def protects(self, now: float) -> bool:
        """Return whether nobody can have taken over the slots held in this generation."""
        if self._renewed_at is None:
            return False
        if now - self._renewed_at < SPEND_S:
            return True
        self._note_silence(now)
        # A lone holder stops as well: a node that joins meanwhile may take over unnoticed.
        return not self._was_isolated and not self._zone_had_contact()

    def may_claim(self, now: float) -> bool:
        """Return whether the own announcement is fresh enough to claim a slot."""
        return self._renewed_at is not None and now - self._renewed_at < SPEND_S

    def _zone_had_contact(self) -> bool:
        if self._zone_contact_at is None or self._renewed_at is None:
            return False
        return self._zone_contact_at > self._renewed_at + CONTACT_SLACK_S

    def _note_silence(self, now: float) -> None:
        if now - self._heard_at > PEER_SILENCE_S:
            self._was_isolated = True
