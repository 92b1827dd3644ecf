"""A small deployment of real processes on loopback addresses."""

import asyncio
import contextlib
import http.client
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Callable
from typing import Any, Self

# Exit codes of ``run.py``. An error of Python's own ends it with 1, so that
# ``run.sh`` can tell it from a broken rule.
HELD = 0
COULD_NOT_RUN = 2
BROKEN = 3
DOMAINS = ("east", "west", "north")
HOST = "tents.example"
_ROOT = pathlib.Path(__file__).resolve().parents[2]
_PYTHON = shutil.which("python3") or sys.executable
# What a role gets of the caller's environment, see DEPLOY.md.
_PASSED_VARIABLES = ("PATH", "HOME", "LANG")
_PORTS_NEEDED = 10
_METRICS_PORT = 9464
_START_SECONDS = 30.0
# Bounds as on the sheets of the small deployments.
BOUNDS = {
    "contact_ms": "3000",
    "drain_ms": "2000",
    "grace_s": "8",
    "config_apply_ms": "2000",
    "loss_slack_ms": "200",
    "recovery_s": "12",
    "quota_window_s": "5",
    "quota_overage": "0.1",
    "quota_slack": "20",
}


def has_trouble() -> bool:
    """Whether the disruption is to happen."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self) -> None:
        self.path = pathlib.Path(sys.argv[1])
        self.began = time.monotonic()
        self.path.write_text("")

    def note(self, text: str) -> None:
        """Adds a line."""
        line = f"{time.monotonic() - self.began:8.3f} {text}\n"
        with self.path.open("a", encoding="utf-8") as file:
            file.write(line)


class Deployment:
    """A store, three front ends and three storage instances.

    Its addresses are 127.NUMBER.*.*. The case starts its endpoints by itself.

    Attributes:
        routes: Routes of the configuration.
        services: Services of the configuration.
        limits: Limits of the configuration.
        tenants: Workspaces of the configuration, or None.
        bounds: Bounds in the settings files.
        processes: Running processes by name.
        lost_disks: Disks that may be lost at once.

    Args:
        record: Gets what happens to processes.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.number, self.port = _free_addresses()
        self.folder = tempfile.TemporaryDirectory()
        self.store = f"127.{self.number}.0.1:{self.port}"
        self.bounds = dict(BOUNDS)
        self.routes: list[dict[str, Any]] = []
        self.services: list[dict[str, Any]] = []
        self.limits: dict[str, int] = {}
        self.tenants: list[dict[str, Any]] | None = None
        self.version = 0
        self.lost_disks = 1
        self.processes: dict[str, subprocess.Popen] = {}
        self.request_numbers = itertools.count(1)

    def __enter__(self) -> Self:
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
        try:
            self._start_all()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        self.folder.cleanup()

    def _start_all(self) -> None:
        store = [_PYTHON, "-m", "standins.sitestore", self.store]
        self.start_process("store", store)
        _wait(lambda: self._call("GET", "/faults") == 200, "the store")
        self.configure()
        for role in ("storage", "front"):
            for domain in DOMAINS:
                self.start(role, domain, is_first=True)
        for domain in DOMAINS:
            _wait(lambda d=domain: self.is_ready(d), f"front-{domain}")

    def start(self, role: str, domain: str, is_first: bool = False) -> None:
        """Starts a process of a role with the command of the deploy file."""
        name = f"{role}-{domain}"
        host = self.host(role, domain)
        fields = {
            "node_name": name,
            "role": role,
            "instance_class": role,
            "serves": role,
            "zone": domain,
            "ip": host,
            "port_range": f"{self.port + 5},{self.port + 9}",
            "listen_addrs.front": f"{host}:{self.port}",
            "listen_addrs.ready": f"{host}:{self.port + 1}",
            "platform.address": self.store,
            "platform.value_bytes": "1048576",
            "bootstrap": "true" if is_first else "false",
            "fault_tolerance.machines": str(self.lost_disks),
            "fault_tolerance.zones": "1",
            "data_dir": str(self.data(name)),
            **{f"bounds.{k}": v for k, v in self.bounds.items()},
        }
        file = pathlib.Path(self.folder.name, f"{name}.conf")
        file.write_text("".join(f"{k}={v}\n" for k, v in fields.items()))
        passed = {k: os.environ.get(k, "") for k in _PASSED_VARIABLES}
        self._popen(
            name,
            _command(role),
            {
                **passed,
                "PYTHONPATH": str(_ROOT / "target" / "deps"),
                "RATTANMILL_NODE_FILE": str(file),
            },
        )

    def data(self, name: str) -> pathlib.Path:
        """Returns the folder that stands for a machine's disk."""
        return pathlib.Path(self.folder.name, "data", name)

    def lose_disk(self, domain: str) -> None:
        """Ends a storage instance along with its disk."""
        name = f"storage-{domain}"
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()
        shutil.rmtree(self.data(name))
        self.record.note(f"the disk of {name} is lost")

    def start_process(self, name: str, command: list[str]) -> None:
        """Starts a stand-in; its output goes to a file."""
        self._popen(name, command, dict(os.environ))

    def _popen(
        self, name: str, command: list[str], variables: dict[str, str]
    ) -> None:
        with self.log(name).open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command,
                cwd=_ROOT,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env=variables,
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process that this deployment started."""
        self.record.note(f"{number.name} to {name}")
        self.processes[name].send_signal(number)

    def log(self, name: str) -> pathlib.Path:
        """Returns the file with a process's output."""
        return pathlib.Path(self.folder.name, f"{name}.log")

    def host(self, role: str, domain: str) -> str:
        """Returns the IP address of a process."""
        last = {"front": 1, "storage": 2}[role]
        return f"127.{self.number}.{DOMAINS.index(domain) + 1}.{last}"

    def front(self, domain: str) -> tuple[str, int]:
        """Returns a front end's address for callers."""
        return self.host("front", domain), self.port

    def endpoint_address(self, service: int, domain: int) -> str:
        """Returns the address of an endpoint."""
        return f"127.{self.number}.{domain + 1}.{30 + service}:{self.port}"

    def register(self, name: str, address: str, **fields: Any) -> None:
        """Writes an endpoint's entry, as the endpoint does itself."""
        entry = {
            "service": "desk",
            "address": address,
            "zone": "east",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": int(time.time() * 1000),
            **fields,
        }
        self.put(f"servers/{name}", json.dumps(entry).encode())

    def configure(self) -> None:
        """Writes the next configuration."""
        self.version += 3
        config: dict[str, Any] = {
            "version": self.version,
            "routes": self.routes,
            "services": self.services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
                **self.limits,
            },
        }
        if self.tenants is not None:
            config["tenants"] = self.tenants
        self.put("op/config", json.dumps(config).encode())

    def put(self, key: str, value: bytes) -> None:
        """Writes a key of the store, as the operator or an endpoint does."""
        path = f"/put?key={urllib.parse.quote(key, safe='')}"
        assert self._call("PUT", path, value) == 200

    def is_ready(self, domain: str) -> bool:
        """Whether a front end reports that it is ready."""
        address = f"{self.host('front', domain)}:{self.port + 1}"
        return self._call("GET", "/v1/readiness", address=address) == 200

    def new_request_id(self) -> str:
        """Returns an id that no request of this deployment has."""
        return f"{self.number:04x}{next(self.request_numbers):012x}"

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        address: str = "",
    ) -> int:
        connection = http.client.HTTPConnection(
            address or self.store, timeout=5
        )
        try:
            connection.request(method, path, body)
            return connection.getresponse().status
        except (OSError, http.client.HTTPException):
            return 0
        finally:
            connection.close()


