"""Conversion of quota messages on the link and of slot rows in the platform's table."""

from __future__ import annotations

from collections.abc import Sequence

from pollenglade_core.quota.lease_rows import SlotRow
from pollenglade_core.quota.lease_rows import StoredSlotRow
from pollenglade_core.quota.quota import Account
from pollenglade_core.quota.quota import Settlement
from pollenglade_core.quota.quota import TokenRequest
from pollenglade_net.platform_api import Row


def token_request_to_wire(request: TokenRequest) -> list[object]:
    """Return a token request as a list for the link."""
    return [
        request.borrower,
        request.request_id,
        list(request.account),
        request.needed,
        request.wanted,
        settlements_to_wire(request.settlements),
    ]


def slot_row_to_value(row: SlotRow) -> dict[str, object]:
    """Return a slot row as a JSON value."""
    return {
        "holder": row.holder,
        "incarnation": row.incarnation,
        "epoch": row.epoch,
        "attempt": row.attempt,
    }


def settlements_to_wire(settlements: Sequence[Settlement]) -> list[list[object]]:
    """Return settlements as a list of `[request_id, spent, returned]` for the link."""
    return [[item.request_id, item.spent, item.returned] for item in settlements]


def settlements_from_wire(value: object) -> tuple[Settlement, ...] | None:
    """Parse settlements from the link; return None if the value is invalid."""
    settlements: list[Settlement] = []
    for item in value if isinstance(value, list) else [None]:
        if not isinstance(item, list) or len(item) != 3:
            return None
        request_id, spent, returned = item
        if not isinstance(request_id, str):
            return None
        if not isinstance(spent, int) or not isinstance(returned, int):
            return None
        settlements.append(Settlement(request_id, spent, returned))
    return tuple(settlements)


def account_from_wire(value: object) -> Account | None:
    """Parse a pair of profile and organisation; return None if the value is invalid."""
    if not isinstance(value, list) or len(value) != 2:
        return None
    profile, organisation = value
    if not isinstance(profile, str) or not isinstance(organisation, str):
        return None
    return Account(profile, organisation)


def token_request_from_wire(value: object) -> TokenRequest | None:
    """Parse a token request from the link; return None if the value is invalid."""
    if not isinstance(value, list) or len(value) != 6:
        return None
    borrower, request_id, account_wire, needed, wanted, settlements_wire = value
    account = account_from_wire(account_wire)
    settlements = settlements_from_wire(settlements_wire)
    if account is None or settlements is None:
        return None
    if not isinstance(borrower, str) or not isinstance(request_id, str):
        return None
    if not isinstance(needed, int) or not isinstance(wanted, int) or min(needed, wanted) < 0:
        return None
    return TokenRequest(borrower, request_id, account, needed, wanted, settlements)


def stored_slot_row(row: Row) -> StoredSlotRow:
    """Parse a slot row of the platform's table; missing fields get empty values."""
    value = row.value if isinstance(row.value, dict) else {}
    slot_row = SlotRow(
        str(value.get("holder", "")),
        int(value.get("incarnation", 0)),
        int(value.get("epoch", 0)),
        str(value.get("attempt", "")),
    )
    return StoredSlotRow(row.version, slot_row)
