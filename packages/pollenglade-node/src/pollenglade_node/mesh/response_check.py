"""Whether a response of an endpoint may be passed on."""

from __future__ import annotations

from pollenglade_core.calls.outcome import Outcome
from pollenglade_core.calls.outcome import Reason
from pollenglade_core.calls.outcome import Refusal
from pollenglade_net.http_message import Headers

from .header_names import HeaderNames

NOT_RUN_STATUS = frozenset({408, 421, 429, 503})
"""Statuses by which callers understand that a request has not run."""

WRONG_ENDPOINT_STATUS = 421


def check_response(
    names: HeaderNames, request_id: bytes, status: int, headers: Headers
) -> Refusal | None:
    """Return why a response must not be passed on; None where it may.

    Only a response that says so itself shows that the request did not run.
    """
    values_by_name = dict(headers)
    echoed = values_by_name.get(names.request_id)
    if echoed is not None and echoed != request_id:
        return _unknown("the response belongs to another request")
    if names.not_executed in values_by_name or status == WRONG_ENDPOINT_STATUS:
        detail = f"the endpoint did not run the request, status {status}"
        return Refusal(Reason.TARGET_SHED, Outcome.NOT_RUN, None, detail)
    if status in NOT_RUN_STATUS:
        return _unknown(f"status {status} without the mark of a request that has not run")
    if names.signature not in values_by_name and status < 400:
        return _unknown("the response has no signature")
    if echoed is None and status < 400:
        return _unknown("the response names no request")
    if b"content-encoding" in values_by_name:
        return _unknown("the body is encoded although the request did not ask for it")
    return None


def _unknown(detail: str) -> Refusal:
    return Refusal(Reason.TARGET_FAILED, Outcome.UNKNOWN, None, detail)
