"""Spends the allowances of organisations at one node and moves tokens between nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from operator import attrgetter
from time import monotonic

import structlog

from pollenglade_core.allowance.holders import holders
from pollenglade_core.allowance.return_delay import TokenDemand
from pollenglade_core.allowance.token_share import AllowanceBounds
from pollenglade_core.allowance.token_share import TokenShare
from pollenglade_core.policy.traffic_policy import Organisation
from pollenglade_core.randomness import RandomSource

from ..membership.links import Links

LOAN_TOPIC = "loan"

LENDERS = 5
"""Holders that are asked at once; each lends up to half of what it has."""

LOAN_TIMEOUT_S = 0.05
"""Longest time in seconds that a request waits for a loan; a few round trips between zones."""

DRY_S = 0.1
"""Time in seconds without new loans after nobody could lend a whole token."""

PREFETCH_S = 0.3
"""Time in seconds for which a loan should last at the rate of recent requests."""


log = structlog.get_logger()


@dataclass(eq=False, slots=True)
class _Waiting:
    """A request that waits for a loan; `done` is called with whether it has its token."""

    priority: int
    done: Callable[[bool], None]


class _Account:
    """One organisation at this node."""

    def __init__(self, share: TokenShare, names: tuple[str, ...]) -> None:
        self.share = share
        self.holders = names
        self.demand = TokenDemand()
        self.waiting: list[_Waiting] = []
        self.dry_until = 0.0
        self.round = 0
        self.open_asks = 0


class TokenDesk:
    """Takes a token for each request, from the own share or on loan from other holders."""

    def __init__(
        self,
        node: str,
        links: Links,
        bounds: AllowanceBounds,
        first_start: bool,
        source: RandomSource,
    ) -> None:
        self._node = node
        self._links = links
        self._bounds = bounds
        self._first_start = first_start
        self._source = source
        self._loop = asyncio.get_running_loop()
        self._account_by_name: dict[str, _Account] = {}
        self._limit_by_name: dict[str, tuple[float, float]] = {}
        self.is_alive: Callable[[str], bool] = lambda node: True

    def apply(self, organisations: Iterable[Organisation], nodes: Iterable[str]) -> None:
        """Apply the limits of a policy and the nodes among which they are divided."""
        now = monotonic()
        known = {*nodes, self._node}
        limited = {item.name: item for item in organisations if item.rate_per_s > 0}
        for name in [name for name in self._account_by_name if name not in limited]:
            del self._account_by_name[name]
        for name, item in limited.items():
            names = holders(name, item.burst, known)
            part = 1.0 / len(names) if self._node in names else 0.0
            account = self._account_by_name.get(name)
            if account is None:
                share = TokenShare(item.rate_per_s, item.burst, part, now, self._bounds)
                if self._first_start:
                    share.fill()
                else:
                    share.fill_after_restart()
                self._account_by_name[name] = _Account(share, names)
                continue
            account.share.change(item.rate_per_s, item.burst, part, now)
            account.holders = names
        log.info("allowances_divided", organisations=len(limited), nodes=len(known))

    def acquire(
        self, organisation: str, priority: int, done: Callable[[bool], None]
    ) -> Callable[[], None] | None:
        """Take one token for a request; `done` is called at once or after a loan.

        Return a function that abandons the wait, or None where the request does not wait.
        """
        account = self._account_by_name.get(organisation)
        if account is None:
            done(True)
            return None
        now = monotonic()
        if not account.waiting and account.share.take(now, priority):
            account.demand.on_request(True, now)
            done(True)
            return None
        if now < account.dry_until:
            account.demand.on_request(False, now)
            done(False)
            return None
        waiting = _Waiting(priority, done)
        account.waiting.append(waiting)
        if len(account.waiting) == 1:
            self._ask(organisation, account, now)
        return lambda: self._abandon(account, waiting)

    def _abandon(self, account: _Account, waiting: _Waiting) -> None:
        if waiting in account.waiting:
            account.waiting.remove(waiting)

    def describe(self, organisation: str) -> str:
        """Return what decides on the organisation's requests at this node, for the log."""
        account = self._account_by_name.get(organisation)
        if account is None:
            return "no limit"
        tokens = account.share.tokens(monotonic())
        held = f"{tokens:.2f} tokens at a share of {account.share.share:.3f}"
        return f"{held}, {len(account.holders)} holders"

    def retry_after_s(self, organisation: str, objective_s: float) -> float:
        """Return after how many seconds a refused request should come back, before jitter."""
        account = self._account_by_name.get(organisation)
        demand = account.demand if account is not None else TokenDemand()
        return demand.delay_s(objective_s)

    def give_back(self, organisation: str) -> None:
        """Credit the token of a request that did not run."""
        account = self._account_by_name.get(organisation)
        if account is not None:
            account.share.give_back()

    def _ask(self, organisation: str, account: _Account, now: float) -> None:
        lenders = [node for node in account.holders if node != self._node and self.is_alive(node)]
        chosen = self._source.sample(lenders, min(LENDERS, len(lenders)))
        if not chosen:
            self._settle(account, now)
            return
        wanted = max(1.0, account.demand.rate_per_s(now) * PREFETCH_S)
        account.round += 1
        number = account.round
        account.open_asks = len(chosen)

        def on_answer(answer: object) -> None:
            if isinstance(answer, int | float):
                account.share.borrow(float(answer))
            if account.round != number:
                return
            account.open_asks -= 1
            if account.open_asks == 0 or account.share.tokens(monotonic()) >= 1.0:
                self._settle(account, monotonic())

        for node in chosen:
            self._links.ask_node(node, LOAN_TOPIC, [organisation, wanted], on_answer)
        self._loop.call_later(LOAN_TIMEOUT_S, self._on_timeout, account, number)

    def _on_timeout(self, account: _Account, number: int) -> None:
        if account.round == number and account.waiting:
            self._settle(account, monotonic())

    def _settle(self, account: _Account, now: float) -> None:
        account.round += 1
        waiting, account.waiting = account.waiting, []
        for request in sorted(waiting, key=attrgetter("priority")):
            granted = account.share.take(now, request.priority)
            if not granted:
                account.dry_until = now + DRY_S
            account.demand.on_request(granted, now)
            request.done(granted)

    def answer(self, payload: object, answer: Callable[[object], None]) -> None:
        """Lend tokens to another node; they are debited here first."""
        amount = 0.0
        match payload:
            case [str(organisation), int() | float() as wanted]:
                account = self._account_by_name.get(organisation)
                if account is not None:
                    amount = account.share.lend(float(wanted), monotonic())
        answer(amount)
