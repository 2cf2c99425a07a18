"""Validation of an endpoint's response before it is forwarded."""

from __future__ import annotations

from pollenglade_core.calls.outcome import Outcome
from pollenglade_core.calls.outcome import Reason
from pollenglade_core.calls.outcome import Refusal
from pollenglade_net.http_message import Headers

from .header_names import HeaderNames

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that tell clients that a request has not run."""

WRONG_ENDPOINT_STATUS = 421
"""Misdirected Request: the request names another endpoint than the one that received it."""


def check_response(
    names: HeaderNames, request_id: bytes, status: int, headers: Headers
) -> Refusal | None:
    """Return the refusal that replaces an invalid response, or None if it may be forwarded.

    The outcome is NOT_RUN only if the response itself states that the request did not run.
    """
    values_by_name = dict(headers)
    echoed_id = values_by_name.get(names.request_id)
    if echoed_id is not None and echoed_id != request_id:
        return _unknown_outcome("the response belongs to another request")
    if names.not_executed in values_by_name or status == WRONG_ENDPOINT_STATUS:
        detail = f"the endpoint did not run the request, status {status}"
        return Refusal(Reason.TARGET_SHED, Outcome.NOT_RUN, None, detail)
    if status in NOT_RUN_STATUSES:
        return _unknown_outcome(f"status {status} without the mark of a request that has not run")
    if names.signature not in values_by_name and status < 400:
        return _unknown_outcome("the response has no signature")
    if echoed_id is None and status < 400:
        return _unknown_outcome("the response names no request")
    if b"content-encoding" in values_by_name:
        return _unknown_outcome("the body is encoded although the request did not ask for it")
    return None


def _unknown_outcome(detail: str) -> Refusal:
    return Refusal(Reason.TARGET_FAILED, Outcome.UNKNOWN, None, detail)
