"""Public names of fleet-wide rate limits: zone shares, granting buckets, holders and borrowers."""

from __future__ import annotations

from .granting_bucket import GrantingBucket
from .quota_borrower import AskHolder
from .quota_borrower import QuotaBorrower
from .quota_borrower import Refused
from .quota_borrower import SettleHolder
from .quota_borrower import Spent
from .quota_borrower import Waiting
from .quota_holder import QuotaHolder
from .quota_holder import SlotAuthority
from .quota_holder import SlotHold
from .quota_messages import GRANT_LIFETIME_S
from .quota_messages import Account
from .quota_messages import Denied
from .quota_messages import Granted
from .quota_messages import QuotaAsk
from .quota_messages import Settlement
from .share_changes import ShareChanges
from .zone_shares import ZoneShare
from .zone_shares import contract_shares

__all__ = [
    "GRANT_LIFETIME_S",
    "Account",
    "AskHolder",
    "Denied",
    "Granted",
    "GrantingBucket",
    "QuotaAsk",
    "QuotaBorrower",
    "QuotaHolder",
    "Refused",
    "SettleHolder",
    "Settlement",
    "ShareChanges",
    "SlotAuthority",
    "SlotHold",
    "Spent",
    "Waiting",
    "ZoneShare",
    "contract_shares",
]
