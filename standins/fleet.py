"""Starts stand-ins and daemons as processes on this machine, and ends them.

For the demo, benchmarks and tests with real processes. All addresses are on
the loopback interface.
"""

import collections
from collections.abc import Callable
import dataclasses
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from typing import Any

import httpcore
import msgspec

from dragonflystack import config
from dragonflystack import ids

_HOST = "127.0.0.1"
_POLL_S = 0.02
_PEERS_IN_SETTINGS = 3
_FIRST_PORT = 10_000
_LAST_PORT = 32_000
TEAM_TOKEN = "stand-in-token"


@dataclasses.dataclass(frozen=True)
class Vm:
    """A VM of the fleet and its ports."""

    id: ids.VmId
    failure_domain: ids.FailureDomainId
    callers_port: int
    daemons_port: int
    operators_port: int

    @property
    def callers_url(self) -> str:
        """Base URL of the callers' port."""
        return f"http://{_HOST}:{self.callers_port}"

    @property
    def operators_url(self) -> str:
        """Base URL of the operators' port."""
        return f"http://{_HOST}:{self.operators_port}"


def free_port_range(count: int) -> int:
    """Returns the first of `count` ports in a row that are free now.

    Raises:
        OSError: if no such range was found.
    """
    span = (_LAST_PORT - _FIRST_PORT) // count
    offset = os.getpid() % span
    for i in range(span):
        first = _FIRST_PORT + (offset + i) % span * count
        if all(_is_free(port) for port in range(first, first + count)):
            return first
    raise OSError(f"no {count} free ports in a row")


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((_HOST, port))
        except OSError:
            return False
    return True


def wait_until(holds, what: str, timeout_s: float = 20.0) -> float:
    """Polls until `holds()` is true and returns the seconds it took.

    Raises:
        TimeoutError: names what was waited for.
    """
    start = time.monotonic()
    while not holds():
        if time.monotonic() - start > timeout_s:
            raise TimeoutError(what)
        time.sleep(_POLL_S)
    return time.monotonic() - start


def get(url: str) -> bytes | None:
    """Returns what is at a URL, or None if there is no such answer."""
    try:
        res = httpcore.request("GET", url)
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return None
    return res.content if res.status == 200 else None


def get_json(url: str) -> Any:
    """Returns the JSON at a URL, or None if there is no such answer."""
    content = get(url)
    return None if content is None else msgspec.json.decode(content)


