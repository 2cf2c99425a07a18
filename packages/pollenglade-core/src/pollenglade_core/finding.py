"""Findings: problems in an input, with the position of each and how to correct it."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Finding:
    """One problem in an input.

    `place` is the dotted path of the value, such as `organisations.acme.rate_per_s`, or empty for
    the whole input.
    """

    place: str
    text: str

    def __str__(self) -> str:
        return f"{self.place}: {self.text}" if self.place else self.text


@dataclass(frozen=True, slots=True)
class Findings:
    """All problems of an input, returned in place of the parsed value."""

    items: tuple[Finding, ...]

    def __str__(self) -> str:
        return "\n".join(str(item) for item in self.items)
