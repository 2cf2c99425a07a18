"""Sums of the slot use that all nodes report, kept up to date with each report.

Admission of a request needs the sum for each service of its call tree. Adding up the reports of all
nodes for each request would make its cost grow with their number.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping

from .slot_use import PRIORITY_COUNT
from .slot_use import SlotUse

UNITS_PER_SLOT = 100
"""Whole units per slot in the sums; rounding errors of fractions would add up over time."""

_Units = tuple[int, ...]


def _units(use: SlotUse) -> _Units:
    return tuple([round(slots * UNITS_PER_SLOT) for slots in (*use.occupied, *use.offered)])


class SlotUseTotals:
    """The latest slot use of each node and its sums by service, without reports that are old."""

    def __init__(self) -> None:
        # The nodes are ordered by the times of their reports.
        self._report_by_node: OrderedDict[str, tuple[float, dict[str, _Units]]] = OrderedDict()
        self._sum_by_service: dict[str, list[int]] = {}

    def apply(self, node: str, use_by_service: Mapping[str, SlotUse], now: float) -> None:
        """Replace the slot use of a node by its report that arrived at `now`."""
        self.remove(node)
        units_by_service = {service: _units(use) for service, use in use_by_service.items()}
        self._report_by_node[node] = now, units_by_service
        self._add(units_by_service, 1)

    def remove(self, node: str) -> None:
        """Remove the slot use of a node, if there is any."""
        report = self._report_by_node.pop(node, None)
        if report is not None:
            self._add(report[1], -1)

    def total(self, service: str, oldest_at: float) -> SlotUse:
        """Return the sum of a service over the reports that arrived at `oldest_at` or later."""
        while self._report_by_node:
            node, (reported_at, _) = next(iter(self._report_by_node.items()))
            if reported_at >= oldest_at:
                break
            self.remove(node)
        sums = self._sum_by_service.get(service)
        if sums is None:
            return SlotUse()
        slots = [units / UNITS_PER_SLOT for units in sums]
        return SlotUse(tuple(slots[:PRIORITY_COUNT]), tuple(slots[PRIORITY_COUNT:]))

    def _add(self, units_by_service: Mapping[str, _Units], sign: int) -> None:
        for service, units in units_by_service.items():
            sums = self._sum_by_service.setdefault(service, [0] * len(units))
            for index, value in enumerate(units):
                sums[index] += sign * value
