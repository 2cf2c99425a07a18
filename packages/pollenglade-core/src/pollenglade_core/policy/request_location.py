"""Equivalent spellings of hosts and paths, so that a route is found for each of them (RFC 9110,
section 4.2.3; RFC 3986, section 6.2.2)."""

from __future__ import annotations

import re
from functools import lru_cache

PERCENT_PATTERN = re.compile(r"%([0-9A-Fa-f]{2})")
PORT_PATTERN = re.compile(r":[0-9]*$")
UNRESERVED = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")
"""Characters that mean the same whether or not they are percent-encoded."""

MAX_CACHED_HOSTS = 1024


def _decode_unreserved(match: re.Match[str]) -> str:
    character = chr(int(match[1], 16))
    return character if character in UNRESERVED else match[0].upper()


def canonical_path(path: str) -> str:
    """Return a path in which only characters that need it are percent-encoded.

    Encoded reserved characters, such as a slash, stay encoded, because they have another meaning.
    """
    if "%" not in path:
        return path
    return PERCENT_PATTERN.sub(_decode_unreserved, path)


@lru_cache(MAX_CACHED_HOSTS)
def canonical_host(value: str) -> str:
    """Return the host of a Host field or a manifest: lower case, without port and final dot."""
    host = canonical_path(PORT_PATTERN.sub("", value)).lower()
    return host.removesuffix(".")
