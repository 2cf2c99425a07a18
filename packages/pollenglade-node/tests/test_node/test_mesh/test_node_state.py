"""Guards against state messages that lose figures or take too many bytes between nodes."""

from __future__ import annotations

import unittest
from dataclasses import replace

import msgpack

from pollenglade_core.dispatch.peer_view import EndpointLoad
from pollenglade_core.dispatch.slot_use import SlotUse
from pollenglade_core.serving.endpoint_statement import EndpointIdentity
from pollenglade_node.mesh.load_report import pack_load
from pollenglade_node.mesh.load_report import unpack_load
from pollenglade_node.mesh.node_state import MeshMember
from pollenglade_node.mesh.node_state import NodeState

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

    def test_a_pace_is_lost_or_sent_for_an_endpoint_without_one(self) -> None:
        paced = replace(STATE, load=replace(STATE.load, pace=2.5))
        decoded = NodeState.from_wire(paced.to_wire())
        assert decoded is not None
        self.assertEqual(decoded.load, paced.load)
        self.assertEqual(unpack_load(pack_load(paced.load, True)), (paced.load, True))
        # An older release requires the values before the pace as they were.
        self.assertEqual(paced.to_wire()[:-1], STATE.to_wire())
        self.assertEqual(pack_load(paced.load, True)[:-1], pack_load(STATE.load, True))

    def test_a_pace_out_of_range_changes_the_expected_time(self) -> None:
        for pace in (0, -1, 1e9, float("nan"), "2.5", None, [2.5]):
            decoded = NodeState.from_wire([*STATE.to_wire(), {"pace": pace}])
            assert decoded is not None
            self.assertEqual(decoded.load, STATE.load, pace)
        for figure in (0.0, -1.0, 1e9):
            figures = (*pack_load(STATE.load, False), figure)
            self.assertEqual(unpack_load(figures), (STATE.load, False), figure)

    def test_a_state_with_figures_out_of_range_is_applied(self) -> None:
        """One figure that is no number made the sums of all nodes none, and all trees refused."""
        wire = STATE.to_wire()
        nan, inf = float("nan"), float("inf")
        for position, value in (
            (3, "10.1.0.26:70000"),
            (3, "nowhere"),
            (4, 2**64 - 1),
            (4, -1),
            (7, [2, 0, 28, nan, 0.0]),
            (7, [2, 0, 28, inf, 0.0]),
            (7, [2, 0, 28, -1.0, 0.0]),
            (7, [2, 0, 28, 0.2, nan]),
            (7, [2, 0, 28, 0.2, 1.5]),
            (7, [-2, 0, 28, 0.2, 0.0]),
            (7, [2, 2**63, 28, 0.2, 0.0]),
            (7, [2, 0, 2**63, 0.2, 0.0]),
            (8, 2**64 - 1),
            (10, [2**64 - 1, False, None]),
        ):
            odd = [*wire[:position], value, *wire[position + 1 :]]
            self.assertIsNone(NodeState.from_wire(odd), value)
        odd_use = [*wire[:9], {"calls": [nan, 0, 0, 0, 0, 0], "jury": [0, 0, 0, 1, 0, 0]}, wire[10]]
        decoded = NodeState.from_wire(odd_use)
        assert decoded is not None
        self.assertEqual(set(decoded.use_by_service), {"jury"})

    def test_a_load_with_figures_out_of_range_is_applied(self) -> None:
        figures = list(pack_load(STATE.load, False))
        for position in range(len(figures)):
            for value in (float("nan"), float("inf"), -2.0, 1e300):
                odd = [*figures[:position], value, *figures[position + 1 :]]
                self.assertIsNone(unpack_load(odd), (position, value))
