"""Findings: problems in an input, each with its place and what to do about it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """One problem; `place` is a dotted path such as `organisations.acme.rate_per_s`."""

    place: str
    text: str

    def __str__(self) -> str:
        return f"{self.place}: {self.text}" if self.place else self.text


@dataclass(frozen=True, slots=True)
class Findings:
    """All problems of one input, returned together instead of the value."""

    items: tuple[Finding, ...]

    def __str__(self) -> str:
        return "\n".join(str(item) for item in self.items)
