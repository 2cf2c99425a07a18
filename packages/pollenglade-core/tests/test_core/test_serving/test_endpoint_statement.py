"""Tests that statements of an endpoint hold for it alone, and no longer than it makes them."""

from __future__ import annotations

import unittest

from pollenglade_core.serving.endpoint_statement import UNKNOWN_INCARNATION_DEPARTURE_S
from pollenglade_core.serving.endpoint_statement import Departure
from pollenglade_core.serving.endpoint_statement import EndpointIdentity
from pollenglade_core.serving.endpoint_statement import EndpointStatement
from pollenglade_core.serving.endpoint_statement import RateLimitStatement

NO_LIMIT = EndpointStatement()


class RateLimitStatementTest(unittest.TestCase):
    """Responses of one endpoint, of which a limit of 36 is known since second 10."""

    def setUp(self) -> None:
        self.statement = RateLimitStatement()
        self.statement.apply(EndpointStatement(36.0), 9.9, 10.0)

    def test_a_response_begun_before_the_limit_lifts_it(self) -> None:
        self.statement.apply(NO_LIMIT, 9.0, 10.1)
        self.assertEqual(self.statement.per_s, 36.0)

    def test_a_response_begun_after_the_limit_leaves_it_in_force(self) -> None:
        self.statement.apply(NO_LIMIT, 10.1, 10.2)
        self.assertIsNone(self.statement.per_s)

    def test_a_lower_limit_waits_for_later_responses(self) -> None:
        self.statement.apply(EndpointStatement(5.0), 9.0, 10.1)
        self.assertEqual(self.statement.per_s, 5.0)

    def test_an_earlier_higher_limit_replaces_a_lower_one(self) -> None:
        self.statement.apply(EndpointStatement(50.0), 9.9, 10.1)
        self.assertEqual(self.statement.per_s, 36.0)
        self.statement.apply(EndpointStatement(50.0), 10.05, 10.2)
        self.assertEqual(self.statement.per_s, 50.0)

    def test_an_illegible_limit_lifts_the_limit(self) -> None:
        self.statement.apply(EndpointStatement(legible=False), 11.0, 11.1)
        self.assertEqual(self.statement.per_s, 36.0)

    def test_one_health_check_without_the_field_lifts_the_limit(self) -> None:
        """Health checks may be answered without the fields of other responses."""
        self.statement.apply_health_check(NO_LIMIT, 12.5, 12.6)
        self.assertEqual(self.statement.per_s, 36.0)
        self.statement.apply_health_check(NO_LIMIT, 15.0, 15.1)
        self.assertIsNone(self.statement.per_s)

    def test_a_response_between_two_health_checks_is_forgotten(self) -> None:
        self.statement.apply_health_check(NO_LIMIT, 12.5, 12.6)
        self.statement.apply(EndpointStatement(36.0), 13.0, 13.1)
        self.statement.apply_health_check(NO_LIMIT, 15.0, 15.1)
        self.assertEqual(self.statement.per_s, 36.0)


class DepartureTest(unittest.TestCase):
    """An endpoint that is leaving and others with its id."""

    def test_a_later_incarnation_with_the_same_id_counts_as_leaving(self) -> None:
        departure = Departure(EndpointIdentity("i-1", 1000), 0.0)
        self.assertTrue(departure.covers(EndpointIdentity("i-1", 1000), 1e6))
        self.assertFalse(departure.covers(EndpointIdentity("i-1", 2000), 0.1))
        self.assertFalse(departure.covers(EndpointIdentity("i-2", 1000), 0.1))

    def test_a_departure_with_an_unknown_incarnation_is_ignored_or_lasts_for_good(self) -> None:
        departure = Departure(EndpointIdentity("i-1"), 0.0)
        later = EndpointIdentity("i-1", 2000)
        self.assertTrue(departure.covers(later, UNKNOWN_INCARNATION_DEPARTURE_S - 1))
        self.assertFalse(departure.covers(later, UNKNOWN_INCARNATION_DEPARTURE_S + 1))
