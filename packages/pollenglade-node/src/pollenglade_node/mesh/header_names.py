"""Names of the header fields that callers and endpoints use."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Lower-case field names; a deployment chooses them.

    `request_id` identifies one attempt of a client, `deadline_ms` is the time that is left.
    `signature` marks a response that an endpoint made. `not_executed` marks a response to a
    request that the endpoint did not run. `expected_endpoint` names the endpoint that a request is
    for, `endpoint` the one that answers, and `load` has its running and waiting requests and its
    slots.
    """

    request_id: bytes
    deadline_ms: bytes
    signature: bytes
    not_executed: bytes
    key: bytes
    organisation: bytes
    caller_service: bytes
    expected_endpoint: bytes
    endpoint: bytes
    load: bytes

    @property
    def set_by_node(self) -> frozenset[bytes]:
        """Fields of a request that are never passed on as they came."""
        return frozenset(
            {
                self.deadline_ms,
                self.key,
                self.organisation,
                self.caller_service,
                self.expected_endpoint,
            }
        )
