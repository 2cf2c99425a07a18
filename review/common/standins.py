"""Stand-ins and process control for the cases of this review; standard library only.

Every address is a loopback address. A `Fleet` owns the store, the endpoints, the node processes and
the record of a case, and ends all of them.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Awaitable
from collections.abc import Callable
from pathlib import Path
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parents[2]
TIME_LIMIT_S = 115.0
METRICS_PORT = 9464
HEARTBEAT_S = 1.5
HOSTNAME = "portal.example"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

Head = tuple[str, dict[str, str]]


class CouldNotRunError(Exception):
    """The case could not be played as intended."""


def trouble() -> bool:
    """Whether the disruption of the case is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def random_prefix() -> str:
    """Return the first three bytes of loopback addresses for one run."""
    return f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"


def free_port(host: str) -> int:
    with socket.socket() as probe:
        probe.bind((host, 0))
        return int(probe.getsockname()[1])


async def read_head(reader: asyncio.StreamReader) -> Head | None:
    """Return the first line and the fields of a message, None at the end of the connection."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(
    reader: asyncio.StreamReader, fields: dict[str, str], until_close: bool = False
) -> bytes:
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            if size == 0:
                while (await reader.readline()).strip():
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    if "content-length" in fields:
        return await reader.readexactly(int(fields["content-length"]))
    return await reader.read() if until_close else b""


def encode(first_line: str, fields: dict[str, object], body: bytes = b"") -> bytes:
    lines = [first_line, *(f"{name}: {value}" for name, value in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Record:
    """Writes `record.txt` of a case: one line for each event, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._started_at:9.3f} {text}\n")

    def show(self, text: str) -> None:
        """Write a line to the record and to standard output."""
        self(text)
        print(text, flush=True)

    def close(self) -> None:
        self._file.close()


class Store:
    """The platform's store: rows, change feeds and transactions of one part.

    While `is_away` is set, requests are read and get no answer, and nothing is done.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self.version = 1
        self._rows: dict[tuple[str, str], tuple[str, int]] = {}
        self._history: list[dict[str, object]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.is_away = False
        self.latency_s = 0.004
        self.address = ("127.0.0.1", 0)

    async def start(self, host: str) -> None:
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row; the return is the confirmation."""
        self.version += 1
        text = base64.b64encode(value).decode()
        self._rows[table, key] = (text, self.version)
        self._history.append(self._row(table, key, text, self.version))
        self._wake()

    @staticmethod
    def _row(table: str, key: str, value: str, version: int) -> dict[str, object]:
        return {"Table": table, "part": "", "Key": key, "Value": value, "Ver": version}

    def _delete(self, table: str, key: str) -> None:
        self._rows.pop((table, key), None)
        row = {"Table": table, "part": "", "Key": key, "Ver": self.version, "Deleted": True}
        self._history.append(row)

    def _wake(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                if self.is_away:
                    # Nothing more is delivered on a connection on which an answer is lost.
                    await asyncio.sleep(3600)
                status, document = await self._answer(head[0], body)
                if self.is_away:
                    await asyncio.sleep(3600)
                text = json.dumps(document).encode()
                fields = {"Content-Type": "application/json", "Content-Length": len(text)}
                writer.write(encode(f"HTTP/1.1 {status} OK", fields, text))
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, first_line: str, body: bytes) -> tuple[int, dict[str, object]]:
        await asyncio.sleep(self.latency_s)
        target = first_line.split(" ")[1]
        path, _, query_text = target.partition("?")
        query = dict(parse_qsl(query_text, keep_blank_values=True))
        if path == "/rows-get":
            start = query.get("From", "")
            rows = [
                self._row(table, key, value, version)
                for (table, key), (value, version) in sorted(self._rows.items())
                if table == query["Table"] and key >= start
            ]
            answer = {"Rows": rows[:500], "HasMore": len(rows) > 500}
            return 200, {**answer, "Ver": self.version, "NowMs": self._now_ms()}
        if path == "/rows-feed":
            return 200, await self._feed(query)
        if path == "/rows-tx":
            return self._transact(json.loads(body))
        return 404, {}

    async def _feed(self, query: dict[str, str]) -> dict[str, object]:
        table, after = query["Table"], int(query["after"])
        deadline = time.monotonic() + int(query["WaitMs"]) / 1000
        while True:
            rows = [r for r in self._history if r["Table"] == table and int(str(r["Ver"])) > after]
            remaining_s = deadline - time.monotonic()
            if rows or remaining_s <= 0:
                return {"Rows": rows, "Ver": self.version, "NowMs": self._now_ms()}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), remaining_s)

    def _transact(self, body: dict[str, list[dict[str, object]]]) -> tuple[int, dict[str, object]]:
        for row in body.get("Expected", []):
            known = self._rows.get((str(row["Table"]), str(row["Key"])), ("", 0))
            if known[1] != row["Ver"]:
                return 412, {"Rows": [], "Ver": self.version, "NowMs": self._now_ms()}
        if any(row["Table"] in ("op", "servers") for row in body.get("Puts", [])):
            return 403, {"Ver": self.version}
        self.version += 1
        for row in body.get("Puts", []):
            table, key, value = str(row["Table"]), str(row["Key"]), str(row["Value"])
            self._rows[table, key] = (value, self.version)
            self._history.append(self._row(table, key, value, self.version))
        for row in body.get("Deletes", []):
            self._delete(str(row["Table"]), str(row["Key"]))
        self._wake()
        return 200, {"Ver": self.version, "NowMs": self._now_ms()}

    @staticmethod
    def _now_ms() -> int:
        return int(time.monotonic() * 1000)

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


