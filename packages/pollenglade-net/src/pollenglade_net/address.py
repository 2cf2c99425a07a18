"""Network address of a server."""

from __future__ import annotations

from dataclasses import dataclass


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

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
