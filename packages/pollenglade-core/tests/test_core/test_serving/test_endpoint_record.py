"""Tests that an endpoint that has left, crashed or never existed is not ready for requests."""

from __future__ import annotations

import unittest
from dataclasses import replace

from pollenglade_core.serving.endpoint_record import EndpointRecord
from pollenglade_core.serving.endpoint_record import EndpointReport
from pollenglade_core.serving.endpoint_record import LocalEndpointState
from pollenglade_core.serving.endpoint_record import ReportResult
from pollenglade_core.serving.endpoint_statement import EndpointIdentity
from pollenglade_core.serving.endpoint_statement import EndpointStatement

REPORT = EndpointReport("i-1", "calls", "10.0.0.1:80", 8, False, incarnation=100, sequence=5)


class EndpointRecordTest(unittest.TestCase):
    """Reports of one endpoint and of its successors at the same address."""

    def setUp(self) -> None:
        self.record = EndpointRecord("calls")
        self.assertIs(self.record.apply(REPORT, 0.0), ReportResult.STARTED)

    def apply(self, **changes: object) -> ReportResult:
        """Apply a copy of REPORT with other field values."""
        return self.record.apply(replace(REPORT, **changes), 1.0)  # type: ignore[arg-type]

    def test_a_late_report_of_an_earlier_incarnation_is_ignored(self) -> None:
        """It would replace the running endpoint by one that has ended."""
        self.apply(endpoint_id="i-2", incarnation=200, sequence=1)
        self.assertIs(self.apply(sequence=99), ReportResult.OLD_INCARNATION)
        self.assertEqual(self.record.endpoint_id, "i-2")

    def test_a_restart_with_the_same_id_starts_a_new_sequence(self) -> None:
        """If its low sequence numbers were ignored, the endpoint would get no requests."""
        self.assertIs(self.apply(incarnation=200, sequence=1), ReportResult.STARTED)

    def test_a_reordered_report_is_ignored(self) -> None:
        """It would make a draining endpoint ready again."""
        self.apply(sequence=7, draining=True)
        self.assertIs(self.apply(sequence=6), ReportResult.OLD_SEQUENCE)
        self.assertIs(self.record.state, LocalEndpointState.DRAINING)

    def test_one_heartbeat_with_too_large_a_number_hides_the_endpoint_for_ever(self) -> None:
        """All later ones of the endpoint itself seemed old, though nothing else was heard."""
        for odd in ({"sequence": 10**12}, {"incarnation": 10**9, "sequence": 1}):
            with self.subTest(**odd):
                self.setUp()
                self.record.apply(replace(REPORT, **odd), 10.0)  # type: ignore[arg-type]
                results = [
                    self.record.apply(replace(REPORT, sequence=6 + step), 11.0 + step)
                    for step in range(8)
                ]
                self.assertIn(results[0], (ReportResult.OLD_SEQUENCE, ReportResult.OLD_INCARNATION))
                self.assertIs(results[-1], ReportResult.APPLIED)
                self.assertEqual(self.record.identity.incarnation, REPORT.incarnation)

    def test_delayed_heartbeats_of_an_ended_endpoint_replace_a_running_one(self) -> None:
        """They may arrive in order; those of the running one arrive as well."""
        self.apply(incarnation=200, sequence=1)
        for step in range(20):
            at = 10.0 + step
            if step % 4 == 0:
                self.record.apply(replace(REPORT, incarnation=200, sequence=2 + step), at)
            result = self.record.apply(replace(REPORT, sequence=50 + step), at)
            self.assertIs(result, ReportResult.OLD_INCARNATION)
        # Two of them are not enough, whatever the time since the latest heartbeat.
        self.apply(incarnation=201, sequence=1)
        for step in range(2):
            result = self.record.apply(replace(REPORT, sequence=90 + step), 90.0 + step)
            self.assertIs(result, ReportResult.OLD_INCARNATION)

    def test_a_drain_that_arrives_late_is_confirmed_and_ignored(self) -> None:
        """Requests reached the endpoint after the confirmation."""
        self.assertIs(self.apply(sequence=4, draining=True), ReportResult.APPLIED)
        self.assertFalse(self.record.is_ready)
        self.assertIs(self.record.apply(replace(REPORT, sequence=6), 1.0), ReportResult.APPLIED)
        self.assertFalse(self.record.is_ready)

    def test_a_drain_is_final_for_its_incarnation(self) -> None:
        """Requests would reach an endpoint after its drain was acknowledged."""
        self.apply(sequence=7, draining=True)
        self.apply(sequence=8, draining=False)
        self.assertFalse(self.record.is_ready)

    def test_a_late_report_does_not_restore_an_endpoint_that_left(self) -> None:
        """Requests would be sent to an endpoint that is stopping."""
        self.assertTrue(self.record.mark_leaving("i-1", 1.0))
        self.assertIs(self.apply(sequence=9), ReportResult.ALREADY_LEFT)
        self.assertFalse(self.record.is_ready)

    def test_a_restored_departure_ends_the_use_of_another_endpoint(self) -> None:
        """It belongs to one start of an endpoint, also if a later one has the same id."""
        for endpoint in (EndpointIdentity("i-0", 50), EndpointIdentity("i-1", 90)):
            self.assertFalse(self.record.restore_departure(endpoint, 0.0, 1.0))
            self.assertTrue(self.record.is_ready)
        self.assertTrue(self.record.restore_departure(self.record.identity, 0.0, 1.0))
        self.assertFalse(self.record.is_ready)

    def test_a_restarted_node_takes_the_older_of_two_departures(self) -> None:
        """The store and the other nodes may know different ones."""
        self.record = EndpointRecord("calls")
        for incarnation in (90, 100, 95):
            self.record.restore_departure(EndpointIdentity("i-1", incarnation), 0.0, 0.0)
        self.assertIs(self.record.apply(REPORT, 1.0), ReportResult.ALREADY_LEFT)

    def test_a_restarted_node_forgets_a_departure_that_it_confirmed(self) -> None:
        """It did not know the endpoint yet, and a late report made the endpoint ready."""
        self.record = EndpointRecord("calls")
        self.assertTrue(self.record.mark_leaving("i-1", 0.5))
        self.assertFalse(self.record.apply_health_check("i-1", REPORT.address, 8, 0.6))
        self.assertIs(self.apply(), ReportResult.ALREADY_LEFT)
        self.assertIs(self.record.state, LocalEndpointState.DRAINING)
        self.assertIs(self.apply(endpoint_id="i-2", incarnation=200), ReportResult.STARTED)
        self.assertTrue(self.record.is_ready)

    def test_leave_applies_only_to_the_named_endpoint(self) -> None:
        """A late message of the former endpoint would stop its successor."""
        self.assertFalse(self.record.mark_leaving("i-0", 1.0))
        self.assertTrue(self.record.is_ready)

    def test_a_report_of_another_service_is_rejected(self) -> None:
        """Requests would reach an endpoint that runs another service."""
        self.assertIs(self.apply(service="jury", incarnation=900), ReportResult.OTHER_SERVICE)

    def test_a_down_endpoint_is_ready_after_the_next_report(self) -> None:
        """An endpoint that was down for a short time would get no requests."""
        self.record.mark_down()
        self.assertFalse(self.record.is_ready)
        self.apply(sequence=6)
        self.assertTrue(self.record.is_ready)

    def test_a_health_check_applies_only_before_the_first_report(self) -> None:
        """It would override what the endpoint itself reports."""
        self.assertFalse(self.record.apply_health_check("i-9", "10.0.0.1:80", 8, 0.0))
        fresh = EndpointRecord("calls")
        self.assertTrue(fresh.apply_health_check("i-9", "10.0.0.1:80", 8, 0.0))
        self.assertTrue(fresh.is_ready)

    def state(
        self, statement: EndpointStatement, endpoint_id: str = "i-1", incarnation: int = 100
    ) -> None:
        """Apply the statement of a response of an endpoint."""
        endpoint = EndpointIdentity(endpoint_id, incarnation)
        self.record.apply_statement(statement, endpoint, 0.5, 1.0)

    def test_a_heartbeat_restores_an_endpoint_that_stated_that_it_leaves(self) -> None:
        self.state(EndpointStatement(leaving=True))
        self.assertFalse(self.record.is_ready)
        self.assertIs(self.apply(sequence=9), ReportResult.ALREADY_LEFT)
        self.assertFalse(self.record.is_ready)

    def test_a_late_response_of_the_former_endpoint_counts_for_its_successor(self) -> None:
        self.apply(endpoint_id="i-2", incarnation=200, sequence=1)
        self.state(EndpointStatement(5.0, leaving=True))
        self.assertTrue(self.record.is_ready)
        self.assertIsNone(self.record.rate_limit)

    def test_the_limit_of_an_endpoint_outlives_its_incarnation(self) -> None:
        self.state(EndpointStatement(5.0))
        self.assertEqual(self.record.rate_limit, 5.0)
        self.apply(sequence=6)
        self.assertEqual(self.record.rate_limit, 5.0)
        self.apply(incarnation=200, sequence=1)
        self.assertIsNone(self.record.rate_limit)

    def test_the_first_heartbeat_after_a_health_check_drops_the_limit(self) -> None:
        self.record = EndpointRecord("calls")
        self.record.apply_health_check("i-1", "10.0.0.1:80", 8, 0.0)
        self.state(EndpointStatement(5.0), incarnation=-1)
        self.apply()
        self.assertEqual(self.record.rate_limit, 5.0)
