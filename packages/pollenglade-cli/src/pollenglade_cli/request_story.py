"""The story of one request, joined from the log lines of several nodes."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
from typing import Any

import orjson

LEFT_OUT_EVENTS = frozenset({"request_lines_left_out", "log_lines_dropped"})

CAUSE_BY_DECISION = {
    "over-rate": "the organisation had no token left at this node and no other node lent one",
    "overloaded": "a service of the call tree had no room, or its calls failed too often",
    "deadline": "the time that was left did not suffice any more",
    "timeout": "the deadline of the caller or the time limit of the route was reached",
    "no-target": "no endpoint of the service could be reached",
    "draining": "the endpoint or its node was leaving and no other took the request",
    "target-failed": "the answer of the endpoint was lost, broken or not its own; it may have run",
    "target-shed": "the endpoint rejected the request unexecuted, and no repeat was allowed",
    "link-failed": "the connection to the serving node broke; the request may have run",
    "endpoint-failed": "the endpoint ran the request and answered with a failure",
    "key-unknown": "the policy in force at the node holds no such key",
    "service-unknown": "the policy in force at the node has no route for host and path",
    "not-configured": "the node knew no policy yet",
    "quarantined": "requests like this one were running at several crashes of endpoints",
    "cancelled": "the caller closed its connection before the answer",
    "late": "served after the latency objective",
    "repeated": "served after a repeat at another endpoint",
    "served": "served",
}


@dataclass(frozen=True, slots=True)
class LogLine:
    """One structured line; `at` is its time stamp as text, which sorts by time."""

    at: str
    node: str
    event: str
    fields: dict[str, Any]


@dataclass
class RequestStory:
    """Lines of a request and of its nested calls in order, and what may be missing."""

    request: str
    lines: list[LogLine] = field(default_factory=list)
    left_out: list[LogLine] = field(default_factory=list)

    @property
    def cause(self) -> str:
        """What decided the request, as far as the lines tell."""
        own = [line for line in self.lines if line.fields.get("request") == self.request]
        finals = [line for line in own if line.event == "request"]
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
    """Return a log line; what stands before its first brace is ignored, other text is none."""
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
    # `serving_node` is the node of the endpoint; `node` is the one that wrote the line.
    return LogLine(str(at), str(node), str(fields.pop("event")), fields)


def tell(request: str, texts: Iterable[str]) -> RequestStory:
    """Return the story of a request from the lines of any number of nodes."""
    story = RequestStory(request)
    for text in texts:
        line = parse_line(text)
        if line is None:
            continue
        if line.event in LEFT_OUT_EVENTS:
            story.left_out.append(line)
            continue
        logged = str(line.fields.get("request", ""))
        if logged == request or logged.startswith(request + "."):
            story.lines.append(line)
    story.lines.sort(key=lambda line: line.at)
    seconds = {line.at[:19] for line in story.lines}
    if seconds:
        story.left_out = [line for line in story.left_out if line.at[:19] in seconds]
    return story
