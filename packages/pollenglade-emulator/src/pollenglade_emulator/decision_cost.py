"""Measures the processor time of admitting and placing one request in meshes of several sizes.

The cost must not grow with the number of nodes: the goal is at most 1.3 times the cost at 14 nodes.
"""

from __future__ import annotations

import random
from time import perf_counter
from typing import Annotated

import typer

from pollenglade_core.dispatch.peer_view import EndpointLoad
from pollenglade_core.dispatch.peer_view import PeerView
from pollenglade_core.dispatch.placement import Placement
from pollenglade_core.dispatch.slot_use import SlotUse
from pollenglade_core.dispatch.tree_admission import TreeAdmission
from pollenglade_core.dispatch.tree_cost import Usage
from pollenglade_node.mesh.entry import PeerViewLoad

SIZES = ((14, 5, 4), (195, 97, 6), (880, 97, 7))
"""Nodes, endpoints of the first service and zones of the meshes that are measured."""

REQUESTS_PER_S = 250.0
"""Rate of the simulated clock: two requests for each of the 125 calls/s of a node."""

USAGE = {"calls": Usage(1, 0.2), "fees": Usage(1, 0.01)}


def _new_view(nodes: int, endpoints: int, zones: int) -> PeerView:
    view = PeerView("z0", random.Random(1))
    slots = (0.1, 0.2, 0.3)
    use_by_service = dict.fromkeys(("calls", "fees", "jury"), SlotUse(slots, slots))
    for number in range(nodes):
        service = "calls" if number < endpoints else f"s{number % 120}"
        node = f"n{number}"
        view.add(node, f"z{number % zones}", "fees" if number % 10 == 9 else service)
        peer = view.peer_by_node[node]
        peer.ready = True
        peer.apply_load_report(EndpointLoad(3, 0, 9, 0.2), 0.0)
        view.apply_slot_use(node, use_by_service, 0.0)
    return view


def _measure_us(view: PeerView, requests: int) -> float:
    """Return the mean processor time in microseconds of one request."""
    admission = TreeAdmission()
    admission.learn("browse", 0.25, USAGE)
    load = EndpointLoad(3, 0, 9, 0.2)
    started_at = perf_counter()
    for number in range(requests):
        # Within the validity of the reports, at any number of requests.
        now = number / REQUESTS_PER_S % 2.5
        admission.check("browse", 1, USAGE, PeerViewLoad(view, None, now), 0.5, now)
        placement = Placement(view, "calls")
        peer = placement.choose(now)
        if peer is not None:
            placement.may_wait(peer, now)
            peer.apply_load_report(load, now)
    return (perf_counter() - started_at) / requests * 1e6


def decision_cost(
    requests: Annotated[int, typer.Option(help="Requests for each size and round.")] = 5_000,
    rounds: Annotated[int, typer.Option(help="Interleaved rounds; the median counts.")] = 5,
) -> None:
    """Print the processor time for one decision by the size of the mesh."""
    views = [(size, _new_view(*size)) for size in SIZES]
    times_by_size: dict[tuple[int, int, int], list[float]] = {size: [] for size in SIZES}
    for _ in range(rounds):
        for size, view in views:
            times_by_size[size].append(_measure_us(view, requests))
    base_us = 0.0
    for (nodes, endpoints, _), times_us in times_by_size.items():
        median_us = sorted(times_us)[len(times_us) // 2]
        base_us = base_us or median_us
        print(
            f"{nodes} nodes, {endpoints} endpoints: {median_us:.1f} us, {median_us / base_us:.2f}x"
        )
