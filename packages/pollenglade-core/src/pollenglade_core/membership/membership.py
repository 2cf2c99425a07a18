"""Membership of the fleet: table, failure detection and gossip messages."""

from __future__ import annotations

from .gossip_wire import GossipMessage
from .gossip_wire import WireError
from .member import Member
from .member import MemberState
from .member_table import MemberTable
from .prober import Ping
from .prober import PingVia
from .prober import Prober

__all__ = [
    "GossipMessage",
    "Member",
    "MemberState",
    "MemberTable",
    "Ping",
    "PingVia",
    "Prober",
    "WireError",
]
