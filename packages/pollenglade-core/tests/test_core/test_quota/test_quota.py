"""Guards against spending above a contract and refusals within it, over a whole fleet."""

from __future__ import annotations

import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from pollenglade_core.quota.borrower_account import BorrowerAccount
from pollenglade_core.quota.quota import Account
from pollenglade_core.quota.quota import CallAdmitted
from pollenglade_core.quota.quota import CallWaiting
from pollenglade_core.quota.quota import QuotaBorrower
from pollenglade_core.quota.quota import SendTokenRequest
from pollenglade_core.quota.quota_borrower import BorrowerAction

from .quota_fleet import TICK_S
from .quota_fleet import Fleet
from .quota_fleet import Host
from .rate_window import excess

FLEETS = ({"a": 3}, {"a": 3, "b": 2})
ACCOUNTS = (Account("p", "abbey"), Account("p", "brook"))
LARGEST_CONTRACTS = {ACCOUNTS[0]: (60, 12), ACCOUNTS[1]: (2, 30)}
HOST_CHOICES = st.sampled_from(["a8", "a9", "b8", "b9", "a0", "a1", "a2", "b0", "b1"])
HOARDING_TIME_S = 0.14  # longer than the 0.125 s between two calls of `advance`


class HoardingBorrower(QuotaBorrower):
    """Requests all tokens that it can, spends them at once or just before expiry, reports none."""

    def spend(self, account: Account, call_id: str, now: float) -> list[BorrowerAction]:
        state = self._accounts.setdefault(account, BorrowerAccount())
        if state.open_request_id is not None:
            return []
        state.waiting_calls = dict.fromkeys(map(str, range(30)))
        zones = self._zones_by_account[account]
        ask = self._request_tokens(account, state, self._random_source.choice(zones), now)
        state.waiting_calls.clear()
        return [ask]

    def on_granted(self, request_id: str, tokens: int, now: float) -> list[BorrowerAction]:
        super().on_granted(request_id, tokens, now)
        return self._spend_all(now, now) if self._name[1] == "0" else []

    def advance(self, now: float) -> list[BorrowerAction]:
        for request_id, request in list(self._requests_by_id.items()):
            if now > request.sent_at + 1.0:
                self._accounts[request.account].close_request(request_id)
        return self._spend_all(now, now + HOARDING_TIME_S)

    def _spend_all(self, now: float, expired_by: float) -> list[BorrowerAction]:
        actions: list[BorrowerAction] = []
        for account, state in self._accounts.items():
            for grant in state.grants:
                if grant.remaining(expired_by) == 0 or expired_by == now:
                    spent = CallAdmitted(f"{account.profile}/{account.organisation}/0")
                    actions += [spent] * grant.remaining(now)
                    grant.spent += grant.remaining(now)
            state.grants = [grant for grant in state.grants if grant.remaining(now)]
        return actions