class LocalFleet:
    """A platform, backend servers and daemons on this machine."""

    def __init__(
        self, folder: pathlib.Path, first_port: int, document: config.Document
    ):
        """Takes a folder for settings and logs, and a free range of ports."""
        self._folder = folder
        self._next_port = first_port + 1
        self._processes: dict[str, subprocess.Popen] = {}
        self.platform_url = f"http://{_HOST}:{first_port}"
        self._platform_port = first_port
        self.vms: dict[ids.VmId, Vm] = {}
        self.make_tls: Callable[[ids.VmId], object] | None = None
        """Returns the `tls` settings of a VM; None for no encryption."""

        self._leaving: set[ids.VmId] = set()
        self.document = self._place_backend_servers(document)
        self._backend_servers = {
            server.id: server
            for service in self.document.services.values()
            for server in service.backend_servers
        }

    def _place_backend_servers(
        self, document: config.Document
    ) -> config.Document:
        services = {}
        self.first_backend_port = self._next_port
        for service_id, service in document.services.items():
            servers = []
            for server in service.backend_servers:
                servers.append(
                    msgspec.structs.replace(
                        server, host=_HOST, port=self._take_port()
                    )
                )
            services[service_id] = msgspec.structs.replace(
                service, backend_servers=tuple(servers)
            )
        return msgspec.structs.replace(document, services=services)

    def _take_port(self) -> int:
        port = self._next_port
        self._next_port += 1
        return port

    def backend_urls(self) -> list[str]:
        """Returns the base URLs of all backend servers."""
        return [
            f"http://{server.host}:{server.port}"
            for service in self.document.services.values()
            for server in service.backend_servers
        ]

    def start_platform(self, service_ms: float) -> None:
        """Starts the platform, and backend servers that take that long."""
        self._start(
            "platform", "standins.platform", "--port", str(self._platform_port)
        )
        count = len(self.backend_urls())
        self._start(
            "backend-servers",
            "standins.backend_server",
            "--first-port",
            str(self.first_backend_port),
            "--count",
            str(count),
            "--service-ms",
            str(service_ms),
        )
        wait_until(
            lambda: get_json(self.platform_url + "/vms") is not None, "platform"
        )
        wait_until(
            lambda: get_json(self.backend_urls()[-1] + "/health") is not None,
            "backend servers",
        )

    def start_vm(
        self, vm_id: ids.VmId, failure_domain: ids.FailureDomainId
    ) -> Vm:
        """Starts a daemon and puts its VM on the platform's list."""
        ports = [self._take_port() for _ in range(3)]
        vm = Vm(vm_id, failure_domain, *ports)
        path = self._folder / f"{vm_id}.json"
        path.write_bytes(msgspec.json.encode(self._settings(vm)))
        self.vms[vm_id] = vm
        self.publish_vms()
        self._start(vm_id, "dragonflystack.daemon", "--settings", str(path))
        return vm

    def _settings(self, vm: Vm) -> dict:
        tls = {} if self.make_tls is None else {"tls": self.make_tls(vm.id)}
        return tls | {
            "vm": vm.id,
            "failure_domain": vm.failure_domain,
            "callers": {"host": _HOST, "port": vm.callers_port},
            "daemons": {"host": _HOST, "port": vm.daemons_port},
            "operators": {"host": _HOST, "port": vm.operators_port},
            "platform_url": self.platform_url,
            "peers": [
                {"host": _HOST, "port": other.daemons_port}
                for other in self.vms.values()
                if other.id != vm.id
            ][:_PEERS_IN_SETTINGS],
            "team_tokens": dict.fromkeys(self._teams(), TEAM_TOKEN),
            "log_file": str(self._folder / f"{vm.id}.log"),
        }

    def _teams(self) -> set[ids.TeamId]:
        document = self.document
        teams = {service.owner for service in document.services.values()}
        return teams | {
            document.fleet.owner,
            document.topology.owner,
            document.clients.owner,
        }

    def run_client(self, *args: str) -> subprocess.CompletedProcess[str]:
        """Runs the operators' client through one of the VMs."""
        vm = next(iter(self.vms.values()))
        command = [sys.executable, "-m", "dragonflystack.cli", *args]
        options = ["--vm-url", vm.operators_url, "--token", TEAM_TOKEN]
        return subprocess.run(
            [*command, *options], capture_output=True, text=True, check=False
        )

    def publish_vms(self) -> None:
        """Writes the platform's list of VMs."""
        listed = [
            {
                "id": vm.id,
                "host": _HOST,
                "port": vm.daemons_port,
                "state": "leaving" if vm.id in self._leaving else "live",
            }
            for vm in self.vms.values()
        ]
        httpcore.request(
            "PUT",
            self.platform_url + "/vms",
            content=msgspec.json.encode(listed),
        )

    def set_platform_faults(self, faults: dict) -> None:
        """Makes the platform fail as `standins.platform.Faults` says."""
        httpcore.request(
            "PUT",
            self.platform_url + "/faults",
            content=msgspec.json.encode(faults),
        )

    def set_backend_faults(
        self, server_id: ids.BackendServerId, faults: dict
    ) -> None:
        """Makes a backend server behave as its stand-in's `Faults` says."""
        server = self._backend_servers[server_id]
        httpcore.request(
            "PUT",
            f"http://{server.host}:{server.port}/faults",
            content=msgspec.json.encode(faults),
        )

    def backend_counts(self) -> list[dict]:
        """Returns the counts of all backend servers."""
        return get_json(self.backend_urls()[0] + "/all") or []

    def region_by_backend_name(self) -> dict[str, str]:
        """Returns the service and region of each backend server."""
        document = self.document
        return {
            f"{server.host}:{server.port}": f"{service.id}/"
            f"{document.region_of[server.failure_domain]}"
            for service in document.services.values()
            for server in service.backend_servers
        }

    def runs(self) -> collections.Counter[str]:
        """Returns how often each request key was run."""
        runs: collections.Counter[str] = collections.Counter()
        for url in self.backend_urls():
            runs.update(get_json(url + "/runs") or {})
        return runs

    def all_see_all(self) -> bool:
        """Returns whether every VM knows all the others."""
        dumps = [
            get_json(vm.operators_url + "/v1/dump") for vm in self.vms.values()
        ]
        return all(d and len(d["members"]) == len(dumps) for d in dumps)

    def kill(self, name: str) -> None:
        """Ends a process at once; a VM also leaves the platform's list."""
        process = self._processes.pop(name)
        process.kill()
        process.wait()
        if self.vms.pop(ids.VmId(name), None) is not None:
            self.publish_vms()

    def freeze(self, name: str) -> None:
        """Pauses a process."""
        self._processes[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Lets a paused process go on."""
        self._processes[name].send_signal(signal.SIGCONT)

    def terminate(self, vm_id: ids.VmId) -> None:
        """Asks a daemon for a graceful shutdown and returns at once."""
        self._leaving.add(vm_id)
        self.publish_vms()
        self._processes[vm_id].terminate()

    def wait_exit(self, vm_id: ids.VmId, timeout_s: float = 30.0) -> int:
        """Waits for a daemon to end and returns its exit code."""
        code = self._processes.pop(vm_id).wait(timeout_s)
        self.vms.pop(vm_id, None)
        self.publish_vms()
        return code

    def versions(self) -> dict[ids.VmId, int]:
        """Returns the document version of each daemon, -1 if no answer."""
        found = {}
        for vm in self.vms.values():
            dump = get_json(vm.operators_url + "/v1/dump")
            found[vm.id] = -1 if dump is None else dump["version"]
        return found

    def all_ready(self) -> bool:
        """Returns whether every daemon is ready to answer look-ups."""
        urls = [f"{vm.operators_url}/health/ready" for vm in self.vms.values()]
        answers = [get_json(url) for url in urls]
        return all(a is not None and a.get("ready") for a in answers)

    def stop(self) -> None:
        """Ends every process that was started."""
        for process in self._processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self._processes.values():
            process.wait()
        self._processes.clear()

    def _start(self, name: str, module: str, *args: str) -> None:
        with open(self._folder / f"{name}.out", "ab") as out:
            self._processes[name] = subprocess.Popen(
                [sys.executable, "-m", module, *args], stdout=out, stderr=out
            )
