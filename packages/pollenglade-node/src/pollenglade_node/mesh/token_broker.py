"""Token broker: debits the limits of organisations at one node and lends tokens to other nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from operator import attrgetter
from time import monotonic

import structlog

from pollenglade_core.allowance.holders import limit_holders
from pollenglade_core.allowance.loan_request import LoanRequest
from pollenglade_core.allowance.loan_request import missing_tokens
from pollenglade_core.allowance.retry_delay import TokenDemand
from pollenglade_core.allowance.token_share import AllowanceBounds
from pollenglade_core.allowance.token_share import TokenShare
from pollenglade_core.policy.traffic_policy import Organisation
from pollenglade_core.randomness import RandomSource

from ..membership.links import Links

LOAN_TOPIC = "loan"

LOAN_TIMEOUT_S = 0.05
"""Upper bound in seconds on the wait for the lenders that are asked at the same time; covers a few
round trips between zones."""

NO_LOAN_BACKOFF_S = 0.1
"""Time in seconds without new loan requests after the loans did not cover all waiting requests."""

PREFETCH_S = 0.3
"""Time in seconds that a loan should cover at the recent request rate."""


log = structlog.get_logger()


@dataclass(eq=False, slots=True)
class _WaitingRequest:
    """A request that waits for a loan; `on_result` receives whether it got a token.

    `priority` 0 is the most important.
    """

    priority: int
    on_result: Callable[[bool], None]


class _OrganisationAccount:
    """Tokens, holders and waiting requests of one organisation at this node."""

    def __init__(self, share: TokenShare, holder_nodes: tuple[str, ...]) -> None:
        self.share = share
        self.holders = holder_nodes
        self.demand = TokenDemand()
        self.waiting: list[_WaitingRequest] = []
        self.no_loans_until = 0.0
        self.loan_round = 0
        self.pending_replies = 0


class TokenBroker:
    """Takes a token for each request from this node's share or from loans of other holders.

    `is_alive` tells whether a node is reachable and can be asked for a loan.
    """

    def __init__(
        self,
        node: str,
        links: Links,
        bounds: AllowanceBounds,
        first_start: bool,
        random_source: RandomSource,
    ) -> None:
        self._node = node
        self._links = links
        self._bounds = bounds
        self._first_start = first_start
        self._random_source = random_source
        self._loop = asyncio.get_running_loop()
        self._account_by_name: dict[str, _OrganisationAccount] = {}
        self.is_alive: Callable[[str], bool] = lambda node: True

    def apply(self, organisations: Iterable[Organisation], nodes: Iterable[str]) -> None:
        """Apply the limits of a policy, divided among holders that are chosen from the nodes."""
        now = monotonic()
        all_nodes = {*nodes, self._node}
        limited = {item.name: item for item in organisations if item.rate_per_s > 0}
        for name in [name for name in self._account_by_name if name not in limited]:
            del self._account_by_name[name]
        for name, item in limited.items():
            holder_nodes = limit_holders(name, item.burst, all_nodes)
            fraction = 1.0 / len(holder_nodes) if self._node in holder_nodes else 0.0
            account = self._account_by_name.get(name)
            if account is None:
                share = TokenShare(item.rate_per_s, item.burst, fraction, now, self._bounds)
                if self._first_start:
                    share.fill()
                else:
                    share.fill_after_restart()
                self._account_by_name[name] = _OrganisationAccount(share, holder_nodes)
                continue
            account.share.change(item.rate_per_s, item.burst, fraction, now)
            account.holders = holder_nodes
        log.info("allowances_divided", organisations=len(limited), nodes=len(all_nodes))

    def acquire(
        self, organisation: str, priority: int, on_result: Callable[[bool], None]
    ) -> Callable[[], None] | None:
        """Take one token for a request; `on_result` is called at once or after a loan.

        Returns a function that abandons the wait, or None if the request does not wait. An
        organisation without a limit always gets a token.
        """
        account = self._account_by_name.get(organisation)
        if account is None:
            on_result(True)
            return None
        now = monotonic()
        if not account.waiting and account.share.try_spend(now, priority):
            account.demand.on_request(True, now)
            on_result(True)
            return None
        if now < account.no_loans_until:
            account.demand.on_request(False, now)
            on_result(False)
            return None
        waiting_request = _WaitingRequest(priority, on_result)
        account.waiting.append(waiting_request)
        if len(account.waiting) == 1:
            self._request_loans(organisation, account, now)
        return lambda: self._abandon(account, waiting_request)

    def _abandon(self, account: _OrganisationAccount, waiting_request: _WaitingRequest) -> None:
        if waiting_request in account.waiting:
            account.waiting.remove(waiting_request)

    def describe(self, organisation: str) -> str:
        """Return tokens, share and holder count of an organisation's limit here, for the log."""
        account = self._account_by_name.get(organisation)
        if account is None:
            return "no limit"
        tokens = account.share.tokens(monotonic())
        balance = f"{tokens:.2f} tokens at a share of {account.share.share:.3f}"
        return f"{balance}, {len(account.holders)} holders"

    def retry_after_s(self, organisation: str, objective_s: float) -> float:
        """Return the delay in seconds before a refused request should be repeated, unjittered."""
        account = self._account_by_name.get(organisation)
        demand = account.demand if account is not None else TokenDemand()
        return demand.delay_s(objective_s)

    def give_back(self, organisation: str) -> None:
        """Credit the token of a request that has not run."""
        account = self._account_by_name.get(organisation)
        if account is not None:
            account.share.refund()

    def _request_loans(self, organisation: str, account: _OrganisationAccount, now: float) -> None:
        lenders = [node for node in account.holders if node != self._node and self.is_alive(node)]
        request = LoanRequest(lenders, self._random_source)
        prefetched_tokens = account.demand.rate_per_s(now) * PREFETCH_S
        self._ask_lenders(organisation, account, request, prefetched_tokens, now)

    def _ask_lenders(
        self,
        organisation: str,
        account: _OrganisationAccount,
        request: LoanRequest,
        min_tokens: float,
        now: float,
    ) -> None:
        """Ask the next lenders for what is missing, at least `min_tokens`."""
        lenders = request.next_lenders()
        if not lenders:
            self._settle_waiting(account, now)
            return
        wanted = max(min_tokens, missing_tokens(len(account.waiting), account.share.tokens(now)))
        account.loan_round += 1
        round_number = account.loan_round
        account.pending_replies = len(lenders)

        def ask_others() -> None:
            if account.loan_round == round_number and account.waiting:
                self._ask_lenders(organisation, account, request, 0.0, monotonic())

        def on_reply(reply: object) -> None:
            if isinstance(reply, int | float):
                account.share.borrow(float(reply))
            if account.loan_round != round_number:
                return
            account.pending_replies -= 1
            if account.share.tokens(monotonic()) >= len(account.waiting):
                self._settle_waiting(account, monotonic())
            elif account.pending_replies == 0:
                ask_others()

        for node in lenders:
            self._links.query_node(node, LOAN_TOPIC, [organisation, wanted], on_reply)
        self._loop.call_later(LOAN_TIMEOUT_S, ask_others)

    def _settle_waiting(self, account: _OrganisationAccount, now: float) -> None:
        account.loan_round += 1
        waiting, account.waiting = account.waiting, []
        for request in sorted(waiting, key=attrgetter("priority")):
            granted = account.share.try_spend(now, request.priority)
            if not granted:
                account.no_loans_until = now + NO_LOAN_BACKOFF_S
            account.demand.on_request(granted, now)
            request.on_result(granted)

    def on_query(self, payload: object, reply: Callable[[object], None]) -> None:
        """Reply with the tokens lent to a peer; they are debited here before the reply is sent."""
        amount = 0.0
        match payload:
            case [str(organisation), int() | float() as wanted]:
                account = self._account_by_name.get(organisation)
                if account is not None:
                    amount = account.share.lend(float(wanted), monotonic())
        reply(amount)
