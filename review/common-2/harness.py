"""Stand-ins of store, endpoints and clients, and starters of node processes, on loopback.

Everything is written with the standard library alone. The node processes are started with the
command of `deploy/system.toml`, at the root of the repository, with `target/deps` on Python's path.
"""

from __future__ import annotations

import asyncio
import base64
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

BOUNDS = {
    "SeedLagS": "3",
    "AddrReuseS": "2",
    "StableMs": "3000",
    "AckMs": "4000",
    "CatchUpS": "4",
    "DrainMs": "2000",
    "GraceS": "6",
    "LossSlackMs": "200",
    "ConfigApplyMs": "2000",
    "RollbackSlackMs": "250",
    "MaxStretchMs": "5000",
    "RevokeStrict": "false",
    "RevokeMs": "5000",
    "RetryBudgetRatio": "0.2",
    "BudgetWindowS": "10",
    "BudgetSlack": "47",
    "QuotaWindowS": "5",
    "QuotaOverage": "0.1",
    "QuotaSlack": "20",
    "RecoveryS": "15",
}

Headers = dict[str, str]


class Record:
    """Writes what was sent, answered and run to `record.txt`, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()

    @property
    def now(self) -> float:
        return time.monotonic() - self._started_at

    def note(self, text: str) -> None:
        self._file.write(f"{self.now:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        self._file.close()


@dataclass
class Message:
    """A request or a response; header names are in lower case."""

    first: list[str]
    headers: Headers
    body: bytes = b""


async def read_message(reader: asyncio.StreamReader, has_body: bool = True) -> Message | None:
    """Read one message with a Content-Length; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            body += (await reader.readexactly(size + 2))[:size]
            if not size:
                break
    elif has_body and int(headers.get("content-length", "0")):
        try:
            body = await reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return Message(lines[0].split(" ", 2), headers, body)


def encode(first: str, headers: Headers, body: bytes = b"") -> bytes:
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


Handler = Callable[[Message], Awaitable[tuple[int, Headers, bytes]]]


class HttpStandin:
    """HTTP/1.1 server; ends the handling of a request when its connection closes."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str, port: int) -> int:
        self._server = await asyncio.start_server(self._serve, host, port)
        return int(self._server.sockets[0].getsockname()[1])

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                status, headers, body = await self._handler(request)
                writer.write(encode(f"HTTP/1.1 {status} Status", headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def close(self) -> None:
        """Stop listening and close all connections, as the end of a process does."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class Store:
    """The platform's store: rows, changes and transactions; each answer takes 4 ms or more."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.version = 1
        self.rows: dict[tuple[str, str], tuple[str, int]] = {}
        self.history: list[tuple[str, str, str | None, int]] = []
        self._changed = asyncio.Event()
        self._http = HttpStandin(self._handle)
        self.port = 0
        self.delay_s = 0.004
        self.is_down = False

    async def start(self) -> None:
        self.port = await self._http.start("127.0.0.1", 0)

    async def close(self) -> None:
        await self._http.close()

    def put(self, table: str, key: str, value: str) -> None:
        self.version += 1
        self._apply(table, key, value)
        self._wake()

    def put_manifest(self, number: int, resources: list[dict[str, Any]]) -> None:
        """Write the operator's manifest; the write is its confirmation."""
        document = json.dumps({"Version": f"r{number}", "Resources": resources})
        self.put("op", "config", base64.b64encode(document.encode()).decode())
        self._record.note(f"operator: manifest r{number} is confirmed")

    def _apply(self, table: str, key: str, value: str | None) -> None:
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (value, self.version)
        self.history.append((table, key, value, self.version))

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(self, request: Message) -> tuple[int, Headers, bytes]:
        path, _, query = request.first[1].partition("?")
        fields = dict(parse_qsl(query, keep_blank_values=True))
        await asyncio.sleep(self.delay_s)
        if self.is_down:
            return 503, {}, b""
        if path == "/rows-get":
            return self._get(fields)
        if path == "/rows-feed":
            return await self._feed(fields)
        if path == "/rows-tx":
            return self._transact(json.loads(request.body))
        return 404, {}, b""

    def _answer(self, status: int, document: dict[str, Any]) -> tuple[int, Headers, bytes]:
        document = {**document, "Ver": self.version, "NowMs": int(time.monotonic() * 1000)}
        return status, {"Content-Type": "application/json"}, json.dumps(document).encode()

    def _get(self, fields: dict[str, str]) -> tuple[int, Headers, bytes]:
        table, start = fields["Table"], fields.get("From", "")
        keys = sorted(key for name, key in self.rows if name == table and key >= start)
        limit = int(fields.get("Limit", "500"))
        rows = [
            {
                "Table": table,
                "part": "",
                "Key": key,
                "Value": self.rows[table, key][0],
                "Ver": self.rows[table, key][1],
            }
            for key in keys[:limit]
        ]
        return self._answer(200, {"Rows": rows, "HasMore": len(keys) > limit})

    async def _feed(self, fields: dict[str, str]) -> tuple[int, Headers, bytes]:
        table, after = fields["Table"], int(fields["after"])
        until = time.monotonic() + int(fields["WaitMs"]) / 1000
        while True:
            rows = [
                {"Table": table, "part": "", "Key": key, "Ver": version}
                | ({"Deleted": True} if value is None else {"Value": value})
                for name, key, value, version in self.history
                if name == table and version > after
            ]
            left_s = until - time.monotonic()
            if rows or left_s <= 0:
                return self._answer(200, {"Rows": rows})
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                pass
            if self.is_down:
                return 503, {}, b""

    def _transact(self, body: dict[str, Any]) -> tuple[int, Headers, bytes]:
        for row in body["Expected"]:
            known = self.rows.get((row["Table"], row["Key"]))
            if (known[1] if known else 0) != row["Ver"]:
                return self._answer(412, {"Rows": []})
        if any(row["Table"] in ("op", "servers") for row in [*body["Puts"], *body["Deletes"]]):
            return 403, {}, b""
        self.version += 1
        for row in body["Puts"]:
            self._apply(row["Table"], row["Key"], row["Value"])
        for row in body["Deletes"]:
            self._apply(row["Table"], row["Key"], None)
        self._wake()
        return self._answer(200, {})


