"""Burn report as a single HTML page without external resources."""

from __future__ import annotations

from collections.abc import Sequence
from html import escape

from pollenglade_core.calls.burn import Burn
from pollenglade_core.calls.burn import BurnAlert

ROW_HEIGHT_PX = 22
LABEL_WIDTH_PX = 70
CHART_WIDTH_PX = 480
PAGE_ALERT_BURN_RATE = 14.4
"""Burn rate threshold of the `page` alert, as in `ALERT_RULES`.

At this rate, 1 h consumes 2 % of a 30-day error budget. Bars at or above it are drawn in the alert
colour.
"""

STYLE = "body{font:14px sans-serif;margin:2em}td,th{padding:2px 12px;text-align:left}"


def burn_page(burns: Sequence[Burn], alerts: Sequence[BurnAlert], notes: Sequence[str]) -> str:
    """Return an HTML document: notes, alerts, a chart per organisation and service.

    The notes say which data are missing.
    """
    burns_by_key: dict[tuple[str, str], list[Burn]] = {}
    for burn in burns:
        burns_by_key.setdefault((burn.organisation, burn.service), []).append(burn)
    charts = "".join(
        f"<h2>{escape(organisation)}, {escape(service)}</h2>{_bar_chart(items)}"
        for (organisation, service), items in burns_by_key.items()
    )
    return (
        '<!DOCTYPE html><html lang="en"><head><meta charset="utf-8"><title>Burn rates</title>'
        f"<style>{STYLE}</style></head><body><h1>Burn rates</h1>"
        f"{_note_list(notes)}{_alert_table(alerts)}{charts}</body></html>\n"
    )


def _note_list(notes: Sequence[str]) -> str:
    items = "".join(f"<li>{escape(note)}</li>" for note in notes)
    return f"<ul>{items}</ul>" if items else ""


def _alert_table(alerts: Sequence[BurnAlert]) -> str:
    rows = "".join(
        f"<tr><td>{alert.severity}</td><td>{escape(alert.organisation)}</td>"
        f"<td>{escape(alert.service)}</td><td>{alert.short.rate:.1f}</td>"
        f"<td>{alert.long.rate:.1f}</td></tr>"
        for alert in alerts
    )
    head = "<tr><th>Alert</th><th>Organisation</th><th>Service</th><th>Short</th><th>Long</th></tr>"
    return f"<table>{head}{rows}</table>" if rows else "<p>No alerts.</p>"


def _bar_chart(burns: Sequence[Burn]) -> str:
    largest = max(PAGE_ALERT_BURN_RATE, *(burn.rate for burn in burns))
    bars = "".join(_bar(index, burn, largest) for index, burn in enumerate(burns))
    width = LABEL_WIDTH_PX + CHART_WIDTH_PX + 160
    height = ROW_HEIGHT_PX * len(burns)
    return f'<svg width="{width}" height="{height}" role="img">{bars}</svg>'


def _bar(index: int, burn: Burn, largest: float) -> str:
    top = index * ROW_HEIGHT_PX
    length = CHART_WIDTH_PX * burn.rate / largest
    colour = "#b3261e" if burn.rate >= PAGE_ALERT_BURN_RATE else "#3b6ea5"
    text_y = top + ROW_HEIGHT_PX - 7
    label = f"{burn.rate:.2f} ({burn.bad} of {burn.calls})"
    return (
        f'<text x="0" y="{text_y}">{format_window(burn.window_s)}</text>'
        f'<rect x="{LABEL_WIDTH_PX}" y="{top + 3}" width="{length:.1f}" '
        f'height="{ROW_HEIGHT_PX - 6}" fill="{colour}"/>'
        f'<text x="{LABEL_WIDTH_PX + length + 6:.1f}" y="{text_y}">{label}</text>'
    )


def format_window(window_s: int) -> str:
    """Return the length of a window as text, such as `5 min` or `6 h`."""
    return f"{window_s // 3_600} h" if window_s >= 3_600 else f"{window_s // 60} min"
