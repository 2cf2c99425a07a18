"""Guards against keys that leak to a target, a log, the control port or the platform."""

from __future__ import annotations

import asyncio
import base64
import unittest
from collections.abc import Callable
from urllib.parse import quote

from support.scripted_target import ScriptedTarget
from support.scripted_target import ok_response
from support.system import IssuedKey
from support.system import System
from support.system import running_system

from pollenglade_net.http_message import HttpRequest

KeyLocation = Callable[[str], tuple[str, list[str], bytes]]
"""Maps a key text to the end of the request target, the headers and the bytes after the head."""

READ_TIMEOUT_S = 3.0


def percent_encode_all(text: str) -> str:
    """Percent-encode all characters, including those that need no encoding."""
    return "".join(f"%{ord(character):02x}" for character in text)


def chunked(*chunks: str, trailer: str = "") -> bytes:
    """Return a body in chunked transfer coding, with an optional trailer section."""
    encoded_chunks = "".join(f"{len(chunk):x}\r\n{chunk}\r\n" for chunk in chunks)
    return f"{encoded_chunks}0\r\n{trailer}\r\n".encode()


def body(text: str) -> tuple[str, list[str], bytes]:
    """Return a request with a body and its Content-Length."""
    return "1", [f"Content-Length: {len(text)}"], text.encode()


CHUNKED = "Transfer-Encoding: chunked"
KEY_LOCATIONS: dict[str, KeyLocation] = {
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
    "the escaped query": lambda key: (f"1?key={percent_encode_all(key)}", [], b""),
    "the query escaped twice": lambda key: (
        f"1?next={quote(percent_encode_all(key))}",
        [],
        b"",
    ),
    "the path": lambda key: (f"{key}/1", [], b""),
    "the body": lambda key: body(f'{{"key":"{key}"}}'),
    "the escaped body": lambda key: body(f"key={percent_encode_all(key)}"),
    "two chunks": lambda key: ("1", [CHUNKED], chunked(key[:40], key[40:])),
    "a trailer": lambda key: ("1", [CHUNKED], chunked("x", trailer=f"X-Key: {key}\r\n")),
    "a chunk extension": lambda key: (
        "1",
        [CHUNKED],
        f"1;key={key}\r\nx\r\n0\r\n\r\n".encode(),
    ),
}
LOCATIONS_THAT_RUN = {"the key alone", "a trailer", "a chunk extension"}
"""Locations from which the node removes the key, so that the call may run."""


class KeysHiddenTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_byte_of_a_secret_leaves_the_entry_node(self) -> None:
        """Anyone who can read a target's input or a log could use a key that leaks there."""
        async with running_system() as system:
            nodes = [await system.add_node("z1"), await system.add_node("z2")]
            target = ScriptedTarget("fees", self.respond)
            await target.start(nodes[1])
            keys = dict(
                zip(KEY_LOCATIONS, await system.issue_keys(len(KEY_LOCATIONS)), strict=True)
            )
            await system.wait_ready(nodes[0], "fees")
            for node in nodes:
                for location, key in keys.items():
                    response_head = await self.send(
                        node.caller.port, KEY_LOCATIONS[location], key.text, key.text
                    )
                    ran = b"pollenglade-outcome: ran" in response_head.lower()
                    if location in LOCATIONS_THAT_RUN:
                        self.assertTrue(ran, f"{location}: {response_head!r}")
                    # A key that does not authorise this call must be kept secret as well.
                    other_key = system.keys_by_organisation["kiln"]
                    await self.send(node.caller.port, KEY_LOCATIONS[location], key.text, other_key)
            outputs = {
                "the target": bytes(target.received_bytes),
                **await self.collect_outputs(system),
            }
            await target.close()
        self.assertGreater(len(target.requests), 2 * len(LOCATIONS_THAT_RUN))
        leaks = [
            f"{location} in {output_name}"
            for location, key in keys.items()
            for output_name, data in outputs.items()
            if any(encoded_secret in data for encoded_secret in encoded_secrets(key))
        ]
        self.assertEqual([], leaks)

    async def respond(self, request: HttpRequest, writer: asyncio.StreamWriter) -> None:
        """Respond to every call with 200."""
        writer.write(ok_response(b"{}"))

    async def send(self, port: int, location: KeyLocation, key: str, authorization: str) -> bytes:
        """Send a raw request with a key at a location and one as authorization; return the head."""
        target, headers, tail = location(key)
        if not any("Basic" in header for header in headers):
            headers = [f"Authorization: Bearer {authorization}", *headers]
        head = "\r\n".join([f"PUT /fees/files/{target} HTTP/1.1", "Host: x", *headers])
        if tail == b"":
            head += "\r\nContent-Length: 0"
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(head.encode() + b"\r\n\r\n" + tail)
        try:
            return await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), READ_TIMEOUT_S)
        finally:
            writer.transport.abort()

    async def collect_outputs(self, system: System) -> dict[str, bytes]:
        """Return the logs and control responses of the nodes and the content of the platform."""
        outputs = {"the platform": await system.get(system.platform, "/table?prefix=")}
        for node in system.nodes:
            outputs[f"the log of {node.name}"] = node.process.output.encode()
            for path in ("/v1/status", "/v1/counts", "/v1/configuration?since=0", "/metrics"):
                outputs[f"{path} of {node.name}"] = await system.get(node.control, path)
        return outputs


def encoded_secrets(key: IssuedKey) -> list[bytes]:
    """Return the encodings of the secret that the locations above use."""
    percent_encoded = percent_encode_all(key.secret)
    basic_credentials = base64.b64encode(f"user:{key.text}".encode())
    plain = [
        key.secret.encode(),
        percent_encoded.encode(),
        quote(percent_encoded).encode(),
        basic_credentials,
    ]
    return [*plain, key.secret.lower().encode()]
