"""Guards against unintended changes of behaviour in whole claim and drain sessions."""

from __future__ import annotations

import random
import unittest
from pathlib import Path

from support.golden import Transcript
from support.golden import check_golden

from pollenglade_core.claims.claim_messages import AnswerLost
from pollenglade_core.claims.claim_messages import ClaimEvent
from pollenglade_core.claims.claim_messages import ClaimExists
from pollenglade_core.claims.claim_messages import RecordLost
from pollenglade_core.claims.claim_messages import RepeatArrived
from pollenglade_core.claims.claim_messages import TargetResponded
from pollenglade_core.claims.claim_row import ClaimRow
from pollenglade_core.claims.claim_row import RecordedResponse
from pollenglade_core.claims.claim_row import RowState
from pollenglade_core.claims.claims import ClaimMachine
from pollenglade_core.drain import Drain
from pollenglade_core.drain import DrainEvent
from pollenglade_core.drain import RunningCalls
from pollenglade_core.drain import StopRequested
from pollenglade_core.drain import Tick

GOLDEN = Path(__file__).resolve().parent.parent / "golden"


class GoldenSessionsTest(unittest.TestCase):
    def test_claim_with_lost_answers(self) -> None:
        """A claim must be read back after a lost write, or the call is refused or runs twice."""
        row = ClaimRow("alder", "5f0c", "attempt-1", "pay-17", "node-1/4")
        machine = ClaimMachine(row, "call-1", 2.0, random.Random(7))
        response = RecordedResponse(201, (("content-type", "text/plain"),), b"paid")
        done = ClaimRow("alder", "5f0c", "attempt-1", "pay-17", "node-1/4", RowState.DONE, response)
        transcript = Transcript()
        transcript.add(0.0, "start", machine.start(0.0), machine.state)
        session: list[tuple[float, ClaimEvent]] = [
            (0.25, AnswerLost()),
            (0.26, ClaimExists(row, 1)),
            (0.27, RepeatArrived("call-2", "pay-17")),
            (0.40, TargetResponded(response)),
            (0.65, RecordLost()),
            (0.80, ClaimExists(done, 2)),
            (0.90, RepeatArrived("call-3", "pay-17")),
            (0.91, RepeatArrived("call-4", "pay-18")),
        ]
        for time_s, event in session:
            transcript.add(time_s, event, machine.handle(event, time_s), machine.state)
            if time_s == 0.26:
                self.assertTrue(machine.permit_send(time_s))
                transcript.add(time_s, "permit_send", [], machine.state)
        check_golden(self, GOLDEN / "claim_lost_answers.jsonl", transcript)

    def test_drain(self) -> None:
        """A wrong order of refusal, announcement and exit would interrupt calls during a stop."""
        drain = Drain()
        transcript = Transcript()
        session: list[tuple[float, DrainEvent]] = [
            (0.0, RunningCalls(2)),
            (1.0, StopRequested()),
            (1.1, StopRequested()),
            (1.5, RunningCalls(1)),
            (2.0, RunningCalls(0)),
            (4.9, Tick()),
            (5.0, Tick()),
            (5.1, Tick()),
        ]
        for time_s, event in session:
            transcript.add(time_s, event, drain.handle(event, time_s), drain.state)
        check_golden(self, GOLDEN / "drain.jsonl", transcript)
