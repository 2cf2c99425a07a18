"""A small deployment of separate processes with published keys, for the system tests."""

from __future__ import annotations

import asyncio
import secrets
import tempfile
import time
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from pathlib import Path
from random import Random
from uuid import uuid4

import orjson

from pollenglade_core.configuration.configuration import ChangeOrigin
from pollenglade_core.configuration.configuration import KeyChange
from pollenglade_core.configuration.keys import SECRET_BYTES
from pollenglade_core.configuration.keys import KeyRecord
from pollenglade_core.configuration.keys import hash_secret
from pollenglade_core.configuration.keys import key_text
from pollenglade_core.configuration.keys import parse_key
from pollenglade_emulator.deployments import RESIDENCIES
from pollenglade_emulator.processes import NodeProcess
from pollenglade_emulator.processes import Processes
from pollenglade_emulator.processes import TargetProcess
from pollenglade_emulator.publication import publish
from pollenglade_emulator.records import Execution
from pollenglade_emulator.run_log import read_run_log
from pollenglade_emulator.workload import Organisation
from pollenglade_net.address import Address
from pollenglade_net.configuration_store import Committed
from pollenglade_net.configuration_store import ConfigurationStore
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import Headers
from pollenglade_net.http_message import HttpFailure
from pollenglade_net.http_message import HttpResponse
from pollenglade_net.platform_client import PlatformClient

ORGANISATIONS = ("harbour", "kiln", "vale")
RATE_PER_S = 4_000
"""Rate of each organisation; high enough that the quota does not affect test results."""

WORK_HEADER = b"emulator-work-ms"
REQUEST_HEADER = b"emulator-request"
CALL_TIMEOUT_S = 8.0
WAIT_LIMIT_S = 15.0
POLL_INTERVAL_S = 0.1

DEPLOYMENT = replace(
    RESIDENCIES,
    zones=("z1", "z2"),
    organisations=tuple(
        Organisation(name, RATE_PER_S, 2 * RATE_PER_S, 1, 1.0) for name in ORGANISATIONS
    ),
)


@dataclass(frozen=True)
class IssuedKey:
    """A published key: its ID and its complete text."""

    id: str
    text: str

    @property
    def secret(self) -> str:
        """The secret part of the key text."""
        return self.text.rpartition(f"{self.id}_")[2]