class SilencingProxy:
    """Relays connections to one address; open ones can go silent for good, new ones work."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._target = ("", 0)
        self._server: asyncio.Server | None = None
        self._silenced: set[int] = set()
        self._open: dict[int, tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = {}
        self._ids = itertools.count()
        self.address = ("127.0.0.1", 0)

    async def start(self, host: str, target: tuple[str, int]) -> None:
        self._target = target
        self._server = await asyncio.start_server(self._relay_connection, host, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def silence_open(self) -> int:
        """Deliver nothing more on the connections that are open now; return their number."""
        self._silenced.update(self._open)
        return len(self._open)

    async def _relay_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = next(self._ids)
        try:
            far_reader, far_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.close()
            return
        self._open[number] = (writer, far_writer)
        await asyncio.gather(
            self._pump(number, reader, far_writer), self._pump(number, far_reader, writer)
        )
        del self._open[number]

    async def _pump(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65536):
                if number not in self._silenced:
                    writer.write(data)
        except OSError:
            pass
        if number not in self._silenced:
            writer.close()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for near, far in list(self._open.values()):
            near.transport.abort()
            far.transport.abort()


class Endpoint:
    """An application endpoint: runs requests, echoes their id, signs, tells its load.

    `reject` decides whether a request is rejected as not run. A request with `crashing_path`
    crashes the endpoint when it begins to run; it is back after `crashed_for_s` with another id.
    """

    _births = itertools.count(1)

    def __init__(self, fleet: Fleet, name: str, host: str, service: str, slots: int) -> None:
        self._fleet = fleet
        self.endpoint_id = f"i-{name}"
        self.host = host
        self.service = service
        self.slots = slots
        self.work_s = 0.02
        self.reject: Callable[[], bool] = lambda: False
        self.crashing_path = ""
        self.crashes: list[tuple[float, str]] = []
        self.crashed_for_s = 2.0
        self.arrivals: list[tuple[float, str, bool]] = []
        self.running = 0
        self.sequence = 0
        self.born_ms = int(time.time() * 1000) + next(self._births)
        self.sends_heartbeats = True
        self.is_leaving = False
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def heartbeat(self, state: str = "ready") -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        return json.dumps(
            {
                "Service": self.service,
                "Address": f"{self.host}:{self.port}",
                "Zone": "z1",
                "Version": "v1",
                "Slots": self.slots,
                "State": state,
                "WarmupLeftMs": 0,
                "Seq": self.sequence,
                "born": self.born_ms,
            }
        ).encode()

    async def send_heartbeats(self, admin: tuple[str, int]) -> None:
        while True:
            if self.sends_heartbeats:
                body = self.heartbeat()
                await call(admin, "PUT", f"/endpoints/{self.endpoint_id}", {}, body, 1.0)
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                writer.write(await self._answer(head[0], head[1], body))
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, first_line: str, fields: dict[str, str], body: bytes) -> bytes:
        load = {"Pollenglade-Server-Load": f"{self.running},0,{self.slots}"}
        method, target, _ = first_line.split(" ")
        if target == "/healthz":
            status = 503 if self.is_leaving else 200
            identity = {"Pollenglade-Instance-Id": self.endpoint_id, "Content-Length": 0}
            return encode(f"HTTP/1.1 {status} Health", {**identity, **load})
        request_id = fields.get("pollenglade-request-id", "")
        answer_fields: dict[str, object] = {"Pollenglade-Request-Id": request_id, **load}
        expected = fields.get("pollenglade-target-instance", self.endpoint_id)
        rejected = self.reject() or self.running >= self.slots + 8
        now = time.monotonic()
        if expected != self.endpoint_id or rejected:
            status = 503 if expected == self.endpoint_id else 421
            self.arrivals.append((now, request_id, False))
            self._fleet.record(f"{self.endpoint_id} rejected {request_id} {target} {status}")
            answer_fields |= {"Pollenglade-Not-Executed": "1", "Content-Length": 0}
            return encode(f"HTTP/1.1 {status} Rejected", answer_fields)
        self.arrivals.append((now, request_id, True))
        tenant = fields.get("pollenglade-tenant-id", "-")
        self._fleet.record(f"{self.endpoint_id} ran {request_id} {method} {target} of {tenant}")
        if target == self.crashing_path:
            self._crash(request_id)
            raise ConnectionError
        self.running += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        text = f"{self.service} {target} {len(body)}".encode()
        answer_fields |= {"Pollenglade-Response-Signature": "s1", "Content-Length": len(text)}
        return encode("HTTP/1.1 200 OK", answer_fields, text)

    def _crash(self, request_id: str) -> None:
        self._fleet.record(f"{self.endpoint_id} crashes with {request_id}")
        self.crashes.append((time.monotonic(), request_id))
        self.sends_heartbeats = False
        # As when a process ends: the port first, then its connections.
        self.close()
        self._restart = asyncio.create_task(self._start_again())

    async def _start_again(self) -> None:
        await asyncio.sleep(self.crashed_for_s)
        self.endpoint_id = f"i-{random.getrandbits(32):08x}"
        self.sequence = 0
        self.born_ms = int(time.time() * 1000) + next(self._births)
        await self.start()
        self._fleet.record(f"{self.endpoint_id} starts in its place")
        self.sends_heartbeats = True

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    fields: dict[str, object],
    body: bytes = b"",
    timeout_s: float = 5.0,
    answer_fields: dict[str, str] | None = None,
) -> tuple[int, bytes]:
    """Send one request on a new connection; return status and body, status 0 without an answer.

    The fields of the answer are added to `answer_fields`, if it is given.
    """
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            length = {"Content-Length": len(body)} if body or method != "GET" else {}
            head = {"Host": HOSTNAME, "Connection": "close", **length, **fields}
            writer.write(encode(f"{method} {target} HTTP/1.1", head, body))
            answer = await read_head(reader)
            if answer is None:
                return 0, b""
            if answer_fields is not None:
                answer_fields |= answer[1]
            text = await read_body(reader, answer[1], until_close=True)
            return int(answer[0].split(" ")[1]), text
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, b""
    finally:
        if writer is not None:
            writer.transport.abort()


class Node:
    """One machine: its endpoint and the process of the deploy file beside it."""

    def __init__(self, fleet: Fleet, number: int, service: str, zone: str, slots: int) -> None:
        self._fleet = fleet
        self.name = f"sidecar-{number}"
        self.zone = zone
        self.host = f"{fleet.prefix}.{number}"
        self.service = service
        self.endpoint = Endpoint(fleet, self.name, self.host, service, slots)
        self.outbound = (self.host, free_port(self.host))
        self.inbound = (self.host, free_port(self.host))
        self.ready = (self.host, free_port(self.host))
        self.admin = (self.host, free_port(self.host))
        self.process: subprocess.Popen[bytes] | None = None
        self._settings = fleet.folder / f"{self.name}.toml"
        self._heartbeats: asyncio.Task[None] | None = None
        self.store_address = fleet.store.address

    def write_settings(self, first_start: bool) -> None:
        zones = sorted({node.zone for node in self._fleet.nodes} | {self.zone})
        self._settings.write_text(
            f'NodeId = "{self.name}"\nRole = "node"\nInstanceType = "sidecar"\n'
            f'Serves = ["sidecar"]\nIp = "{self.host}"\nZone = "{self.zone}"\nRegion = "g1"\n'
            f"Seeds = []\nBootstrap = {str(first_start).lower()}\nHeartbeatMs = 1500\n"
            f"Bounds = {json.dumps(self._fleet.bounds)}\n"
            f'AppAddr = "{self.host}:{self.endpoint.port}"\nService = "{self.service}"\n'
            "[Zones]\n" + "".join(f'{zone} = "g1"\n' for zone in zones) + "[ListenAddrs]\n"
            f'Inbound = "{self.host}:{self.inbound[1]}"\n'
            f'Outbound = "{self.host}:{self.outbound[1]}"\n'
            f'ReadyAddr = "{self.host}:{self.ready[1]}"\n'
            f'Admin = "{self.host}:{self.admin[1]}"\n[Platform]\n'
            f'Address = "{self.store_address[0]}:{self.store_address[1]}"\nform = "table"\n'
            "WritesPerS = 400\nReadsPerS = 2000\nTxMs = 5.0\nRowBytes = 65536\nHistoryS = 20\n"
        )

    async def start(self) -> None:
        await self.endpoint.start()
        self.write_settings(first_start=True)
        self.launch()
        self._heartbeats = asyncio.create_task(self.endpoint.send_heartbeats(self.admin))

    def launch(self) -> None:
        """Start the program of the deploy file as that file says."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["POLLENGLADE_SETTINGS"] = str(self._settings)
        log = (self._fleet.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            ["python3", "-m", "pollenglade_platform"],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()

    @property
    def log(self) -> str:
        return (self._fleet.folder / f"{self.name}.log").read_text(errors="replace")

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self._fleet.record(f"signal {number.name} to {self.name}")
        self.process.send_signal(number)

    async def wait_ended(self, timeout_s: float = 15.0) -> int:
        assert self.process is not None
        async with asyncio.timeout(timeout_s):
            while (code := self.process.poll()) is None:
                await asyncio.sleep(0.01)
        return code

    async def is_ready(self) -> bool:
        return (await call(self.ready, "GET", "/readiness", {}, timeout_s=1.0))[0] == 200

    def close(self) -> None:
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()
        self.endpoint.close()


DEFAULT_BOUNDS = [
    "SeedLagS=3",
    "AddrReuseS=2",
    "StableMs=3000",
    "AckMs=4000",
    "CatchUpS=4",
    "DrainMs=2000",
    "GraceS=6",
    "LossSlackMs=200",
    "ConfigApplyMs=2000",
    "RollbackSlackMs=250",
    "MaxStretchMs=5000",
    "RevokeStrict=false",
    "RevokeMs=5000",
    "RetryBudgetRatio=0.2",
    "BudgetWindowS=10",
    "BudgetSlack=48",
    "QuotaWindowS=5",
    "QuotaOverage=0.1",
    "QuotaSlack=20",
    "RecoveryS=15",
]


def route(prefix: str, service: str, kind: str = "idempotent", **fields: object) -> dict:
    spec = {
        "Hostname": HOSTNAME,
        "Prefix": f"/{prefix}/",
        "RouteType": kind,
        "TimeoutMs": 5000,
        "TargetLatencyMs": 1200,
        "Priority": 0,
        "Service": service,
        "MaxAttempts": 2,
    }
    return {"Type": "Routes", "Metadata": {"Name": prefix}, "Spec": {**spec, **fields}}


def tenant(name: str, key: str, rate: float = 0, burst: float = 0) -> dict:
    spec = {"ApiKeys": [key], "Priority": 0, "RatePerS": rate, "Burst": burst}
    return {"Type": "Tenants", "Metadata": {"Name": name}, "Spec": spec}


def manifest(version: int, services: list[str], *resources: dict) -> bytes:
    """Return a manifest with the given routes and tenants."""
    items = list(resources)
    for name in services:
        spec = {"HealthCheckPath": "/healthz", "MaxConnections": 898}
        items.append({"Type": "Services", "Metadata": {"Name": name}, "Spec": spec})
    limits = {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 1048576,
        "HeaderTimeoutMs": 5000,
        "IdleTimeoutMs": 15000,
    }
    items.append({"Type": "Limits", "Metadata": {"Name": "limits"}, "Spec": limits})
    return json.dumps({"Version": f"r{version}", "Resources": items}).encode()


class Fleet:
    """Everything that one case starts."""

    def __init__(self, case: Path) -> None:
        self.record = Record(case)
        self.prefix = random_prefix()
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        self.store = Store(self.record)
        self.bounds = list(DEFAULT_BOUNDS)
        self.nodes: list[Node] = []
        self.proxies: list[SilencingProxy] = []
        self._ids = itertools.count(1)

    async def start(self) -> None:
        if not (ROOT / "target" / "deps" / "pollenglade_platform").is_dir():
            raise CouldNotRunError("target/deps is missing; run sh deploy/build.sh")
        await self.store.start(f"{self.prefix}.254")

    def add(self, service: str, zone: str = "z1", slots: int = 40) -> Node:
        node = Node(self, len(self.nodes) + 1, service, zone, slots)
        self.nodes.append(node)
        return node

    async def start_nodes(self) -> None:
        """Start all machines at once and wait until all are ready."""
        for node in self.nodes:
            await node.start()
        await self.wait_ready(self.nodes)
        # Later starts are no first start of the whole system.
        for node in self.nodes:
            node.write_settings(first_start=False)

    async def wait_ready(self, nodes: list[Node], timeout_s: float = 40.0) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                for node in nodes:
                    while not await node.is_ready():
                        await asyncio.sleep(0.05)
        except TimeoutError:
            raise CouldNotRunError("the nodes did not become ready") from None

    async def send(
        self,
        node: Node,
        target: str,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 5000,
        key: str | None = None,
        request_id: str | None = None,
        answer_fields: dict[str, str] | None = None,
    ) -> tuple[str, int, bytes]:
        """Send a request to a node as one of its clients; return its id, status and body."""
        request_id = request_id or f"{next(self._ids):x}{random.getrandbits(40):010x}"
        fields = {"Pollenglade-Request-Id": request_id, "Pollenglade-Deadline-Ms": deadline_ms}
        if key is not None:
            fields["Api-Key"] = key
        self.record(f"{node.name} sent {request_id} {method} {target}")
        status, text = await call(
            node.outbound, method, target, fields, body, deadline_ms / 1000 + 0.2, answer_fields
        )
        self.record(f"{node.name} answered {request_id} {status}")
        return request_id, status, text

    def close(self) -> None:
        for node in self.nodes:
            node.close()
        for proxy in self.proxies:
            proxy.close()
        self.store.close()
        if keep := os.environ.get("REVIEW_LOGS"):
            subprocess.run(["cp", "-r", str(self.folder), keep], check=False)
        self._temporary.cleanup()
        self.record.close()


def run_case(case: Path, play: Callable[[Fleet], Awaitable[int]]) -> None:
    """Play a case and exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""

    async def main() -> int:
        fleet = Fleet(case)
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(TIME_LIMIT_S):
                await fleet.start()
                return await play(fleet)
        except CouldNotRunError as error:
            fleet.record.show(f"could not run: {error}")
        except TimeoutError:
            fleet.record.show("could not run: out of time")
        except asyncio.CancelledError:
            fleet.record.show("could not run: ended by a signal")
        except Exception as error:
            # A fault of the script must not count as a broken rule.
            fleet.record.show(f"could not run: {error!r}")
        finally:
            fleet.close()
        return COULD_NOT_RUN

    sys.exit(asyncio.run(main()))
