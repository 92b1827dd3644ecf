"""A whole system of processes on loopback.

Failure domain ``k`` has the addresses 127.0.``k``.*, so that connections can
be cut by where they come from. Instances reach each other inside a domain
directly, and across domains through a relay in front of the other domain.
"""

import contextlib
import json
import pathlib
import random
import secrets
import shutil
import socket
import tempfile
from typing import Self

import msgspec
import zmq

from support.client import Client
from support.interrupts import uninterrupted
from support.process import Process
from support.waiting import wait_until

ALBA = ("alba-east", "alba-west", "alba-north")
_PORTS = (12_000, 32_000)
CR_CENTRAL = ("sanjose-a", "heredia-b", "alajuela-c")


class EngineSpec(msgspec.Struct):
    """An engine of the stack; ``options`` as in ``standins.engine``."""

    name: str
    domain: int = 0
    options: dict = msgspec.field(default_factory=dict)
    service: str = "model-bank"


class ServiceSpec(msgspec.Struct):
    """A plain service of the stack."""

    name: str
    domain: int = 0
    service: str = "index-office"


class Layout(msgspec.Struct, kw_only=True):
    """What a stack consists of.

    Attributes:
        domains: Names of the failure domains.
        per_domain: Entry instances in each.
        engines: Model engines.
        services: Plain services.
        lease_seconds: Time to live of instances' leases.
        first_port: First of the fixed ports, or 0 to take free ones.
        extra: More TOML for each instance's settings.
    """

    domains: tuple[str, ...] = ALBA
    per_domain: int = 2
    engines: list[EngineSpec] = msgspec.field(
        default_factory=lambda: [EngineSpec("engine-1")]
    )
    services: list[ServiceSpec] = msgspec.field(
        default_factory=lambda: [ServiceSpec("office-1")]
    )
    lease_seconds: float = 1.5
    first_port: int = 0
    extra: str = ""


class Instance(msgspec.Struct):
    """An entry instance of the stack and where it is reached."""

    name: str
    domain: int
    http: str
    peer: str
    outside: str
    process: Process

    @property
    def client(self) -> Client:
        """A caller of this instance."""
        return Client(self.http)


