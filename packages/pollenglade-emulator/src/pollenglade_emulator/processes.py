"""Starts and stops the processes of a test deployment; signals only processes that it started."""

from __future__ import annotations

import asyncio
import ctypes
import os
import signal
import sys
from collections import deque
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from types import TracebackType

from pollenglade_net.address import Address
from pollenglade_net.http_client import HttpClient
from pollenglade_net.http_message import HttpFailure

from .ports import LOOPBACK
from .ports import PortPool

READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.05
STOP_TIMEOUT_S = 40.0
"""Time limit for a graceful stop; the drain limit of a node is 30 s."""

NODE_MODULE = "pollenglade_node.main"
STOPPED_LAST = ("platform", "zone-relay")
"""Processes that are stopped last, because nodes need them until they have left."""

MAX_OUTPUT_LINES = 2_000
MAX_LINE_BYTES = 1024 * 1024
PR_SET_PDEATHSIG = 1

_libc = ctypes.CDLL(None) if sys.platform == "linux" else None


def _kill_with_parent() -> None:
    # Prevents orphaned processes when the test runner is killed at its time limit.
    if _libc is not None:
        _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class ProcessError(Exception):
    """A process could not be started or did not become ready."""


class ManagedProcess:
    """One child process with the last lines of its output.

    `killed` is True if the process did not stop within its time limit.
    """

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self._process = process
        self._lines: deque[str] = deque(maxlen=MAX_OUTPUT_LINES)
        self._reader = asyncio.get_running_loop().create_task(self._read())
        self.killed = False

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """Exit code, or minus the number of the signal; None while the process runs."""
        return self._process.returncode

    @property
    def output(self) -> str:
        """Last lines of standard output and standard error."""
        return "\n".join(self._lines)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal unless the process has ended."""
        if self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Wait until the process ends and return the exit code."""
        code = await self._process.wait()
        # A cancelled wait must not cancel the task that reads the output.
        await asyncio.shield(self._reader)
        return code

    async def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Send SIGTERM, and SIGKILL after the timeout; return the exit code."""
        self.send_signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(self._process.wait(), timeout_s)
        except TimeoutError:
            self.killed = True
            self.send_signal(signal.SIGKILL)
            return await self._process.wait()
        finally:
            # A process that was paused by SIGSTOP handles no other signal.
            self.send_signal(signal.SIGCONT)
            await self._reader

    async def _read(self) -> None:
        assert self._process.stdout is not None
        while line := await self._process.stdout.readline():
            self._lines.append(line.decode(errors="replace").rstrip())


@dataclass(frozen=True)
class NodeAddresses:
    """Addresses on which a node listens."""

    caller: Address
    link: Address
    control: Address


@dataclass(frozen=True)
class NodeProcess:
    """A node process with its addresses."""

    process: ManagedProcess
    name: str
    zone: str
    caller: Address
    link: Address
    control: Address


@dataclass(frozen=True)
class TargetProcess:
    """A target process with its address."""

    process: ManagedProcess
    service: str
    address: Address


class Processes:
    """All processes of a test deployment; leaving the context stops them."""

    def __init__(self, node_module: str = NODE_MODULE) -> None:
        self._node_module = node_module
        self._ports = PortPool()
        self._client = HttpClient()
        self.by_name: dict[str, ManagedProcess] = {}

    async def __aenter__(self) -> Processes:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        # After a failure the processes are killed early: the cause is known, and a graceful stop
        # of a broken deployment can take as long as its drain limit.
        await self.stop_all(0.5 if kind is not None else STOP_TIMEOUT_S)
        await self._client.close()
        self._ports.close()

    def free_address(self, host: str = LOOPBACK) -> Address:
        """Return a loopback address with an unused port."""
        return Address(host, self._ports.take())

    def node_addresses(self, host: str = LOOPBACK) -> NodeAddresses:
        """Return three addresses with unused ports for a node."""
        return NodeAddresses(*(self.free_address(host) for _ in range(3)))

    async def start(
        self, name: str, command: Sequence[str], environment: Mapping[str, str] | None = None
    ) -> ManagedProcess:
        """Start `python <command>`; raise ProcessError if a process of this name still runs."""
        if name in self.by_name and self.by_name[name].exit_code is None:
            raise ProcessError(f"{name} is already running; stop it first")
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            *command,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
            limit=MAX_LINE_BYTES,
            env={**os.environ, **(environment or {})},
            preexec_fn=_kill_with_parent,
        )
        managed = ManagedProcess(name, process)
        self.by_name[name] = managed
        return managed

    async def start_platform(self) -> Address:
        """Start the platform stand-in and return its address."""
        address = self.free_address()
        command = ["-m", "pollenglade_emulator", "platform"]
        command += ["--host", address.host, "--port", str(address.port)]
        process = await self.start("platform", command)
        await self.wait_ready(process, address, "/table?prefix=none")
        return address

    async def start_node(
        self,
        name: str,
        zone: str,
        platform: Address,
        region: str = "r1",
        settings: Mapping[str, str] | None = None,
        addresses: NodeAddresses | None = None,
    ) -> NodeProcess:
        """Start a node and wait until it is healthy.

        `addresses` are those of an earlier process at a restart. The node is ready only once it has
        a configuration; `wait_serving` waits for that.
        """
        bound_addresses = addresses or self.node_addresses()
        environment = {
            "POLLENGLADE_NODE": name,
            "POLLENGLADE_ZONE": zone,
            "POLLENGLADE_REGION": region,
            "POLLENGLADE_CALLER_ADDRESS": str(bound_addresses.caller),
            "POLLENGLADE_LINK_ADDRESS": str(bound_addresses.link),
            "POLLENGLADE_CONTROL_ADDRESS": str(bound_addresses.control),
            "POLLENGLADE_PLATFORM_URL": f"http://{platform}",
            **(settings or {}),
        }
        process = await self.start(name, ["-m", self._node_module], environment)
        await self.wait_ready(process, bound_addresses.control, "/health")
        return NodeProcess(
            process,
            name,
            zone,
            bound_addresses.caller,
            bound_addresses.link,
            bound_addresses.control,
        )

    async def wait_serving(self, node: NodeProcess) -> None:
        """Wait until a node has a configuration and serves calls."""
        await self.wait_ready(node.process, node.control, "/ready")

    async def start_target(
        self,
        name: str,
        service: str,
        node: NodeProcess | None = None,
        options: Sequence[str] = (),
        address: Address | None = None,
    ) -> TargetProcess:
        """Start a target stand-in without waiting for it; `wait_target` waits until it is ready.

        `address` is that of the earlier process at a restart.
        """
        address = address or self.free_address()
        command = ["-m", "pollenglade_emulator", "target", "--service", service]
        command += ["--listen", str(address), *options]
        if node is not None:
            command += ["--node", str(node.caller), "--control", str(node.control)]
        return TargetProcess(await self.start(name, command), service, address)

    async def wait_target(self, target: TargetProcess) -> TargetProcess:
        """Wait until `GET /health` of a target returns 200."""
        await self.wait_ready(target.process, target.address, "/health")
        return target

    async def wait_ready(
        self,
        process: ManagedProcess,
        address: Address,
        path: str,
        timeout_s: float = READY_TIMEOUT_S,
    ) -> None:
        """Wait until `GET path` returns 200; raise ProcessError with the output otherwise."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        last_result = "no response"
        while loop.time() < deadline_s and process.exit_code is None:
            response = await self._client.request(address, "GET", path, timeout_s=1.0)
            if not isinstance(response, HttpFailure):
                if response.status == 200:
                    return
                last_result = f"status {response.status}"
            await asyncio.sleep(READY_POLL_S)
        raise ProcessError(
            f"{process.name} is not ready after {timeout_s} s at {address}{path} ({last_result}, "
            f"exit code {process.exit_code}); its output:\n{process.output}"
        )

    async def stop_all(self, timeout_s: float = STOP_TIMEOUT_S) -> dict[str, int]:
        """Stop nodes and targets, then platform and zone relay; return the exit codes by name."""
        codes: dict[str, int] = {}
        for stage in _stop_stages(self.by_name):
            results = await asyncio.gather(*(process.stop(timeout_s) for process in stage))
            codes.update(zip((process.name for process in stage), results, strict=True))
        return codes


def _stop_stages(by_name: Mapping[str, ManagedProcess]) -> list[list[ManagedProcess]]:
    # Nodes write to the platform while they leave.
    first = [process for name, process in by_name.items() if name not in STOPPED_LAST]
    last = [process for name, process in by_name.items() if name in STOPPED_LAST]
    return [first, last]
