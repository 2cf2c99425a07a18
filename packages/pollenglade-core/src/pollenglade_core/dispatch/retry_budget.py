"""Retry budget: bounds the retries that reach a service, summed over all nodes."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

SAFETY_FACTOR = 0.75
"""Fraction of the allowed retries that is used; the rest covers retries unknown to this node."""


@dataclass(frozen=True, slots=True)
class RetryBounds:
    """Bounds on the retries within `window_s` seconds.

    They are `ratio` retries for each request, plus `slack` retries over all nodes.
    """

    ratio: float = 0.2
    window_s: float = 10.0
    slack: float = 48.0


class ServiceRetryBudgets:
    """Retry tokens by service; each request earns a fraction of a token.

    The slack is divided equally among the nodes. A retry of a request with nested calls repeats
    those calls as well, so it is charged at every service in the call tree.
    """

    def __init__(self, bounds: RetryBounds, now: float) -> None:
        self._bounds = bounds
        self._nodes = 1
        self._tokens_by_service: dict[str, float] = {}
        self._requests_by_service: dict[str, float] = {}
        self._updated_at = now

    def set_node_count(self, nodes: int) -> None:
        """Set the number of nodes among which the slack is divided."""
        self._nodes = max(1, nodes)

    def on_request(self, service: str, now: float) -> None:
        """Credit the tokens that the first attempt of a request earns."""
        self._update(now)
        self._requests_by_service[service] = self._requests_by_service.get(service, 0.0) + 1.0
        tokens = self._tokens(service) + self._bounds.ratio * SAFETY_FACTOR
        self._tokens_by_service[service] = min(tokens, self._max_tokens(service))

    def try_debit(self, calls_by_service: Mapping[str, float], now: float) -> bool:
        """Spend the tokens for one retry at all services that it calls.

        Returns False and spends nothing if the tokens of one service do not suffice.
        """
        self._update(now)
        if any(self._tokens(service) < calls for service, calls in calls_by_service.items()):
            return False
        for service, calls in calls_by_service.items():
            self._tokens_by_service[service] = self._tokens(service) - calls
        return True

    def charge(self, service: str, now: float) -> None:
        """Spend a token for a retry that could not be prevented; the balance can go negative."""
        self._update(now)
        self._tokens_by_service[service] = self._tokens(service) - 1.0

    def _slack(self) -> float:
        return self._bounds.slack * SAFETY_FACTOR / self._nodes

    def _max_tokens(self, service: str) -> float:
        recent_requests = self._requests_by_service.get(service, 0.0)
        return self._slack() + recent_requests * self._bounds.ratio * SAFETY_FACTOR

    def _tokens(self, service: str) -> float:
        return self._tokens_by_service.get(service, self._slack())

    def _update(self, now: float) -> None:
        elapsed_s = now - self._updated_at
        if elapsed_s < 0.1:
            return
        self._updated_at = now
        retained_fraction = max(0.0, 1.0 - elapsed_s / self._bounds.window_s)
        earned_tokens = self._slack() * elapsed_s / self._bounds.window_s
        for service in self._requests_by_service:
            self._requests_by_service[service] *= retained_fraction
        for service in list(self._tokens_by_service):
            tokens = self._tokens_by_service[service] + earned_tokens
            self._tokens_by_service[service] = min(tokens, self._max_tokens(service))