def route(name: str, host: str, kind: str = "idempotent", **spec: Any) -> dict[str, Any]:
    """Return a route with the prefix `/p/`; `Service` or `WeightedServices` is in `spec`."""
    defaults = {
        "Hostname": host,
        "Prefix": "/p/",
        "RouteType": kind,
        "TimeoutMs": 1500,
        "TargetLatencyMs": 1000,
        "Priority": 0,
        "MaxAttempts": 2,
        "Public": True,
    }
    return {"Type": "Routes", "Metadata": {"Name": name}, "Spec": {**defaults, **spec}}


def service(name: str) -> dict[str, Any]:
    spec = {"HealthCheckPath": "/healthz", "MaxConnections": 532, "Protocol": "h1", "Tls": False}
    return {"Type": "Services", "Metadata": {"Name": name}, "Spec": spec}


LIMITS = {
    "Type": "Limits",
    "Metadata": {},
    "Spec": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 67108864,
        "HeaderTimeoutMs": 3000,
        "IdleTimeoutMs": 15000,
    },
}


def free_host(number: int) -> str:
    """Return a loopback address of this run; nodes have a fixed port, so each has its own."""
    pid = os.getpid()
    return f"127.{20 + pid % 200}.{pid // 200 % 250}.{number}"


@dataclass
class Endpoint:
    """An endpoint with its heartbeats to the node beside it."""

    record: Record
    name: str
    service: str
    zone: str
    host: str
    slots: int = 72
    work_s: float = 0.03
    heartbeat_s: float = 1.5
    runs: list[tuple[float, str]] = field(default_factory=list)
    state: str = "ready"

    def __post_init__(self) -> None:
        self.running = 0
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.port = 0
        self._http = HttpStandin(self._handle)
        self._beats: asyncio.Task[None] | None = None

    async def start(self, port: int = 0) -> None:
        self.port = await self._http.start(self.host, port)

    def start_heartbeats(self) -> None:
        self._beats = asyncio.get_running_loop().create_task(self._beat())

    def heartbeat(self, state: str) -> bytes:
        """Return the next heartbeat as it is sent to the node."""
        self.sequence += 1
        body = {
            "Service": self.service,
            "Address": f"{self.host}:{self.port}",
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": state,
            "WarmupLeftMs": 0,
            "Seq": self.sequence,
            "born": self.born,
        }
        fields = {"Host": self.host, "Content-Type": "application/json"}
        return encode(f"PUT /endpoints/{self.name} HTTP/1.1", fields, json.dumps(body).encode())

    async def report(self, message: bytes, text: str) -> int | None:
        """Send a heartbeat or a deregistration; return the status, None without one in 1 s."""
        answer = await exchange(self.host, 7004, message, 1.0)
        status = None if answer is None else int(answer.first[1])
        self.record.note(f"endpoint {self.name}: {text} -> {status}")
        return status

    async def _beat(self) -> None:
        while True:
            await exchange(self.host, 7004, self.heartbeat(self.state), 1.0)
            await asyncio.sleep(self.heartbeat_s)

    async def _handle(self, request: Message) -> tuple[int, Headers, bytes]:
        if request.first[1] == "/healthz":
            status = 200 if self.state == "ready" else 503
            load = f"{self.running},0,{self.slots}"
            fields = {"Pollenglade-Instance-Id": self.name, "Pollenglade-Server-Load": load}
            return status, fields, b""
        request_id = request.headers.get("pollenglade-request-id", "")
        expected = request.headers.get("pollenglade-target-instance")
        if expected is not None and expected != self.name:
            return 421, {"Pollenglade-Instance-Id": self.name}, b""
        self.runs.append((self.record.now, request_id))
        self.record.note(f"endpoint {self.name} ({self.service}) runs {request_id}")
        self.running += 1
        try:
            return await self.run(request, request_id)
        finally:
            self.running -= 1

    async def run(self, request: Message, request_id: str) -> tuple[int, Headers, bytes]:
        await asyncio.sleep(self.work_s)
        fields = {
            "Pollenglade-Request-Id": request_id,
            "Pollenglade-Response-Signature": f"sig.{self.name}.{request_id}",
            "Pollenglade-Server-Load": f"{self.running},0,{self.slots}",
        }
        return 200, fields, b"answer of " + self.name.encode()

    async def stop(self) -> None:
        if self._beats is not None:
            self._beats.cancel()
            self._beats = None
        await self._http.close()