class FleetMachine(RuleBasedStateMachine):
    """Callers that exceed the rate several times while hosts, network and platform fail."""

    @initialize(
        seed=st.integers(0, 2**32),
        calm_s=st.sampled_from([2, 15]),
        hosts_by_zone=st.sampled_from(FLEETS),
        borrower_type=st.sampled_from([QuotaBorrower, HoardingBorrower]),
    )
    def begin(
        self,
        seed: int,
        calm_s: int,
        hosts_by_zone: dict[str, int],
        borrower_type: type[QuotaBorrower],
    ) -> None:
        self.fleet = Fleet(seed, hosts_by_zone, LARGEST_CONTRACTS, borrower_type)
        self.fleet.run(calm_s)

    def chosen_host(self, choice: str) -> Host:
        """Return a host by name, or a slot's holder by zone and number of the account."""
        if choice in self.fleet.hosts:
            return self.fleet.hosts[choice]
        holder = self.fleet.holder_of(choice[0], ACCOUNTS[int(choice[1]) % 2])
        return holder or self.fleet.hosts["a0"]

    @rule(ticks=st.integers(1, 2048), calls=st.integers(0, 40))
    def overload(self, ticks: int, calls: int) -> None:
        for _ in range(calls):
            name = self.fleet.random.choice(list(self.fleet.hosts))
            self.fleet.call(name, self.fleet.random.choice(ACCOUNTS))
        self.fleet.run(ticks * TICK_S)

    @rule(length_s=st.sampled_from([1, 5, 11, 19, 31, 45]), calls_per_s=st.integers(0, 60))
    def time_passes(self, length_s: int, calls_per_s: int) -> None:
        for _ in range(length_s * 4):
            self.overload(256, calls_per_s // 4)

    @rule(choice=HOST_CHOICES, length_s=st.sampled_from([0.5, 1, 4, 12, 21, 35, 61]))
    def pause(self, choice: str, length_s: float) -> None:
        self.chosen_host(choice).paused_until = self.fleet.now + length_s

    @rule(choice=HOST_CHOICES)
    def restart(self, choice: str) -> None:
        host = self.chosen_host(choice)
        self.fleet.start(host.name, host.incarnation + 1)

    @rule(choice=HOST_CHOICES, isolated=st.booleans())
    def isolate(self, choice: str, isolated: bool) -> None:
        self.chosen_host(choice).isolated = isolated

    @rule(zones=st.sets(st.sampled_from("ab")))
    def partition(self, zones: set[str]) -> None:
        self.fleet.cut_zones = zones

    @rule(zones=st.sets(st.sampled_from("ab")))
    def platform_outage(self, zones: set[str]) -> None:
        self.fleet.zones_without_platform = zones

    @rule(
        loss=st.sampled_from([0.0, 0.1, 0.3]),
        delay=st.sampled_from([4, 64, 640]),
        pause_rate=st.sampled_from([0.0, 0.001, 0.01]),
    )
    def vary_network(self, loss: float, delay: int, pause_rate: float) -> None:
        self.fleet.loss = loss
        self.fleet.max_delay_s = delay * TICK_S
        self.fleet.pause_rate = pause_rate

    @rule(account=st.sampled_from(ACCOUNTS), rate=st.integers(0, 60), burst=st.integers(0, 30))
    def change_contract(self, account: Account, rate: int, burst: int) -> None:
        largest_rate, largest_burst = LARGEST_CONTRACTS[account]
        self.fleet.change(account, min(rate, largest_rate), min(burst, largest_burst))

    @rule(account=st.sampled_from(ACCOUNTS), weights=st.tuples(*[st.integers(0, 3)] * 2))
    def move_shares(self, account: Account, weights: tuple[int, int]) -> None:
        """Zones that grow before others have shrunk would together exceed the contract."""
        weight_by_zone = dict(zip(self.fleet.zones, weights, strict=False))
        if any(weight_by_zone.values()):
            contract = self.fleet.contracts[account]
            self.fleet.change(account, contract.rate, contract.burst, weight_by_zone)

    @invariant()
    def no_window_exceeds_the_largest_contract(self) -> None:
        for account, (rate, burst) in LARGEST_CONTRACTS.items():
            assert excess(self.fleet.spent[account], rate, burst) == 0


FleetTest = FleetMachine.TestCase
FleetTest.settings = settings(max_examples=100, stateful_step_count=20)


class MovedSharesTest(unittest.TestCase):
    @given(
        st.integers(0, 2**32),
        st.lists(
            st.tuples(st.integers(1, 20), st.integers(1, 20), st.integers(2, 24), st.booleans()),
            min_size=3,
            max_size=8,
        ),
    )
    @settings(max_examples=10)
    def test_moving_shares_between_zones_admits_no_more(
        self, seed: int, moves: list[tuple[int, int, int, bool]]
    ) -> None:
        """If a zone grew before another has shrunk, the moved share would be admitted twice."""
        account = ACCOUNTS[0]
        fleet = Fleet(seed, {"a": 2, "b": 2}, {account: (20, 20)})
        fleet.run(10.0)
        for weight_a, weight_b, length_s, restarts in moves:
            fleet.change(account, 20, 20, {"a": weight_a, "b": weight_b})
            if restarts:
                host = fleet.hosts[fleet.random.choice(list(fleet.hosts))]
                fleet.start(host.name, host.incarnation + 1)
            for _ in range(16 * length_s):
                for name in fleet.hosts:
                    fleet.call(name, account)
                fleet.run(64 * TICK_S)
        self.assertEqual(0, excess(fleet.spent[account], 20, 20))


class CalmTest(unittest.TestCase):
    def test_refusals_within_the_rate_are_rare(self) -> None:
        """Unspent grants at idle hosts would cause refusals of calls within the contract."""
        offered, refused = run_calm_load(200, 200, 0.8, 20)
        print(f"refused {refused} of {offered} calls within the rate")
        self.assertGreater(offered, 8_000)
        self.assertLessEqual(refused, offered * 0.001)

    def test_refusals_of_small_contracts_are_rare(self) -> None:
        """With a small burst, tokens in other zones or at idle nodes would cause refusals."""
        for rate, burst, load in ((3, 3, 0.5), (5, 5, 0.8), (20, 20, 0.8), (60, 30, 0.8)):
            with self.subTest(rate=rate, burst=burst):
                offered, refused = run_calm_load(rate, burst, load, 32)
                self.assertGreater(offered, 100)
                self.assertLessEqual(refused, offered * 0.001)

    def test_refusals_at_a_fast_and_small_contract_are_rare(self) -> None:
        """Grants in transit block accrual, which is significant at 20 per second and burst 5."""
        offered, refused = run_calm_load(20, 5, 0.8, 32)
        self.assertLessEqual(refused, offered * 0.001, f"{refused} of {offered}")


def run_calm_load(rate: int, burst: int, load: float, length_s: int) -> tuple[int, int]:
    """Return the numbers of calls offered within rate and burst in four zones and of refusals."""
    offered = refused = 0
    for seed in range(3):
        account = Account("p", "abbey")
        fleet = Fleet(seed, {"a": 8, "b": 8, "c": 8, "d": 8}, {account: (rate, burst)})
        fleet.run(20.0)
        weights = [2.0 ** -(index % 6) for index in range(len(fleet.hosts))]
        level, last = float(burst), fleet.now
        for _ in range(length_s * 1024):
            level = min(float(burst), level + rate * (fleet.now - last))
            last = fleet.now
            if fleet.random.random() < load * rate * TICK_S and level >= 1.0:
                level -= 1.0
                offered += 1
                fleet.call(fleet.random.choices(list(fleet.hosts), weights)[0], account)
            fleet.run(TICK_S)
        fleet.run(1.0)
        refused += len(fleet.refused[account])
        assert excess(fleet.spent[account], rate, burst) == 0
    return offered, refused


class WaitingCallTest(unittest.TestCase):
    def test_a_call_that_arrives_during_a_request_is_refused_after_a_full_grant(self) -> None:
        borrower = QuotaBorrower("n/1", "a", ("a",), random.Random(1))
        _, request = borrower.spend(ACCOUNTS[0], "first", 50.0)
        self.assertEqual([CallWaiting("second")], borrower.spend(ACCOUNTS[0], "second", 50.001))
        assert isinstance(request, SendTokenRequest)
        actions = borrower.on_granted(request.ask.request_id, 1, 50.002)
        kinds = [type(action).__name__ for action in actions]
        self.assertEqual(["CallAdmitted", "SendSettlements", "SendTokenRequest"], kinds)


class PrefetchTest(unittest.TestCase):
    @given(st.integers(4, 200), st.integers(0, 2**32))
    @settings(max_examples=20)
    def test_steady_traffic_waits_for_no_round_trip(self, per_s: int, seed: int) -> None:
        """A call that waits for a reply of the holder has the latency of a round trip."""
        borrower = QuotaBorrower("n/1", "a", ("a", "b"), random.Random(seed))
        waited_at: list[float] = []
        replies: list[tuple[float, SendTokenRequest]] = []
        for index in range(per_s * 4):
            now = 50.0 + index / per_s
            while replies and replies[0][0] <= now:
                granted_at, request = replies.pop(0)
                borrower.on_granted(request.ask.request_id, request.ask.wanted, granted_at)
            for action in borrower.spend(ACCOUNTS[0], str(index), now):
                if isinstance(action, SendTokenRequest):
                    replies.append((now + 0.003, action))
                elif isinstance(action, CallWaiting):
                    waited_at.append(now)
        self.assertEqual([], [at for at in waited_at if at > 51.0])