def route(name: str, kind: str, **fields: Any) -> dict[str, Any]:
    """Returns a route of the configuration at ``/NAME/``."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 3000,
        "target_latency_ms": 200,
        "priority": 0,
        "service": "desk",
        "max_attempts": 1,
        **fields,
    }


async def read_answer(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    """Reads an answer with a length; returns status, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    fields = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return int(first.split(" ")[1]), fields, body


def _command(role: str) -> list[str]:
    """Returns the command that the deploy file has for a role."""
    deploy = tomllib.loads((_ROOT / "deploy" / "system.toml").read_text())
    return deploy["roles"][role]["run"].split()


def _wait(condition: Callable[[], bool], what: str) -> None:
    end = time.monotonic() + _START_SECONDS
    while not condition():
        if time.monotonic() > end:
            raise TimeoutError(f"{what} is not there")
        time.sleep(0.05)


def _free_addresses() -> tuple[int, int]:
    """Returns NUMBER and the first of some ports that nobody uses there."""
    for _ in range(50):
        number = random.randint(20, 250)
        first = random.randint(20_000, 29_000)
        ports = [*range(first, first + _PORTS_NEEDED), _METRICS_PORT]
        hosts = [f"127.{number}.{n}.{m}" for n in range(4) for m in (1, 2)]
        with contextlib.ExitStack() as stack:
            try:
                for port, host in itertools.product(ports, hosts):
                    probe = stack.enter_context(socket.socket())
                    probe.bind((host, port))
            except OSError:
                continue
            return number, first
    raise OSError("no free addresses")


def run_case(check: Callable[[Record], int]) -> None:
    """Runs a case and exits with its outcome."""
    record = Record()
    try:
        outcome = check(record)
    except Exception as error:
        record.note(f"could not run: {error!r}")
        sys.exit(COULD_NOT_RUN)
    record.note("the rule held" if outcome == HELD else "the rule was BROKEN")
    sys.exit(outcome)
