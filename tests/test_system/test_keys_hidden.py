"""Guards against a key that reaches a target, a log, the control port or the platform."""

from __future__ import annotations

import asyncio
import base64
import unittest
from collections.abc import Callable
from urllib.parse import quote

from support.scripted_target import ScriptedTarget
from support.scripted_target import plain_response
from support.system import IssuedKey
from support.system import System
from support.system import started

from pollenglade_net.http_message import HttpRequest

Place = Callable[[str], tuple[str, list[str], bytes]]
"""Function of a key text that returns the query or path, headers and the bytes after the head."""

READ_S = 3.0


def every_character_escaped(text: str) -> str:
    """Percent-encode also the characters that need no encoding."""
    return "".join(f"%{ord(character):02x}" for character in text)


def chunked(*chunks: str, trailer: str = "") -> bytes:
    """Return a chunked body."""
    parts = "".join(f"{len(chunk):x}\r\n{chunk}\r\n" for chunk in chunks)
    return f"{parts}0\r\n{trailer}\r\n".encode()


def body(text: str) -> tuple[str, list[str], bytes]:
    """Return a request with a body of known length."""
    return "1", [f"Content-Length: {len(text)}"], text.encode()


CHUNKED = "Transfer-Encoding: chunked"
PLACES: dict[str, Place] = {
    "the key alone": lambda key: ("1", [], b""),
    "Authorization twice": lambda key: ("1", [f"Authorization: Bearer {key}"], b""),
    "Basic Authorization": lambda key: (
        "1",
        ["Authorization: Basic " + base64.b64encode(f"user:{key}".encode()).decode()],
        b"",
    ),
    "another header": lambda key: ("1", [f"X-Api-Key: {key}"], b""),
    "a header name": lambda key: ("1", [f"{key}: 1"], b""),
    "Proxy-Authorization": lambda key: ("1", [f"Proxy-Authorization: Bearer {key}"], b""),
    "a header named by Connection": lambda key: ("1", ["Connection: x-a", f"X-A: {key}"], b""),
    "a cookie": lambda key: ("1", [f"Cookie: session={key}"], b""),
    "the query": lambda key: (f"1?key={key}", [], b""),
    "the escaped query": lambda key: (f"1?key={every_character_escaped(key)}", [], b""),
    "the query escaped twice": lambda key: (
        f"1?next={quote(every_character_escaped(key))}",
        [],
        b"",
    ),
    "the path": lambda key: (f"{key}/1", [], b""),
    "the body": lambda key: body(f'{{"key":"{key}"}}'),
    "the escaped body": lambda key: body(f"key={every_character_escaped(key)}"),
    "two chunks": lambda key: ("1", [CHUNKED], chunked(key[:40], key[40:])),
    "a trailer": lambda key: ("1", [CHUNKED], chunked("x", trailer=f"X-Key: {key}\r\n")),
    "a chunk extension": lambda key: (
        "1",
        [CHUNKED],
        f"1;key={key}\r\nx\r\n0\r\n\r\n".encode(),
    ),
}
RUNS = {"the key alone", "a trailer", "a chunk extension"}
"""Places of which the node removes the key, so that the call may run."""


class KeysHiddenTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_byte_of_a_secret_leaves_the_entry_node(self) -> None:
        """A key that a target or a log holds can be used by whoever reads it there."""
        async with started() as system:
            nodes = [await system.add_node("z1"), await system.add_node("z2")]
            target = ScriptedTarget("fees", self.answer)
            await target.start(nodes[1])
            keys = dict(zip(PLACES, await system.issue_keys(len(PLACES)), strict=True))
            await system.wait_ready(nodes[0], "fees")
            for node in nodes:
                for place, key in keys.items():
                    sent = await self.send(node.caller.port, PLACES[place], key.text, key.text)
                    ran = b"pollenglade-outcome: ran" in sent.lower()
                    if place in RUNS:
                        self.assertTrue(ran, f"{place}: {sent!r}")
                    # The key of another call is as secret as the key of this call.
                    other = system.keys_by_organisation["kiln"]
                    await self.send(node.caller.port, PLACES[place], key.text, other)
            seen = {"the target": bytes(target.received), **await self.records(system)}
            await target.close()
        self.assertGreater(len(target.requests), 2 * len(RUNS))
        leaks = [
            f"{place} in {where}"
            for place, key in keys.items()
            for where, data in seen.items()
            if any(form in data for form in forms(key))
        ]
        self.assertEqual([], leaks)

    async def answer(self, request: HttpRequest, writer: asyncio.StreamWriter) -> None:
        """Answer every call."""
        writer.write(plain_response(b"{}"))

    async def send(self, port: int, place: Place, key: str, authorization: str) -> bytes:
        """Send one raw request with a key in its place and one in the header."""
        target, headers, rest = place(key)
        if not any("Basic" in header for header in headers):
            headers = [f"Authorization: Bearer {authorization}", *headers]
        head = "\r\n".join([f"PUT /fees/files/{target} HTTP/1.1", "Host: x", *headers])
        if rest == b"":
            head += "\r\nContent-Length: 0"
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(head.encode() + b"\r\n\r\n" + rest)
        try:
            return await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), READ_S)
        finally:
            writer.transport.abort()

    async def records(self, system: System) -> dict[str, bytes]:
        """Return what the nodes log and report and what is on the platform."""
        seen = {"the platform": await system.get(system.platform, "/table?prefix=")}
        for node in system.nodes:
            seen[f"the log of {node.name}"] = node.process.output.encode()
            for path in ("/v1/status", "/v1/counts", "/v1/configuration?since=0", "/metrics"):
                seen[f"{path} of {node.name}"] = await system.get(node.control, path)
        return seen


def forms(key: IssuedKey) -> list[bytes]:
    """Return the forms in which the places above hold the secret."""
    escaped = every_character_escaped(key.secret)
    whole = base64.b64encode(f"user:{key.text}".encode())
    plain = [key.secret.encode(), escaped.encode(), quote(escaped).encode(), whole]
    return [*plain, key.secret.lower().encode()]
