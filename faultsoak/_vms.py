"""The entry VMs: processes of this machine, each with an address of its own."""

import asyncio
import dataclasses
import os
import pathlib
import signal
import subprocess
import sys
import time

import anyio
import fakes
import httpcore

from faultsoak import _links
from faultsoak import _proxy
from faultsoak import _record
from faultsoak import _trace

_PROGRAM = "platform"
_RESTART_AFTER_S = 0.4
_POLL_S = 0.02
_SAMPLE_EVERY_S = 0.2
_HANDLERS_IN_S = 2.0
"""From the start of a process until it handles signals, on a busy machine."""

_OK = 200
_MAX_LAST_WORDS = 2_000
READINESS_PORT = 8640
CALLERS_PORT = 8641
DIRECTORY_PORT = 8644


@dataclasses.dataclass(slots=True)
class Vm:
    """One entry VM."""

    id: str
    ip: str
    domain: str
    settings: pathlib.Path
    log: pathlib.Path
    store: _proxy.Proxy
    """Its way to the store."""

    callers: _proxy.Proxy
    """The callers' way to it."""

    link: _links.Link
    """Its link to other VMs."""

    callers_port: int = 0
    process: subprocess.Popen | None = None
    started_at_s: float = 0.0
    stopped_at_s: float | None = None
    """When it got SIGTERM, until it ends."""

    was_killed: bool = False
    paused: int = 0
    """How many pauses hold it."""


class Fleet:
    """The processes; it ends only those that it started."""

    def __init__(self, record: _record.Record, grace_s: float):
        """Takes where exits are recorded, and the grace of a planned stop."""
        self.vms: list[Vm] = []
        self.links = _links.Links()
        self._record = record
        self._grace_s = grace_s
        self._ends = False

    def start(self, vm: Vm) -> None:
        """Starts the process of a VM."""
        env = {
            "PATH": os.environ.get("PATH", ""),
            fakes.SETTINGS_VARIABLE: str(vm.settings),
        }
        with vm.log.open("ab") as out:
            vm.process = subprocess.Popen(
                [sys.executable, _PROGRAM],
                env=env,
                stdout=out,
                stderr=subprocess.STDOUT,
            )
        vm.started_at_s = time.monotonic()
        vm.stopped_at_s = None
        vm.was_killed = False
        vm.paused = 0

    async def watch(self) -> None:
        """Records exits and starts ended processes again, for ever."""
        async with anyio.create_task_group() as tasks:
            while True:
                for vm in self.vms:
                    process = vm.process
                    if process is not None and process.poll() is not None:
                        self._on_exit(vm, process.returncode)
                        tasks.start_soon(self._restart, vm)
                    elif self._is_overdue(vm):
                        self.signal(vm, signal.SIGKILL)
                await anyio.sleep(_POLL_S)

    async def watch_processors(self) -> None:
        """Samples what the system gives the processes, for ever."""
        while True:
            for vm in self.vms:
                if vm.process is not None:
                    sample = _trace.read_sample(
                        vm.process.pid, time.monotonic()
                    )
                    if sample is not None:
                        self._record.samples[vm.id].append(sample)
            await anyio.sleep(_SAMPLE_EVERY_S)

    def signal(self, vm: Vm, number: signal.Signals) -> bool:
        """Sends a signal to a VM; returns whether it runs."""
        if vm.process is None or vm.process.poll() is not None:
            return False
        if number == signal.SIGTERM and vm.stopped_at_s is None:
            vm.stopped_at_s = time.monotonic()
        if number == signal.SIGKILL:
            vm.was_killed = True
        vm.process.send_signal(number)
        return True

    async def pause(self, vm: Vm, for_s: float) -> None:
        """Stops a process for a while."""
        process = vm.process
        if not self.signal(vm, signal.SIGSTOP):
            return
        vm.paused += 1
        await anyio.sleep(for_s)
        if vm.process is process:
            vm.paused -= 1
            if not vm.paused:
                self.signal(vm, signal.SIGCONT)

    def end(self) -> None:
        """Kills what still runs."""
        self._ends = True
        self.links.stop()
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.kill()
                vm.process.wait()

    async def wait_ready(self, timeout_s: float) -> None:
        """Returns when all VMs are ready.

        Raises:
            TimeoutError: if that takes too long.
        """
        async with httpcore.AsyncConnectionPool() as pool:
            with anyio.fail_after(timeout_s):
                for vm in self.vms:
                    while not await _is_ready(pool, vm):
                        await anyio.sleep(_POLL_S)

    def _is_overdue(self, vm: Vm) -> bool:
        """Returns whether the grace of a planned stop is over."""
        since_s = vm.stopped_at_s
        if since_s is None or vm.was_killed:
            return False
        return time.monotonic() - since_s > self._grace_s

    def _on_exit(self, vm: Vm, code: int) -> None:
        vm.process = None
        was_asked = is_asked(vm, code)
        last_words = "" if was_asked else _last_words(vm.log)
        self._record.exits.append(
            _record.Exit(time.monotonic(), vm.id, code, was_asked, last_words)
        )

    async def _restart(self, vm: Vm) -> None:
        await asyncio.sleep(_RESTART_AFTER_S)
        if not self._ends:
            self.start(vm)


def _last_words(log: pathlib.Path) -> str:
    """Returns the end of what a process wrote besides log lines."""
    lines = log.read_text("utf-8", errors="replace").splitlines()
    words = [line for line in lines if not line.startswith("{")]
    return "\n".join(words)[-_MAX_LAST_WORDS:]


def is_asked(vm: Vm, code: int) -> bool:
    """Returns whether signals that were sent explain an exit code.

    Until its handlers are in place, SIGTERM ends a process at once.
    """
    if vm.was_killed:
        return True
    if vm.stopped_at_s is None:
        return False
    is_starting = vm.stopped_at_s - vm.started_at_s < _HANDLERS_IN_S
    return code == 0 or (code == -signal.SIGTERM and is_starting)


async def _is_ready(pool: httpcore.AsyncConnectionPool, vm: Vm) -> bool:
    url = f"http://{vm.ip}:{READINESS_PORT}/readiness"
    try:
        res = await pool.request("GET", url)
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return False
    return res.status == _OK
