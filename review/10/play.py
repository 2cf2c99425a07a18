"""A node is stopped while the run at the endpoint beside it makes a call of its own."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))

from harness import BOUNDS  # noqa: E402
from harness import LIMITS  # noqa: E402
from harness import TROUBLE  # noqa: E402
from harness import CannotRunError  # noqa: E402
from harness import Endpoint  # noqa: E402
from harness import Headers  # noqa: E402
from harness import Installation  # noqa: E402
from harness import Message  # noqa: E402
from harness import Node  # noqa: E402
from harness import encode  # noqa: E402
from harness import exchange  # noqa: E402
from harness import main  # noqa: E402
from harness import route  # noqa: E402
from harness import service  # noqa: E402

ZONES = ["zone-1", "zone-2"]
GRACE_S = float(BOUNDS["GraceS"])
DEADLINE_MS = 6000
CALL_AFTER_S = 3.4
"""Time from the start of a run to its call."""
CALL_WORK_S = 2.3
SENT_BEFORE_STOP_S = 0.2
LAST_SEND_S = 3.0
"""The rule excuses what is still at work near the end only if it was sent by then."""


class CallingEndpoint(Endpoint):
    """Makes one call of its own in each run, as a request to the node on its machine."""

    node: Node
    calls: list[tuple[float, float, str, int | None]]

    def __post_init__(self) -> None:
        super().__post_init__()
        self.calls = []

    async def run(self, request: Message, request_id: str) -> tuple[int, Headers, bytes]:
        left_ms = int(request.headers["pollenglade-deadline-ms"]) - int(CALL_AFTER_S * 1000)
        await asyncio.sleep(CALL_AFTER_S)
        call_id = f"{request_id}.1"
        headers = {
            "Host": "back.example",
            "Pollenglade-Request-Id": call_id,
            "Pollenglade-Deadline-Ms": str(left_ms),
        }
        self.record.note(f"endpoint {self.name}: sends {call_id}, {left_ms} ms are left")
        sent_at = self.record.now
        message = encode(f"GET /p/{call_id} HTTP/1.1", headers)
        answer = await exchange(self.node.host, 7002, message, left_ms / 1000)
        status = None if answer is None else int(answer.first[1])
        self.calls.append((sent_at, self.record.now, call_id, status))
        self.record.note(f"endpoint {self.name}: {call_id} -> {status}")
        fields = {
            "Pollenglade-Request-Id": request_id,
            "Pollenglade-Response-Signature": f"sig.{self.name}.{request_id}",
        }
        return (200 if status == 200 else 500), fields, b"answer"


class CalledEndpoint(Endpoint):
    """Notes the ends of its runs; a run ends early when its connection closes."""

    async def run(self, request: Message, request_id: str) -> tuple[int, Headers, bytes]:
        answer = await super().run(request, request_id)
        self.record.note(f"endpoint {self.name}: {request_id} is done")
        return answer


async def play(installation: Installation) -> bool:
    record = installation.record
    limits = {"TimeoutMs": DEADLINE_MS, "TargetLatencyMs": 2000}
    resources = [
        route("r-front", "front.example", Service="front", **limits),
        route("r-back", "back.example", Service="back", **limits),
        service("front"),
        service("back"),
        LIMITS,
    ]
    installation.store.put_manifest(1, resources)
    front_node, front = await installation.add(1, "zone-1", "front", ZONES, CallingEndpoint)
    assert isinstance(front, CallingEndpoint)
    front.node = front_node
    await installation.add(2, "zone-2", "back", ZONES, CalledEndpoint, work_s=CALL_WORK_S)
    other_node = installation.nodes[1]
    for node in installation.nodes:
        await node.wait_ready()
    await asyncio.sleep(5.0)
    request = asyncio.create_task(
        installation.ask(other_node, "front.example", deadline_ms=DEADLINE_MS)
    )
    await asyncio.sleep(SENT_BEFORE_STOP_S)
    if not front.runs:
        raise CannotRunError("the request did not reach the endpoint")
    stopped_at = record.now
    if TROUBLE:
        front_node.signal(signal.SIGTERM)
    await asyncio.sleep(GRACE_S)
    if TROUBLE:
        record.note(f"the grace period of {GRACE_S:.0f} s is over")
        front_node.signal(signal.SIGKILL)
    await request
    if not front.calls:
        raise CannotRunError("the endpoint made no call")
    sent_at, ended_at, call_id, status = front.calls[0]
    record.note(
        f"{call_id}: sent {sent_at - stopped_at:.2f} s and answered with {status} "
        f"{ended_at - stopped_at:.2f} s after the stop began"
    )
    started = [at for at, run_id in installation.endpoints[1].runs if run_id == call_id]
    if sent_at - stopped_at <= LAST_SEND_S:
        raise CannotRunError("the call was sent too early to be judged")
    was_at_work = bool(started) and ended_at < started[0] + CALL_WORK_S
    return not (started and status != 200 and was_at_work)


if __name__ == "__main__":
    sys.exit(main(play, FOLDER, 60.0))
