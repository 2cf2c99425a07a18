"""Environment variables of the node and of the command line.

Both can run in the same environment, so each must know the variables of the other to distinguish
them from misspelt ones.
"""

from __future__ import annotations

from collections.abc import Iterable

from .finding import Finding

PREFIX = "POLLENGLADE_"

NODE_SETTINGS = frozenset(
    {
        "node",
        "zone",
        "region",
        "caller_address",
        "link_address",
        "control_address",
        "advertised_link_address",
        "advertised_control_address",
        "source_host",
        "platform_url",
        "concurrency_limit",
        "drain_limit_s",
        "log_totals_s",
        "log_level",
    }
)
COMMAND_SETTINGS = frozenset({"platform_url", "zone", "output", "timeout", "wait", "who"})

_KNOWN_VARIABLES = frozenset(PREFIX + name.upper() for name in NODE_SETTINGS | COMMAND_SETTINGS)


def unknown_variables(names: Iterable[str]) -> list[Finding]:
    """Return a finding for each variable with the prefix that neither program has as a setting.

    The comparison is case-insensitive, like the reading of settings.
    """
    return [
        Finding(name, "is no setting of pollenglade; correct its name or unset it")
        for name in sorted(names)
        if name.upper().startswith(PREFIX) and name.upper() not in _KNOWN_VARIABLES
    ]
