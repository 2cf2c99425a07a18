"""Forms of quota messages on the link and of quota rows on the platform."""

from __future__ import annotations

from collections.abc import Sequence

from pollenglade_core.lease_rows import SlotRow
from pollenglade_core.lease_rows import StoredSlotRow
from pollenglade_core.quota import Account
from pollenglade_core.quota import QuotaAsk
from pollenglade_core.quota import Settlement
from pollenglade_net.platform_api import Row


def settlements_to_wire(settlements: Sequence[Settlement]) -> list[list[object]]:
    """Encode the settlements of a message."""
    return [[item.request_id, item.spent, item.returned] for item in settlements]


def settlements_from_wire(value: object) -> tuple[Settlement, ...] | None:
    """Decode settlements; return None where one has another form."""
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
    """Decode an account; return None where it has another form."""
    if not isinstance(value, list) or len(value) != 2:
        return None
    profile, organisation = value
    if not isinstance(profile, str) or not isinstance(organisation, str):
        return None
    return Account(profile, organisation)


def ask_from_wire(value: object) -> QuotaAsk | None:
    """Decode the payload of a `quota-ask`; return None where it has another form."""
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
    return QuotaAsk(borrower, request_id, account, needed, wanted, settlements)


def stored_from_row(row: Row) -> StoredSlotRow:
    """Decode the row of a quota slot; a field that is missing gets an empty value."""
    value = row.value if isinstance(row.value, dict) else {}
    slot_row = SlotRow(
        str(value.get("holder", "")),
        int(value.get("incarnation", 0)),
        int(value.get("epoch", 0)),
        str(value.get("attempt", "")),
    )
    return StoredSlotRow(row.version, slot_row)
