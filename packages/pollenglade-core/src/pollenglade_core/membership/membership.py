"""Public names of the membership package."""

from __future__ import annotations

from .gossip_wire import GossipMessage
from .gossip_wire import WireError
from .member import Member
from .member import MemberState
from .member_table import MemberTable
from .prober import IndirectPing
from .prober import Ping
from .prober import Prober

__all__ = [
    "GossipMessage",
    "IndirectPing",
    "Member",
    "MemberState",
    "MemberTable",
    "Ping",
    "Prober",
    "WireError",
]
