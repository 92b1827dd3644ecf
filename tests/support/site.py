"""A system of real processes on stand-ins of the users' platform."""

import http.client
import itertools
import json
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import urllib.parse
from collections.abc import Sequence
from typing import Any, Self

from support.client import Answer, Client
from support.process import Process
from support.waiting import wait_until

_MAIN_SCRIPT = (
    pathlib.Path(__file__).resolve().parents[2] / "platform" / "main.py"
)
DOMAINS = ("east", "west", "north")
PORT = 18300
HOST = "tents.example"


def process_name(role: str, domain: str, number: int) -> str:
    """Returns the name of a process of a role in a domain."""
    return f"{role}-{domain}" + (f"-{number}" if number > 1 else "")


class AddressesTakenError(Exception):
    """Another run uses the addresses of this one."""


def claim_addresses(number: int) -> socket.socket:
    """Claims the addresses 127.NUMBER.*.* until the socket is closed.

    Two runs on the same addresses would use each other's processes, and fail
    with all kinds of messages.

    Raises:
        AddressesTakenError: Another run has claimed them.
    """
    claim = socket.socket()
    try:
        claim.bind((f"127.{number}.255.254", PORT))
    except OSError as error:
        claim.close()
        raise AddressesTakenError(
            f"another run uses the addresses 127.{number}.*.*"
        ) from error
    return claim


class SiteProcess(Process):
    """A process of the system, started as the platform starts it."""

    def __init__(self, name: str, role: str, file: str, folder: str) -> None:
        super().__init__(name, [], folder)
        self.arguments = [sys.executable, str(_MAIN_SCRIPT), role]
        self.file = file

    def __enter__(self) -> Self:
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.arguments,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                env={**os.environ, "RATTANMILL_NODE_FILE": self.file},
            )
        return self

    def events(self, name: str) -> list[dict[str, Any]]:
        """Returns its log lines of one event."""
        return [line for line in self.lines() if line["event"] == name]

    def lines(self) -> list[dict[str, Any]]:
        """Returns its log lines, oldest first."""
        lines = self.log.read_text(errors="replace").splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]


