"""Guards against state messages that lose figures or take too many bytes between nodes."""

from __future__ import annotations

import unittest

import msgpack

from pollenglade_core.dispatch.peer_view import EndpointLoad
from pollenglade_core.dispatch.slot_use import SlotUse
from pollenglade_core.serving.endpoint_statement import EndpointIdentity
from pollenglade_node.mesh.peer_exchange import MeshMember
from pollenglade_node.mesh.peer_exchange import NodeState

STATE = NodeState(
    MeshMember("sidecar-west-a-12", "west-a", "reviews", "10.1.0.26:7011", 1796386134215),
    True,
    EndpointIdentity("i-b1fcc0b6c1", 1796386134215),
    EndpointLoad(2, 0, 28, 0.2213, 0.0),
    17,
    {
        "calls": SlotUse((1.23, 0.0, 0.0), (1.5, 0.0, 0.0)),
        "reviews": SlotUse((0.0, 0.31, 0.2), (0.0, 0.4, 0.3)),
        "payments": SlotUse((0.2, 0.0, 0.0), (0.21, 0.0, 0.0)),
        "unused": SlotUse((0.0, 0.0, 0.0), (0.0, 0.001, 0.0)),
    },
)

MAX_STATE_BYTES = 224
"""7 KB/s for the control work of a node and 32 state messages a second and direction."""


class NodeStateTest(unittest.TestCase):
    def test_a_state_takes_more_bytes_than_a_node_may_send(self) -> None:
        """All states of 195 nodes were most of the bytes between zones."""
        message = msgpack.packb(STATE.to_wire())
        self.assertLessEqual(len(message), MAX_STATE_BYTES)
        decoded = NodeState.from_wire(msgpack.unpackb(message))
        assert decoded is not None
        used = {name: use for name, use in STATE.use_by_service.items() if name != "unused"}
        self.assertEqual(decoded.use_by_service, used)
        self.assertEqual((decoded.member, decoded.load), (STATE.member, STATE.load))