@dataclass
class System:
    """Processes, keys and an HTTP client of one test."""

    processes: Processes
    platform: Address
    folder: Path
    client: HttpClient
    keys_by_organisation: dict[str, str] = field(default_factory=dict)
    nodes: list[NodeProcess] = field(default_factory=list)
    _log_count: int = 0

    async def add_node(
        self, zone: str = "z1", settings: Mapping[str, str] | None = None
    ) -> NodeProcess:
        """Start a node in a zone and wait until it has a configuration."""
        name = f"node-{zone}-{len(self.nodes)}"
        node = await self.processes.start_node(name, zone, self.platform, settings=settings)
        await self.processes.wait_serving(node)
        self.nodes.append(node)
        return node

    async def add_target(
        self, node: NodeProcess, service: str, options: Sequence[str] = ()
    ) -> TargetProcess:
        """Start a target stand-in with a run log that outlives its process."""
        self._log_count += 1
        name = f"{service}-{self._log_count}"
        log = ["--log-file", str(self.folder / f"{name}.log")]
        return await self.processes.start_target(name, service, node, [*log, *options])

    def executions(self) -> list[Execution]:
        """Return the executions of all target stand-ins, including killed ones."""
        return [run for path in sorted(self.folder.glob("*.log")) for run in read_run_log(path)]

    def executions_of(self, request_id: str) -> list[Execution]:
        """Return the executions of one request."""
        return [run for run in self.executions() if run.request_id == request_id]

    def authorization(self, organisation: str = "vale") -> tuple[bytes, bytes]:
        """Return the authorization header with the key of an organisation."""
        return b"authorization", b"Bearer " + self.keys_by_organisation[organisation].encode()

    async def call(
        self,
        node: NodeProcess,
        target: str,
        headers: Headers | None = None,
        method: str = "GET",
        body: bytes = b"",
        organisation: str = "vale",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> HttpResponse | HttpFailure:
        """Send one call with the key of an organisation to an entry node."""
        fields = [self.authorization(organisation), *(headers or [])]
        return await self.client.request(
            node.caller, method, target, fields, body, timeout_s=timeout_s
        )

    async def wait_ready(self, node: NodeProcess, service: str) -> None:
        """Wait until calls of every organisation through a node reach a target of a service."""

        async def is_reached() -> bool:
            answers = [
                await self.call(
                    node, f"/{service}/ready/0", [(WORK_HEADER, b"0")], organisation=name
                )
                for name in ORGANISATIONS
            ]
            return all(isinstance(item, HttpResponse) and item.status == 200 for item in answers)

        await wait_until(is_reached, f"{node.name} does not reach {service}")

    async def set_platform_faults(self, **faults: object) -> None:
        """Replace the faults of the platform stand-in; without arguments, clear them."""
        response = await self.client.request(
            self.platform, "POST", "/faults", None, orjson.dumps(faults)
        )
        assert isinstance(response, HttpResponse) and response.status == 200, response

    async def get(self, address: Address, path: str) -> bytes:
        """Return the body of a GET request; fail unless its status is 200."""
        response = await self.client.request(address, "GET", path)
        assert isinstance(response, HttpResponse) and response.status == 200, response
        return response.body

    async def run_command(self, *arguments: str) -> tuple[int, dict[str, object]]:
        """Run the `pollenglade` command; return its exit code and its JSON report."""
        flags = ["--platform-url", f"http://{self.platform}", "--output", "json"]
        process = await self.processes.start(
            f"command-{uuid4().hex}", ["-m", "pollenglade_cli", *arguments, *flags]
        )
        code = await process.wait()
        return code, orjson.loads(process.output)

    async def issue_keys(self, count: int, organisation: str = "vale") -> list[IssuedKey]:
        """Publish new keys of an organisation and wait until every node has them in force."""
        client = PlatformClient(self.platform, "operators", Random())
        store = ConfigurationStore(client, client, Random())
        issued = []
        version = 0
        for _ in range(count):
            key_id = secrets.token_hex(8)
            text = key_text(key_id, secrets.token_bytes(SECRET_BYTES))
            parsed = parse_key(text)
            assert parsed is not None
            record = KeyRecord(key_id, organisation, hash_secret(parsed.secret))
            stamp = ChangeOrigin("proofs", time.time(), uuid4().hex)
            result = await store.commit(KeyChange(key_id, 0, record, stamp))
            assert isinstance(result, Committed), result
            version = result.version
            issued.append(IssuedKey(key_id, text))
        await client.close()
        for node in self.nodes:
            await self.wait_configuration_version(node, version)
        return issued

    async def configuration_version(self, node: NodeProcess) -> int:
        """Return the configuration version that a node has in force."""
        status = orjson.loads(await self.get(node.control, "/v1/status"))
        return int(status["configuration_version"])

    async def wait_configuration_version(self, node: NodeProcess, version: int) -> None:
        """Wait until a node has a configuration version or a newer one in force."""

        async def is_reached() -> bool:
            return await self.configuration_version(node) >= version

        await wait_until(is_reached, f"{node.name} does not reach version {version}")


async def wait_until(is_satisfied: Callable[[], Awaitable[bool]], message: str) -> None:
    """Poll a condition until it holds; raise AssertionError after `WAIT_LIMIT_S` seconds."""
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + WAIT_LIMIT_S
    while not await is_satisfied():
        assert loop.time() < deadline_s, message
        await asyncio.sleep(POLL_INTERVAL_S)


@asynccontextmanager
async def running_system() -> AsyncIterator[System]:
    """Run a platform with a published profile and one key per organisation."""
    client = HttpClient()
    with tempfile.TemporaryDirectory() as folder:
        async with Processes() as processes:
            platform = await processes.start_platform()
            system = System(processes, platform, Path(folder), client)
            system.keys_by_organisation = await publish(platform, DEPLOYMENT)
            try:
                yield system
            finally:
                await client.close()


def outcome_of(response: HttpResponse | HttpFailure) -> str:
    """Return the outcome in a response; empty if no complete response was received."""
    if isinstance(response, HttpFailure):
        return ""
    return (response.header(b"pollenglade-outcome") or b"").decode()


def reason_of(response: HttpResponse | HttpFailure) -> str:
    """Return the reason in a refusal, or the reason of the connection failure."""
    if isinstance(response, HttpFailure):
        return str(response.reason)
    return (response.header(b"pollenglade-reason") or b"").decode()
