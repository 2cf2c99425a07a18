"""Guards against retry delays after which a response is too late to be useful."""

from __future__ import annotations

import random
import unittest
from collections import Counter
from collections.abc import Callable
from heapq import heapify
from heapq import heappop
from heapq import heappush

from pollenglade_core.allowance.retry_delay import MAX_DELAY_S
from pollenglade_core.allowance.retry_delay import TokenDemand
from pollenglade_core.allowance.token_share import TokenShare
from pollenglade_core.randomness import jittered

RATE_PER_S = 50.0
BURST = 25.0
OBJECTIVE_S = 1.2
DEADLINE_S = 5.0
WORK_S = 0.13
MAX_TRIES = 3

Delay = Callable[[TokenDemand], float]


def fixed_delay(demand: TokenDemand) -> float:
    """Return a delay of 1 s regardless of objective and demand."""
    return 1.0


def adapted_delay(demand: TokenDemand) -> float:
    """Return the delay that depends on objective and demand."""
    return demand.delay_s(OBJECTIVE_S)


def simulate_surge(load_factor: float, surge_s: float, delay: Delay) -> Counter[str]:
    """Simulate a surge of `load_factor` times the rate; return counts of tries and of results.

    Callers observe the delay up to a third of their remaining time, for at most `MAX_TRIES` tries.
    """
    random_source = random.Random(3)
    share = TokenShare(RATE_PER_S, BURST, 1.0, 0.0)
    share.fill()
    demand = TokenDemand()
    now, pending_tries = 0.0, []
    while now < surge_s:
        now += random_source.expovariate(RATE_PER_S * load_factor)
        pending_tries.append((now, now, 1))
    heapify(pending_tries)
    results: Counter[str] = Counter()
    while pending_tries:
        now, first_sent_at, try_number = heappop(pending_tries)
        results["tries"] += 1
        granted = share.try_spend(now)
        demand.on_request(granted, now)
        if granted:
            results["in time" if now + WORK_S - first_sent_at <= OBJECTIVE_S else "late"] += 1
        elif try_number == MAX_TRIES:
            results["refused"] += 1
        else:
            left_s = first_sent_at + DEADLINE_S - now
            wait_s = min(jittered(delay(demand), random_source), left_s / 3)
            heappush(pending_tries, (now + wait_s, first_sent_at, try_number + 1))
    return results


class ReturnDelayTest(unittest.TestCase):
    def test_requests_return_within_their_objective_in_a_lasting_surge(self) -> None:
        """Tokens spent on requests that are repeated too late give no response in time."""
        fixed = simulate_surge(1.5, 20.0, fixed_delay)
        adapted = simulate_surge(1.5, 20.0, adapted_delay)
        self.assertGreater(adapted["in time"], fixed["in time"])
        self.assertLess(adapted["late"], 0.05 * adapted["in time"])
        # Late repeats also use the tokens of the seconds after the surge.
        served = fixed["in time"] + fixed["late"]
        self.assertGreater(adapted["in time"] + adapted["late"], 0.9 * served)

    def test_the_delay_is_at_its_maximum_far_above_the_rate(self) -> None:
        """At many times the rate, a short delay would only multiply the requests."""
        demand = TokenDemand()
        for number in range(1000):
            demand.on_request(number % 40 == 0, number * 0.005)
        self.assertEqual(MAX_DELAY_S, demand.delay_s(OBJECTIVE_S))

    def test_a_short_objective_gives_a_short_delay(self) -> None:
        """A delay of a second is too long for a request with a short latency objective."""
        demand = TokenDemand()
        demand.on_request(False, 0.0)
        self.assertLess(2 * demand.delay_s(0.3), 0.15)

    def test_the_rate_follows_the_requests_and_decays(self) -> None:
        """Loans are sized by the rate; an outdated rate would borrow tokens that others need."""
        demand = TokenDemand()
        for step in range(400):
            demand.on_request(step % 2 == 0, step * 0.02)
        self.assertAlmostEqual(demand.rate_per_s(8.0), 50.0, delta=2.5)
        self.assertLess(demand.rate_per_s(13.0), 1.0)
