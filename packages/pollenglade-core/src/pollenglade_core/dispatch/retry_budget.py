"""Bound on repeats that reach a service, summed over all nodes."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

SAFETY = 0.75
"""Part of the allowed repeats that is used; the rest covers repeats that are not seen here."""


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """Repeats over `window_s` seconds: `ratio` for each request plus `slack` over all nodes."""

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 48.0


class RetryBudgets:
    """Tokens for repeats by service; requests earn a ratio, the slack is divided among the nodes.

    A repeat of a request whose run makes calls repeats those calls as well, so it is charged at
    every service that the run calls.
    """

    def __init__(self, bounds: RetryBounds, now: float) -> None:
        self._bounds = bounds
        self._nodes = 1
        self._tokens_by_service: dict[str, float] = {}
        self._requests_by_service: dict[str, float] = {}
        self._updated_at = now

    def set_nodes(self, nodes: int) -> None:
        """Apply the number of nodes among which the slack is divided."""
        self._nodes = max(1, nodes)

    def on_request(self, service: str, now: float) -> None:
        """Credit the ratio for the first attempt of a request."""
        self._advance(now)
        self._requests_by_service[service] = self._requests_by_service.get(service, 0.0) + 1.0
        tokens = self._tokens(service) + self._bounds.ratio * SAFETY
        self._tokens_by_service[service] = min(tokens, self._ceiling(service))

    def take(self, calls_by_service: Mapping[str, float], now: float) -> bool:
        """Debit one repeat with its calls at all services, or nothing and return False."""
        self._advance(now)
        if any(self._tokens(service) < calls for service, calls in calls_by_service.items()):
            return False
        for service, calls in calls_by_service.items():
            self._tokens_by_service[service] = self._tokens(service) - calls
        return True

    def charge(self, service: str, now: float) -> None:
        """Debit an arrival that could not be prevented; the balance may become negative."""
        self._advance(now)
        self._tokens_by_service[service] = self._tokens(service) - 1.0

    def _slack(self) -> float:
        return self._bounds.slack * SAFETY / self._nodes

    def _ceiling(self, service: str) -> float:
        recent = self._requests_by_service.get(service, 0.0)
        return self._slack() + recent * self._bounds.ratio * SAFETY

    def _tokens(self, service: str) -> float:
        return self._tokens_by_service.get(service, self._slack())

    def _advance(self, now: float) -> None:
        elapsed_s = now - self._updated_at
        if elapsed_s < 0.1:
            return
        self._updated_at = now
        kept = max(0.0, 1.0 - elapsed_s / self._bounds.window_s)
        gained = self._slack() * elapsed_s / self._bounds.window_s
        for service in self._requests_by_service:
            self._requests_by_service[service] *= kept
        for service in list(self._tokens_by_service):
            tokens = self._tokens_by_service[service] + gained
            self._tokens_by_service[service] = min(tokens, self._ceiling(service))