class Site:
    """A store, endpoints, three storage instances and three front ends.

    Args:
        number: Number of the system; its addresses are 127.NUMBER.*.*.

    Attributes:
        tenants: Workspaces of the configuration, or None if there are none.
        revocation_ms: Time within which revoked keys must be refused, or None.
        machine_limits: Limits of the machines of each role, by name.
    """

    def __init__(self, number: int) -> None:
        self.number = number
        self.folder = tempfile.TemporaryDirectory()
        self.store_address = f"127.{number}.0.1:{PORT}"
        self.processes: dict[str, Process] = {}
        self.version = 0
        # Several threads may ask at a time.
        self.request_numbers = itertools.count(1)
        self.tenants: list[dict[str, Any]] | None = None
        self.revocation_ms: int | None = None
        self.machine_limits: dict[str, dict[str, int]] = {}

    def __enter__(self) -> Self:
        self.claim = claim_addresses(self.number)
        try:
            self._start_all()
        except BaseException:
            # Processes left running would occupy the addresses of the next
            # system.
            self.__exit__()
            raise
        return self

    def _start_all(self) -> None:
        self._start(
            Process(
                "store",
                ["standins.sitestore", self.store_address],
                self.folder.name,
            )
        )
        wait_until(self._store_answers, "the store answers")
        self._start_network()
        for index, _ in enumerate(DOMAINS):
            self.start_endpoint("llm", index)
            self.start_endpoint("desk", index)
        self.configure()
        for role, domain, number in self.places():
            self.start(role, domain, first=True, number=number)
        for domain in DOMAINS:
            wait_until(lambda d=domain: self.is_ready(d), f"{domain} is ready")
        wait_until(
            self._all_synchronized,
            "the storage instances replicate from each other",
        )

    def _start_network(self) -> None:
        """Starts what connects the processes; here, they connect directly."""

    def places(self) -> list[tuple[str, str, int]]:
        """Returns role, failure domain and number of each process."""
        return [(r, d, 1) for d in DOMAINS for r in ("storage", "front")]

    def __exit__(self, *exc_info: object) -> None:
        for process in self.processes.values():
            process.kill()
        self.claim.close()
        self.folder.cleanup()

    def start(
        self, role: str, domain: str, first: bool = False, number: int = 1
    ) -> None:
        """Starts or restarts a process of a role in a domain.

        Args:
            role: Its role.
            domain: Its failure domain.
            first: Whether the whole system starts for the first time.
            number: Number of the process among those of its role and domain.
        """
        host = self.host(role, domain, number)
        name = process_name(role, domain, number)
        data = pathlib.Path(self.folder.name, "data", name)
        file = pathlib.Path(self.folder.name, f"{name}.conf")
        fields = {
            "node_name": name,
            "zone": domain,
            "ip": host,
            "port_range": f"{PORT + 5},{PORT + 9}",
            "listen_addrs.front": f"{host}:{PORT}",
            "listen_addrs.ready": f"{host}:{PORT + 1}",
            "platform.address": self.store_address_for(domain),
            "bootstrap": "true" if first else "false",
            "fault_tolerance.machines": "1",
            "bounds.grace_s": "8",
            "data_dir": str(data),
        }
        for limit, value in self.machine_limits.get(role, {}).items():
            fields[f"limits.{limit}"] = str(value)
        if self.revocation_ms is not None:
            fields["bounds.revoke_strict"] = "true"
            fields["bounds.revoke_ms"] = str(self.revocation_ms)
        file.write_text("".join(f"{k}={v}\n" for k, v in fields.items()))
        self._start(SiteProcess(name, role, str(file), self.folder.name))

    def host(self, role: str, domain: str, number: int = 1) -> str:
        """Returns the IP address of a process of a role in a domain."""
        index = DOMAINS.index(domain) + 1
        last = 1 + number
        if role == "front":
            last = 1 if number == 1 else 100 + number
        return f"127.{self.number}.{index}.{last}"

    def store_address_for(self, domain: str) -> str:
        """Returns the store's address for the processes of a domain."""
        return self.store_address

    def storage_address(self, domain: str, number: int = 1) -> str:
        """Returns a storage instance's address for other instances."""
        return f"{self.host('storage', domain, number)}:{PORT + 5}"

    def start_endpoint(self, service: str, index: int) -> None:
        """Starts an endpoint and registers it."""
        name = f"{service}-{index}"
        address = self.endpoint_address(service, index)
        file = self.endpoint_log_file(name)
        endpoint = Process(
            name, ["standins.siterunner", address, name, file], self.folder.name
        )
        endpoint.address = address
        self._start(endpoint)
        wait_until(
            lambda: self._accepts(address), f"{name} accepts connections"
        )
        self.register(name, service, index)

    def endpoint_address(self, service: str, index: int) -> str:
        """Returns the address of the endpoint of a service in a domain."""
        last = 30 + (service == "desk")
        return f"127.{self.number}.{index + 1}.{last}:{PORT}"

    def endpoint_log_file(self, name: str) -> str:
        """Returns the file of an endpoint's requests, or empty for none."""
        return ""

    def register(
        self, name: str, service: str, index: int, **changes: Any
    ) -> None:
        """Writes an endpoint's entry, as the endpoint does itself."""
        entry = {
            "service": service,
            "address": self.processes[name].address,
            "zone": DOMAINS[index],
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1,
            **changes,
        }
        self.put(f"servers/{name}", json.dumps(entry).encode())

    def configure(self, pay_timeout_ms: int = 1000, **limits: int) -> None:
        """Writes the next configuration."""
        self.version += 3
        common = {"host": HOST, "target_latency_ms": 200, "max_attempts": 2}
        stream = {
            **common,
            "kind": "stream",
            "timeout_ms": 4000,
            "service": "llm",
            "retention_s": 60.0,
        }
        desk = {**common, "timeout_ms": 1000, "service": "desk"}
        routes = [
            {
                **stream,
                "name": "talk",
                "prefix": "/stream/talk/",
                "retention_enabled": True,
            },
            {
                **stream,
                "name": "plan",
                "prefix": "/stream/plan/",
                "resumable": True,
            },
            {**desk, "name": "seek", "prefix": "/seek/", "kind": "idempotent"},
            {
                **desk,
                "name": "pay",
                "prefix": "/pay/",
                "kind": "non_idempotent",
                "timeout_ms": pay_timeout_ms,
            },
            {
                **desk,
                "name": "open",
                "prefix": "/open/",
                "kind": "idempotent",
                "public": True,
            },
        ]
        engine = {"slots": 4, "kv_capacity": 90000, "tokens_per_event": 10}
        config = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": "llm", "engine": engine}, {"name": "desk"}],
            "limits": {"max_body_bytes": 100_000, **limits},
        }
        if self.tenants is not None:
            config["tenants"] = self.tenants
        self.put("op/config", json.dumps(config).encode())

    def put(self, key: str, value: bytes) -> None:
        """Writes a key of the store without preconditions."""
        path = f"/put?key={urllib.parse.quote(key, safe='')}"
        assert self.store.request("PUT", path, value).status == 200

    def remove(self, key: str) -> None:
        """Removes a key of the store without preconditions."""
        path = f"/put?key={urllib.parse.quote(key, safe='')}"
        assert self.store.request("DELETE", path).status == 200

    @property
    def store(self) -> Client:
        """A client of the store."""
        return Client(self.store_address)

    def faults(self, **faults: Any) -> None:
        """Sets faults of the store."""
        self.store.request("POST", "/faults", faults)

    def control_endpoint(self, name: str, *faults: str) -> list[dict[str, Any]]:
        """Adds faults to an endpoint and returns its received requests."""
        body = json.dumps({"faults": faults}).encode()
        client = Client(self.processes[name].address)
        return client.request("POST", "/control", body).json

    def spoil_endpoint(
        self, name: str, faults: Sequence[str], share: float, seconds: float
    ) -> None:
        """Gives a share of an endpoint's requests one of the faults each."""
        asked = {
            "faults": faults,
            "share": share,
            "seconds": seconds,
            "seed": f"{name} {faults} {share}",
        }
        client = Client(self.processes[name].address)
        client.request("POST", "/control", json.dumps(asked).encode())

    def received_requests(self, request_id: str) -> list[dict[str, Any]]:
        """Returns a request as received, with the name of each endpoint."""
        return [
            {**received, "endpoint": name}
            for name in self.processes
            if name.startswith(("llm-", "desk-"))
            for received in self.control_endpoint(name)
            if received["headers"].get("x-request-id") == request_id
        ]

    def ask(
        self,
        domain: str,
        method: str,
        path: str,
        body: bytes = b"",
        **headers: str,
    ) -> tuple[str, Answer]:
        """Sends a request; returns its id and the response (0: none)."""
        request_id = self.new_request_id()
        fields = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "3000",
            **{name.replace("_", "-"): text for name, text in headers.items()},
        }
        host, _, port = self.front_address(domain).rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=20)
        try:
            connection.request(method, path, body or None, fields)
            response = connection.getresponse()
            read = response.read()
            headers = {k.lower(): v for k, v in response.getheaders()}
            return request_id, Answer(response.status, headers, read)
        except (OSError, http.client.HTTPException):
            return request_id, Answer(0, {}, b"")
        finally:
            connection.close()

    def new_request_id(self) -> str:
        """Returns an id that no request of this system has."""
        return f"{self.number:04x}{next(self.request_numbers):012x}"

    def front_address(self, domain: str, number: int = 1) -> str:
        """Returns a front end's address for callers."""
        return f"{self.host('front', domain, number)}:{PORT}"

    def ready_address(self, domain: str, number: int = 1) -> str:
        """Returns the address of a front end's readiness probe."""
        return f"{self.host('front', domain, number)}:{PORT + 1}"

    def is_ready(self, domain: str) -> bool:
        """Whether a front end reports that it is ready."""
        front = self.processes[f"front-{domain}"]
        assert front.alive, front.tail()
        client = Client(self.ready_address(domain))
        return client.request("GET", "/v1/readiness").status == 200

    def _all_synchronized(self) -> bool:
        return all(
            len(self.processes[f"storage-{d}"].events("following_level")) >= 2
            for d in DOMAINS
        )

    def _start(self, process: Process) -> None:
        process.__enter__()
        self.processes[process.name] = process

    def _store_answers(self) -> bool:
        return self.store.request("GET", "/faults").status == 200

    def _accepts(self, address: str) -> bool:
        return Client(address).request("POST", "/control", b"{}").status == 200