async def exchange(
    host: str, port: int, message: bytes, timeout_s: float, source: str | None = None
) -> Message | None:
    """Send one message on a new connection; return the answer, None without a whole one."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(message)
            return await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Node:
    """A node process beside an endpoint."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        number: int,
        zone: str,
        service_name: str,
        zones: list[str],
        store_port: int,
    ) -> None:
        self._record = record
        self.name = f"sidecar-{zone}-{number}"
        self.zone = zone
        self.service = service_name
        self.host = free_host(number)
        self._folder = folder
        self._zones = zones
        self._store_port = store_port
        self.endpoint_port = 0
        self.process: subprocess.Popen[bytes] | None = None
        self.has_started = False

    def _write_settings(self) -> Path:
        bounds = ",".join(f'"{name}={value}"' for name, value in BOUNDS.items())
        zones = "\n".join(f'{zone} = "region-1"' for zone in self._zones)
        bootstrap = "false" if self.has_started else "true"
        text = f"""
NodeId = "{self.name}"
Role = "node"
InstanceType = "sidecar"
Serves = ["sidecar"]
Ip = "{self.host}"
Zone = "{self.zone}"
Region = "region-1"
PortRange = [7005,7020]
Seeds = []
Bootstrap = {bootstrap}
InTolerance = false
Discovery = "static"
Entry = "static"
HeartbeatMs = 1500
Contracts = ["base","drain","config","cost","retry","recover","pressure","tenants","quota","platform"]
Bounds = [{bounds}]
AppAddr = "{self.host}:{self.endpoint_port}"
Service = "{self.service}"
[Zones]
{zones}
[ListenAddrs]
Inbound = "{self.host}:7001"
Outbound = "{self.host}:7002"
ReadyAddr = "{self.host}:7003"
Admin = "{self.host}:7004"
[Limits]
CpuShare = 0.86
Cores = 2
MemoryMb = 300
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 1
Regions = 0
[Platform]
Address = "127.0.0.1:{self._store_port}"
form = "table"
WritesPerS = 400
ReadsPerS = 2000
TxMs = 5.0
PartWritesS = 200
RowBytes = 65536
Across = false
HistoryS = 20
"""
        path = self._folder / f"{self.name}.toml"
        path.write_text(text)
        return path

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "POLLENGLADE_SETTINGS": str(self._write_settings()),
        }
        self.has_started = True
        with (self._folder / f"{self.name}.log").open("ab") as output:
            self.process = subprocess.Popen(
                ["python3", "-m", "pollenglade_platform"],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self._record.note(f"node {self.name}: process is started")

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self._record.note(f"node {self.name}: {number.name}")

    async def ended(self, limit_s: float = 10.0) -> bool:
        until = time.monotonic() + limit_s
        while self.process is not None and self.process.poll() is None:
            if time.monotonic() > until:
                return False
            await asyncio.sleep(0.02)
        return True

    async def is_ready(self) -> bool:
        message = encode("GET /readiness HTTP/1.1", {"Host": self.host})
        answer = await exchange(self.host, 7003, message, 1.0)
        return answer is not None and answer.first[1] == "200"

    async def wait_ready(self, limit_s: float = 20.0) -> None:
        until = time.monotonic() + limit_s
        while not await self.is_ready():
            if time.monotonic() > until:
                raise CannotRunError(f"{self.name} does not get ready")
            await asyncio.sleep(0.1)

    def log(self) -> str:
        return (self._folder / f"{self.name}.log").read_text(errors="replace")

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class CannotRunError(Exception):
    """The case could not be played."""


class Installation:
    """Store, nodes and endpoints of one run; ends all processes that it started."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix="pollenglade-review-")
        self.store = Store(self.record)
        self.nodes: list[Node] = []
        self.endpoints: list[Endpoint] = []
        self._serial = 0

    async def add(
        self,
        number: int,
        zone: str,
        service_name: str,
        zones: list[str],
        kind: type[Endpoint] = Endpoint,
        **options: Any,
    ) -> tuple[Node, Endpoint]:
        """Start an endpoint and the node beside it."""
        node = Node(
            self.record,
            Path(self.temporary.name),
            number,
            zone,
            service_name,
            zones,
            self.store.port,
        )
        endpoint = kind(self.record, f"i-{number:08x}", service_name, zone, node.host, **options)
        await endpoint.start()
        node.endpoint_port = endpoint.port
        node.start()
        endpoint.start_heartbeats()
        self.nodes.append(node)
        self.endpoints.append(endpoint)
        return node, endpoint

    def new_id(self) -> str:
        self._serial += 1
        return f"{os.getpid():x}{self._serial:08x}"

    async def ask(
        self,
        node: Node,
        host: str,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 5000,
        path: str | None = None,
        **fields: str,
    ) -> tuple[str, int | None, Message | None]:
        """Send one request of a client on the machine of a node; return id, status and answer."""
        request_id = self.new_id()
        headers = {
            "Host": host,
            "Pollenglade-Request-Id": request_id,
            "Pollenglade-Deadline-Ms": str(deadline_ms),
            **fields,
        }
        target = path or f"/p/{request_id}"
        self.record.note(f"client at {node.name}: sends {request_id} ({method} {host}{target})")
        message = encode(f"{method} {target} HTTP/1.1", headers, body)
        answer = await exchange(node.host, 7002, message, deadline_ms / 1000 + 0.5)
        status = None if answer is None else int(answer.first[1])
        signed = answer is not None and "pollenglade-response-signature" in answer.headers
        self.record.note(
            f"client at {node.name}: {request_id} -> {status}, {'signed' if signed else 'unsigned'}"
        )
        return request_id, status, answer

    async def close(self) -> None:
        for endpoint in self.endpoints:
            await endpoint.stop()
        for node in self.nodes:
            node.kill()
        await self.store.close()
        self.temporary.cleanup()


def check_free_addresses() -> None:
    with socket.socket() as probe:
        probe.bind((free_host(250), 0))


def main(play: Callable[[Installation], Awaitable[bool]], folder: Path, limit_s: float) -> int:
    """Play a case; return 1 if the rule was broken, 0 if it held and 2 if it could not run."""

    async def run() -> int:
        check_free_addresses()
        installation = Installation(folder)
        await installation.store.start()
        try:
            async with asyncio.timeout(limit_s):
                held = await play(installation)
        except (CannotRunError, TimeoutError) as error:
            installation.record.note(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            if os.environ.get("KEEP_LOGS"):
                for node in installation.nodes:
                    (Path(os.environ["KEEP_LOGS"]) / f"{node.name}.log").write_text(node.log())
            await installation.close()
        installation.record.note("the rule held" if held else "the rule is broken")
        return HELD if held else BROKEN

    try:
        result = asyncio.run(run())
    except OSError as error:
        print(f"could not run: {error}")
        return NOT_RUN
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[result])
    return result