class Stack:
    """Starts all processes of a layout and ends them on exit."""

    def __init__(self, layout: Layout) -> None:
        self.layout = layout
        self.folder = tempfile.mkdtemp(prefix="rattanmill-")
        self.stack = contextlib.ExitStack()
        self.standins: dict[str, Client] = {}
        self.processes: dict[str, Process] = {}
        self.instances: list[Instance] = []
        self.next_port = layout.first_port

    def __enter__(self) -> Self:
        try:
            self._start()
        except BaseException:
            self.stack.close()
            raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def close(self) -> None:
        """Ends all processes; more than once does no harm."""
        self.stack.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def last_output(self, lines: int) -> str:
        """Returns each process's state and its last lines."""
        processes = {
            **{i.name: i.process for i in self.instances},
            **self.processes,
        }
        return "\n".join(
            f"--- {name}, {process.state}\n{process.tail(lines)}"
            for name, process in processes.items()
        )

    def _start(self) -> None:
        _, secret = zmq.curve_keypair()
        pathlib.Path(self.folder, "secret").write_bytes(secret)
        pathlib.Path(self.folder, "secret").chmod(0o600)
        self.start_standin("kv", "127.0.0.1", "standins.kv")
        for spec in self.layout.engines:
            self.start_standin(
                spec.name,
                f"127.0.{spec.domain + 1}.1",
                "standins.engine",
                json.dumps(spec.options),
            )
        for spec in self.layout.services:
            self.start_standin(
                spec.name, f"127.0.{spec.domain + 1}.1", "standins.service"
            )
        listed = json.dumps(self.endpoint_list())
        self.start_standin(
            "directory", "127.0.0.1", "standins.directory", listed
        )
        self._plan_instances()
        for domain in range(len(self.layout.domains)):
            self._start_relay(domain)
        for instance in self.instances:
            self.start_instance(instance)
        self.wait_ready()

    def endpoint_list(self) -> list[dict]:
        """Returns the instance list of this stack."""
        engines = [
            {
                "name": spec.name,
                "kind": "engine",
                "service": spec.service,
                "domain": self.layout.domains[spec.domain],
                "url": f"http://{self.standins[spec.name].address}",
                "models": spec.options.get("models", ["commentary"]),
            }
            for spec in self.layout.engines
        ]
        services = [
            {
                "name": spec.name,
                "kind": "service",
                "service": spec.service,
                "domain": self.layout.domains[spec.domain],
                "url": f"http://{self.standins[spec.name].address}",
            }
            for spec in self.layout.services
        ]
        return engines + services

    def address(self, host: str) -> str:
        """Returns an address that nobody else uses as long as this lasts."""
        if self.next_port:
            self.next_port += 1
            return f"{host}:{self.next_port - 1}"
        # Below the range from which the system takes ports for outgoing
        # connections: they do not stop at a reservation.
        while True:
            port = random.randrange(*_PORTS)
            if reserved := reserve(host, port):
                self.stack.enter_context(reserved)
                return f"{host}:{port}"

    def start_standin(
        self, name: str, host: str, module: str, *arguments: str
    ) -> None:
        """Starts a stand-in, again at its old address if it had one."""
        known = self.standins.get(name)
        address = known.address if known else self.address(host)
        process = Process(name, [module, address, *arguments], self.folder)
        self._run(process)
        self.processes[name] = process
        self.standins[name] = Client(address)
        wait_until(
            lambda: Client(address).request("GET", "/stats").status == 200,
            lambda: f"{name} answers at {address}: {process.tail()}",
        )

    def _run(self, process: Process) -> None:
        # Interrupted in between, it would run and nobody would end it.
        with uninterrupted():
            self.stack.enter_context(process)

    def restart_engine(self, name: str) -> None:
        """Starts a crashed engine again."""
        spec = next(s for s in self.layout.engines if s.name == name)
        self.start_standin(
            name, "", "standins.engine", json.dumps(spec.options)
        )

    def _plan_instances(self) -> None:
        for domain, place in enumerate(self.layout.domains):
            for number in range(self.layout.per_domain):
                host = f"127.0.{domain + 1}.{number + 10}"
                name = f"{place}-{number + 1}"
                http, peer = self.address(host), self.address(host)
                outside = self.address(f"127.0.{domain + 1}.1")
                process = Process(
                    name,
                    [
                        "rattanmill_entry.main",
                        "--settings",
                        f"{self.folder}/{name}.toml",
                    ],
                    self.folder,
                )
                self.instances.append(
                    Instance(name, domain, http, peer, outside, process)
                )

    def _start_relay(self, domain: int) -> None:
        routes = [
            f"{instance.outside}={instance.peer}"
            for instance in self.instances
            if instance.domain == domain
        ]
        self.start_standin(
            f"relay-{domain}",
            f"127.0.{domain + 1}.1",
            "standins.relay",
            *routes,
        )

    def settings_text(self, instance: Instance) -> str:
        """Returns the settings file of an instance."""
        return f"""\
[instance]
name = "{instance.name}"
domain = "{self.layout.domains[instance.domain]}"
http = "{instance.http}"
peer = "{instance.peer}"
outside = "{instance.outside}"

[platform]
kv = "http://{self.standins["kv"].address}"
directory = "http://{self.standins["directory"].address}/instances"
domains = {json.dumps(list(self.layout.domains))}
lease_seconds = {self.layout.lease_seconds}

[peers]
secret_file = "{self.folder}/secret"

{self.layout.extra}
"""

    def start_instance(self, instance: Instance) -> None:
        """Starts an instance (again)."""
        path = pathlib.Path(self.folder, f"{instance.name}.toml")
        path.write_text(self.settings_text(instance))
        self._run(instance.process)

    def instance(self, name: str) -> Instance:
        """Returns an instance by name."""
        return next(i for i in self.instances if i.name == name)

    def in_domain(self, domain: int) -> list[Instance]:
        """Returns the instances of a failure domain."""
        return [i for i in self.instances if i.domain == domain]

    def wait_ready(self) -> None:
        """Waits until every shard of every domain has a live owner."""
        wait_until(
            self._all_owned,
            lambda: (
                "all shards are owned: "
                + "\n".join(i.process.tail(5) for i in self.instances)
            ),
        )

    def wait_open(self) -> None:
        """Waits until every instance gives work to every endpoint."""
        wait_until(self._all_open, "all endpoints get work")

    def _all_open(self) -> bool:
        answers = [
            instance.client.request("GET", "/v1/admin/endpoints")
            for instance in self.instances
            if instance.process.alive
        ]
        return all(
            answer.status == 200
            and all(each["state"] == "live" for each in answer.json)
            for answer in answers
        )

    def _all_owned(self) -> bool:
        owned: set[str] = set()
        owners: dict[str, list[str]] = {}
        for instance in self.instances:
            if not instance.process.alive:
                continue
            answer = instance.client.request("GET", "/v1/admin/status")
            if answer.status != 200:
                return False
            owned |= set(answer.json["shards"])
            owners.update(answer.json["owners"])
        living = {
            self.layout.domains[i.domain]
            for i in self.instances
            if i.process.alive
        }
        return all(
            owners.get(place)
            and all(
                f"{place}.{number}" in owned
                for number in range(len(owners[place]))
            )
            for place in living
        )

    def owner_of(self, program: str) -> Instance:
        """Returns the instance that owns a program now."""
        shard = ".".join(program.split(".")[:2])

        def find() -> Instance | None:
            for instance in self.instances:
                if not instance.process.alive:
                    continue
                answer = Client(instance.http, 2).request(
                    "GET", "/v1/admin/status"
                )
                if answer.status == 200 and shard in answer.json["shards"]:
                    return instance
            return None

        return wait_until(find, f"shard {shard} has an owner")

    def cut(self, domain: int, *, kv: bool, domains: bool) -> None:
        """Cuts a failure domain off from the service or the other domains."""
        source = [f"127.0.{domain + 1}."]
        if kv:
            self.standins["kv"].faults(cut_sources=source)
        if domains:
            others = [
                f"127.0.{other + 1}."
                for other in range(len(self.layout.domains))
                if other != domain
            ]
            for other in range(len(self.layout.domains)):
                self.standins[f"relay-{other}"].faults(
                    cut_sources=others if other == domain else source
                )

    def heal(self) -> None:
        """Ends all cuts."""
        self.standins["kv"].faults(cut_sources=[])
        for domain in range(len(self.layout.domains)):
            self.standins[f"relay-{domain}"].faults(cut_sources=[])


def reserve(host: str, port: int) -> socket.socket | None:
    """Takes a port until the socket is closed; None if it is in use.

    A stack's process can still listen there, as it binds with SO_REUSEADDR;
    what looks for a free port binds without, and passes on to another one,
    also before the process has begun to listen and after it has ended.
    """
    reserved = socket.socket()
    try:
        reserved.bind((host, port))
    except OSError:
        reserved.close()
        return None
    reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    return reserved


def random_text(size: int = 12) -> str:
    """Returns text that no other test uses."""
    return secrets.token_hex(size)
