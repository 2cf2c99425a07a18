"""Counts of calls by organisation, service, profile and outcome."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from pollenglade_core.call import CallContext
from pollenglade_core.outcome import Outcome
from pollenglade_core.outcome import Reason


@dataclass(frozen=True, slots=True)
class CountKey:
    """What calls are counted by; `reason` is empty for calls with a response."""

    organisation: str
    service: str
    profile: str
    outcome: str
    reason: str


class CallCounter:
    """Counts in place; readers take a copy, so that the calls pay for one addition only."""

    def __init__(self) -> None:
        self.calls: Counter[CountKey] = Counter()
        self.seconds: Counter[CountKey] = Counter()
        self.refused_by_reason: Counter[str] = Counter()

    def finished(
        self, context: CallContext, outcome: Outcome, reason: Reason | None, elapsed_s: float
    ) -> None:
        """Count a call that ended; `elapsed_s` is the time since it arrived."""
        key = CountKey(
            context.organisation,
            context.service,
            context.profile,
            outcome.value,
            reason.value if reason is not None else "",
        )
        self.calls[key] += 1
        self.seconds[key] += elapsed_s  # type: ignore[assignment]

    def refused(self, reason: Reason) -> None:
        """Count a request that was refused before its organisation and profile were known."""
        self.refused_by_reason[reason.value] += 1

    def to_wire(self) -> dict[str, object]:
        """Return all counts since the start of the node as a JSON document."""
        rows = [
            {
                "organisation": key.organisation,
                "service": key.service,
                "profile": key.profile,
                "outcome": key.outcome,
                "reason": key.reason,
                "calls": count,
                "seconds": round(self.seconds[key], 6),
            }
            for key, count in sorted(self.calls.items(), key=lambda item: repr(item[0]))
        ]
        return {"calls": rows, "unattributed": dict(self.refused_by_reason)}
