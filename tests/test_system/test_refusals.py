"""Guards against invalid requests that reach a target or are refused without a clear reason."""

from __future__ import annotations

import unittest

from support.system import running_system

from pollenglade_core.configuration.keys import SECRET_BYTES
from pollenglade_core.configuration.keys import key_text
from pollenglade_net.http_message import Headers
from pollenglade_net.http_message import HttpResponse

UNKNOWN_KEY = key_text("nobody", bytes(SECRET_BYTES)).encode()


class RefusalTest(unittest.IsolatedAsyncioTestCase):
    async def test_invalid_requests_are_refused_with_a_reason(self) -> None:
        """Every refusal must have its reason and `not-run`, and the node must stay usable."""
        async with running_system() as system:
            node = await system.add_node()
            await system.add_target(node, "fees")
            await system.wait_ready(node, "fees")
            key = system.authorization()
            handle = (b"pollenglade-call", b"0" * 32)
            unknown = (b"authorization", b"Bearer " + UNKNOWN_KEY)
            cases: list[tuple[str, str, Headers, int, str]] = [
                ("GET", "/fees/a/1", [], 401, "key-missing"),
                ("GET", "/fees/a/1", [unknown], 401, "key-unknown"),
                ("GET", "/fees/a/1", [(b"authorization", b"Basic eA==")], 401, "key-missing"),
                ("GET", "/fees/a/1", [(b"authorization", b"Bearer x")], 401, "key-unknown"),
                ("GET", "/fees/a/1", [key, key], 400, "bad-request"),
                ("GET", "/fees/a/1", [key, handle], 400, "bad-request"),
                ("GET", "/fees/a/1", [handle], 401, "handle-unknown"),
                ("GET", "/no-such-service/1", [key], 404, "service-unknown"),
                ("GET", "/", [key], 400, "bad-request"),
                ("POST", "/fees/a/1", [key], 400, "idempotency-key-missing"),
            ]
            executions_before = len(system.executions())
            for method, target, headers, status, reason in cases:
                with self.subTest(target=target, reason=reason):
                    response = await system.client.request(node.caller, method, target, headers)
                    assert isinstance(response, HttpResponse), response
                    actual = (
                        response.status,
                        response.header(b"pollenglade-reason"),
                        response.header(b"pollenglade-outcome"),
                    )
                    self.assertEqual((status, reason.encode(), b"not-run"), actual)
            self.assertEqual(executions_before, len(system.executions()))
            later_response = await system.call(node, "/fees/a/1", [(b"emulator-work-ms", b"1")])
            assert isinstance(later_response, HttpResponse)
            self.assertEqual(200, later_response.status)
