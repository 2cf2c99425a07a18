"""Public names of fleet-wide rate limits: zone shares, granting buckets, holders and borrowers."""

from __future__ import annotations

from .granting_bucket import GrantingBucket
from .quota_borrower import CallAdmitted
from .quota_borrower import CallRefused
from .quota_borrower import CallWaiting
from .quota_borrower import QuotaBorrower
from .quota_borrower import SendSettlements
from .quota_borrower import SendTokenRequest
from .quota_holder import GrantingRight
from .quota_holder import QuotaHolder
from .quota_holder import SlotAuthority
from .quota_messages import GRANT_LIFETIME_S
from .quota_messages import Account
from .quota_messages import Settlement
from .quota_messages import TokenRequest
from .quota_messages import TokensDenied
from .quota_messages import TokensGranted
from .share_changes import ShareChanges
from .zone_shares import ZoneShare
from .zone_shares import contract_shares

__all__ = [
    "GRANT_LIFETIME_S",
    "Account",
    "CallAdmitted",
    "CallRefused",
    "CallWaiting",
    "GrantingBucket",
    "GrantingRight",
    "QuotaBorrower",
    "QuotaHolder",
    "SendSettlements",
    "SendTokenRequest",
    "Settlement",
    "ShareChanges",
    "SlotAuthority",
    "TokenRequest",
    "TokensDenied",
    "TokensGranted",
    "ZoneShare",
    "contract_shares",
]
