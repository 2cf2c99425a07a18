"""Trace of one request, collected from the log lines of several nodes."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import orjson

LINES_LEFT_OUT_EVENTS = frozenset({"request_lines_left_out", "log_lines_dropped"})

CAUSE_BY_DECISION = {
    "over-rate": "the organisation had no tokens left at this node and no other node lent any",
    "overloaded": "a service of the call tree had no free capacity, or its calls failed too often",
    "deadline": "the remaining time was not sufficient",
    "timeout": "the deadline of the caller or the time limit of the route was reached",
    "no-target": "no endpoint of the service could be reached",
    "draining": "the endpoint or its node was draining and no other accepted the request",
    "target-failed": "the endpoint's response was lost, broken or mismatched; it may have run",
    "target-shed": "the endpoint rejected the request without running it, and no retry was allowed",
    "link-failed": "the connection to the serving node broke; the request may have run",
    "endpoint-failed": "the endpoint ran the request and returned a failure",
    "key-unknown": "the policy in force at the node does not contain the key",
    "service-unknown": "the policy in force at the node has no route for the host and path",
    "not-configured": "the node had no policy yet",
    "quarantined": "requests like this one were running when several endpoints crashed",
    "cancelled": "the caller closed its connection before the response",
    "late": "served after the latency objective",
    "repeated": "served after a retry at another endpoint",
    "served": "served",
}


@dataclass(frozen=True, slots=True)
class LogLine:
    """One structured log line; `at` is its timestamp, whose text order is the order of time."""

    at: str
    node: str
    event: str
    fields: dict[str, Any]


@dataclass
class RequestTrace:
    """Log lines of a request and its nested calls in order of time.

    `left_out` are the lines by which nodes report that they left out or dropped log lines.
    """

    request: str
    lines: list[LogLine] = field(default_factory=list)
    left_out: list[LogLine] = field(default_factory=list)

    @property
    def cause(self) -> str:
        """Cause of the request's result, as far as it was logged."""
        own_lines = [line for line in self.lines if line.fields.get("request") == self.request]
        finals = [line for line in own_lines if line.event == "request"]
        if not finals:
            return "no node logged the end of the request"
        decision = str(finals[-1].fields.get("decision"))
        detail = finals[-1].fields.get("detail")
        cause = CAUSE_BY_DECISION.get(decision, decision)
        if decision == "endpoint-failed":
            cause += self._nested_cause()
        return f"{cause} ({detail})" if detail else cause

    def _nested_cause(self) -> str:
        failed = [
            line
            for line in self.lines
            if line.event == "request"
            and line.fields.get("request") != self.request
            and not 0 < int(line.fields.get("status") or 0) < 400
        ]
        if not failed:
            return ""
        first = failed[0].fields
        return f"; its call {first.get('request')} to {first.get('service')} failed first: " + str(
            CAUSE_BY_DECISION.get(str(first.get("decision")), first.get("decision"))
        )


def parse_line(text: str) -> LogLine | None:
    """Parse a log line; return None if it is not a structured line.

    Text before the first brace is ignored, because log collectors add a prefix.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        fields = orjson.loads(text[start:])
    except orjson.JSONDecodeError:
        return None
    if not isinstance(fields, dict) or not isinstance(fields.get("event"), str):
        return None
    at, node = fields.pop("timestamp", ""), fields.pop("node", "")
    # `node` is the node that wrote the line; `serving_node` is the node of the endpoint.
    return LogLine(str(at), str(node), str(fields.pop("event")), fields)


def collect_trace(request: str, texts: Iterable[str]) -> RequestTrace:
    """Return the trace of a request from the log lines of any number of nodes.

    Notices of left-out lines are kept only for seconds in which the request has a line; if it has
    no line at all, all of them are kept.
    """
    trace = RequestTrace(request)
    for text in texts:
        line = parse_line(text)
        if line is None:
            continue
        if line.event in LINES_LEFT_OUT_EVENTS:
            trace.left_out.append(line)
            continue
        logged_request = str(line.fields.get("request", ""))
        if logged_request == request or logged_request.startswith(request + "."):
            trace.lines.append(line)
    trace.lines.sort(key=lambda line: line.at)
    seconds = {line.at[:19] for line in trace.lines}
    if seconds:
        trace.left_out = [line for line in trace.left_out if line.at[:19] in seconds]
    return trace
