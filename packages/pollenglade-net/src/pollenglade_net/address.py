"""Network address of a server."""

from __future__ import annotations

import re
from dataclasses import dataclass

HOST_PATTERN = re.compile(r"[0-9A-Za-z._:\[\]-]{1,255}")
"""Characters of host names and of addresses of both families."""


@dataclass(frozen=True, slots=True)
class Address:
    """Host and port of a server."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Parse `host:port`; raise ValueError if the text has another format."""
        host, separator, port = text.rpartition(":")
        if not separator or not host or not port.isdigit() or int(port) > 65_535:
            raise ValueError(f"{text!r} is not an address; write it as host:port")
        return cls(host, int(port))

    @classmethod
    def parse_peer(cls, text: str) -> Address:
        """Parse the address of a server to connect to; raise ValueError if there cannot be one."""
        address = cls.parse(text)
        if address.port < 1 or not HOST_PATTERN.fullmatch(address.host):
            raise ValueError(f"{text!r} is no address of a server; write it as host:port")
        return address

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
