"""Golden files: transcripts of input events and resulting actions, one JSON object per line."""

from __future__ import annotations

import os
import unittest
from base64 import b64encode
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from dataclasses import fields
from dataclasses import is_dataclass
from difflib import unified_diff
from enum import Enum
from pathlib import Path

import orjson

UPDATE_VARIABLE = "UPDATE_GOLDEN"


@dataclass
class Transcript:
    """Transcript of one session."""

    lines: list[str] = field(default_factory=list)

    def add(self, at: float, event: object, actions: Sequence[object], state: Enum) -> None:
        """Append a step: an event at time `at` in seconds, its actions and the resulting state."""
        step = {
            "at": round(at, 6),
            "event": to_json_value(event),
            "actions": [to_json_value(action) for action in actions],
            "state": state.value,
        }
        self.lines.append(orjson.dumps(step).decode())


def to_json_value(value: object) -> object:
    """Convert a value to JSON types; a dataclass becomes an object with its type name."""
    if is_dataclass(value) and not isinstance(value, type):
        values_by_field = {
            item.name: to_json_value(getattr(value, item.name)) for item in fields(value)
        }
        return {"type": type(value).__name__, **values_by_field}
    if isinstance(value, Enum):
        return to_json_value(value.value)
    if isinstance(value, bytes):
        return b64encode(value).decode("ascii")
    if isinstance(value, float):
        return round(value, 6)
    if isinstance(value, dict):
        return {str(key): to_json_value(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [to_json_value(item) for item in value]
    return value


def check_golden(test: unittest.TestCase, path: Path, transcript: Transcript) -> None:
    """Fail the test if the transcript differs from the golden file.

    `UPDATE_GOLDEN=1` writes the file instead, except in CI.
    """
    text = "".join(f"{line}\n" for line in transcript.lines)
    if os.environ.get(UPDATE_VARIABLE) == "1":
        if os.environ.get("CI"):
            test.fail(f"{UPDATE_VARIABLE} is not allowed in CI")
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text(text)
        return
    if not path.exists():
        test.fail(f"{path.name} is missing; run with {UPDATE_VARIABLE}=1 and review the file")
    if difference := "".join(_diff_lines(path.read_text(), text)):
        test.fail(f"{path.name} differs from the session:\n{difference}")


def _diff_lines(expected: str, actual: str) -> Iterable[str]:
    lines = (expected.splitlines(keepends=True), actual.splitlines(keepends=True))
    return unified_diff(*lines, fromfile="golden", tofile="session")
