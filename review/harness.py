"""A small deployment of real processes for the review's cases.

Three failure domains, each with one storage instance and two front ends, are
started with the commands of the deploy file. The endpoints are the project's
own stand-ins, the store nearly so, and the links between the domains a small
one. What clients send and get and what endpoints run goes to a record.
"""

import dataclasses
import http.client
import json
import os
import pathlib
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

ROOT = pathlib.Path(__file__).resolve().parents[1]
HELD = 0
BROKEN = 1
NOT_RUN = 2
DOMAINS = ("east", "west", "north")
HOST = "tents.example"
PORT = 18300
# A run also uses the three numbers at which its domains see each other.
_NUMBERS = range(20, 90, 4)
# Second byte of the addresses at which a domain sees the others.
_VIEW = 100
# Traffic starts this long after the machines do, by the sites' sheets.
_LEAD_SECONDS = 12.0
_START_SECONDS = 20.0
# Fields of the settings file of a small deployment, as DEPLOY.md shows it.
_SETTINGS = {
    "region": "alba",
    "limits.cpu_share": "1.0",
    "limits.cores": "1",
    "limits.memory_mb": "180",
    "limits.max_fds": "4100",
    "discovery": "platform",
    "entry": "virtual_ip",
    "heartbeat_ms": "1200",
    "contracts": "base,drain,config,cost,recover,agent,stream,engine,platform",
    "fault_tolerance.machines": "1",
    "fault_tolerance.zones": "1",
    "fault_tolerance.regions": "0",
    "bounds.seed_lag_s": "3",
    "bounds.reuse_after_s": "2",
    "bounds.contact_ms": "3000",
    "bounds.ack_ms": "4000",
    "bounds.catch_up_s": "4.9",
    "bounds.drain_ms": "2000",
    "bounds.grace_s": "8",
    "bounds.loss_slack_ms": "200",
    "bounds.config_apply_ms": "2000",
    "bounds.rollback_slack_ms": "250",
    "bounds.outer_ms": "5000",
    "bounds.recovery_s": "12",
    "bounds.pass_ms": "120",
    "bounds.retry_after_s": "0",
    "bounds.finish_s": "10",
    "bounds.settle_ms": "1000",
    "platform.form": "kv",
    "platform.writes_per_s": "400",
    "platform.reads_per_s": "2000",
    "platform.history_s": "20",
    "platform.value_bytes": "1048576",
    "platform.min_ttl_ms": "1000",
}


class CannotRunError(Exception):
    """The case can't be played here."""


class Record:
    """Writes what happened, with the seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()

    def __call__(self, text: str) -> None:
        """Adds a line."""
        line = f"{time.monotonic() - self.began:8.3f}  {text}"
        print(line, file=self.file, flush=True)


@dataclasses.dataclass
class Answer:
    """An answer; status 0 for a connection that ended without a whole one."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass
class Sent:
    """A request of a client and its answer."""

    id: str
    answer: Answer

    @property
    def is_whole(self) -> bool:
        """Whether the client got a whole success with its signature."""
        signature = self.answer.headers.get("x-response-signature")
        return self.answer.status == 200 and bool(signature)


def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    seconds: float = 10.0,
) -> Answer:
    """Sends a request on a new connection; other bodies are sent as JSON."""
    if body is not None and not isinstance(body, bytes):
        body = json.dumps(body).encode()
    connection = http.client.HTTPConnection(address, timeout=seconds)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        content = response.read()
        found = {k.lower(): v for k, v in response.getheaders()}
        return Answer(response.status, found, content)
    except (OSError, http.client.HTTPException) as error:
        return Answer(0, {}, str(error).encode())
    finally:
        connection.close()


class Deployment:
    """The system, its stand-ins, and clients whose traffic is recorded.

    Args:
        number: Second byte of the addresses.
        record: Gets what happens.
        fronts: Front ends in each domain.
    """

    def __init__(self, number: int, record: Record, fronts: int = 2) -> None:
        self.number = number
        self.record = record
        self.fronts = fronts
        self.store = f"127.{number}.0.1:{PORT}"
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.processes: dict[str, subprocess.Popen] = {}
        self.addresses: dict[str, str] = {}
        self.request_count = 0
        self.version = 0
        text = (ROOT / "deploy" / "system.toml").read_text()
        roles = tomllib.loads(text)["roles"]
        self.commands = {n: r["run"].split(" ") for n, r in roles.items()}

    def __enter__(self) -> Self:
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
        shutil.rmtree(self.folder, ignore_errors=True)

    def _start_all(self) -> None:
        self._stand_in("store", "store", self.store)
        self.until(
            lambda: call(self.store, "GET", "/faults").status == 200,
            "the store answers",
        )
        for domain in DOMAINS:
            self._start_links(domain)
        views = {self._source(d): self._view(d) for d in DOMAINS}
        call(self.store, "POST", "/faults", {"views": views})
        for index in range(len(DOMAINS)):
            self.start_endpoint("llm", index)
            self.start_endpoint("desk", index)
        self.configure()
        for domain in DOMAINS:
            self.start(f"storage-{domain}", first=True)
            for count in range(1, self.fronts + 1):
                self.start(f"front-{domain}-{count}", first=True)
        for name in self.names_of("front"):
            self.until(lambda n=name: self.is_ready(n), f"{name} is ready")
        time.sleep(_LEAD_SECONDS)

    def names_of(self, role: str) -> list[str]:
        """Returns the names of the processes of a role."""
        return [n for n in self.processes if n.startswith(f"{role}-")]

    def until(
        self,
        is_so: Callable[[], bool],
        what: str,
        seconds: float = _START_SECONDS,
    ) -> None:
        """Waits until something is so.

        Raises:
            CannotRunError: It was not in time.
        """
        end = time.monotonic() + seconds
        while not is_so():
            if time.monotonic() > end:
                raise CannotRunError(f"not in time: {what}")
            time.sleep(0.05)

    def ip(self, name: str) -> str:
        """Returns the address of a process of the system."""
        role, domain, *count = name.split("-")
        index = DOMAINS.index(domain) + 1
        place = int(count[0]) if count else 1
        last = (1 if role == "storage" else 100) + place
        return f"127.{self.number}.{index}.{last}"

    def start(self, name: str, first: bool = False) -> None:
        """Starts a process of the system with the command of its role."""
        role, domain, *_ = name.split("-")
        ip = self.ip(name)
        fields = {
            **_SETTINGS,
            "node_name": name,
            "role": role,
            "instance_class": role,
            "serves": role,
            "loss_counted": "true" if role == "storage" else "false",
            "ip": ip,
            "zone": domain,
            "listen_addrs.front": f"{ip}:{PORT}",
            "listen_addrs.ready": f"{ip}:{PORT + 1}",
            "port_range": f"{PORT + 5},{PORT + 9}",
            "platform.address": self._seen(domain, self.store),
            "bootstrap": "true" if first else "false",
        }
        fields |= {f"zones.{each}": "alba" for each in DOMAINS}
        if role == "storage":
            fields["data_dir"] = str(self.disk(name))
        file = self.folder / f"{name}.conf"
        file.write_text("".join(f"{k}={v}\n" for k, v in fields.items()))
        self.record(f"{name} starts: {' '.join(self.commands[role])}")
        # As DEPLOY.md says: hardly any variable of the caller's.
        env = {k: os.environ[k] for k in ("PATH", "HOME") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["RATTANMILL_NODE_FILE"] = str(file)
        self._start(name, self.commands[role], env)

    def _start(
        self, name: str, command: list[str], env: dict[str, str]
    ) -> None:
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                command,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
                cwd=ROOT,
                env=env,
            )

    def _stand_in(self, name: str, module: str, *arguments: str) -> None:
        command = [sys.executable, "-m", module, *arguments]
        self._start(name, command, dict(os.environ))

    def disk(self, name: str) -> pathlib.Path:
        """Returns the data folder of a storage instance."""
        return self.folder / "data" / name

    def is_ready(self, name: str) -> bool:
        """Whether a front end reports that it is ready."""
        address = f"{self.ip(name)}:{PORT + 1}"
        return call(address, "GET", "/v1/readiness", seconds=1).status == 200

    def start_endpoint(self, service: str, index: int) -> None:
        """Starts an endpoint and registers it."""
        name = f"{service}-{index}"
        last = 30 + (service == "desk")
        address = f"127.{self.number}.{index + 1}.{last}:{PORT}"
        self.addresses[name] = address
        self._stand_in(
            name, "standins.siterunner", address, name, str(self._runs(name))
        )
        self.until(
            lambda: call(address, "POST", "/control", b"{}").status == 200,
            f"{name} answers",
        )
        entry = {
            "service": service,
            "address": address,
            "zone": DOMAINS[index],
            "version": "v1",
            "slots": 4,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1,
        }
        self.put(f"servers/{name}", json.dumps(entry).encode())

    def _runs(self, name: str) -> pathlib.Path:
        return self.folder / f"{name}.requests"

    def configure(self) -> None:
        """Writes the next configuration."""
        self.version += 3
        common = {"host": HOST, "target_latency_ms": 200}
        stream = {
            **common,
            "kind": "stream",
            "timeout_ms": 4000,
            "max_attempts": 1,
            "service": "llm",
            "retention_s": 60.0,
            "target_gap_ms": 250,
        }
        desk = {**common, "timeout_ms": 5000, "service": "desk"}
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
            {
                **desk,
                "name": "seek",
                "prefix": "/seek/",
                "kind": "idempotent",
                "max_attempts": 2,
            },
            {
                **desk,
                "name": "pay",
                "prefix": "/pay/",
                "kind": "non_idempotent",
                "max_attempts": 1,
            },
        ]
        engine = {"slots": 4, "kv_capacity": 90000, "tokens_per_event": 10}
        config = {
            "version": self.version,
            "routes": routes,
            "services": [{"name": "llm", "engine": engine}, {"name": "desk"}],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
        }
        self.put("op/config", json.dumps(config).encode())

    def put(self, key: str, value: bytes) -> None:
        """Writes a key of the store, as its operator or an endpoint does."""
        path = f"/put?key={urllib.parse.quote(key, safe='')}"
        if call(self.store, "PUT", path, value).status != 200:
            raise CannotRunError(f"the store does not take {key}")

    def send(
        self,
        front: str,
        path: str,
        body: bytes,
        headers: dict[str, str],
    ) -> Sent:
        """Sends a client's request through a front end."""
        self.request_count += 1
        request_id = f"{self.number:04x}{self.request_count:012x}"
        fields = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "4000",
            "X-Model": "m",
            **headers,
        }
        address = f"{self.ip(front)}:{PORT}"
        answer = call(address, "POST", path, body, fields)
        after = headers.get("X-Previous-Turn")
        status = answer.status or "no whole answer"
        shown = answer.body if answer.status != 200 else b""
        self.record(
            f"{request_id} POST {path} {len(body)} bytes to {front}"
            f" of {headers.get('X-Program-Id')}"
            f"{' after ' + after if after else ''}: {status}"
            f" {answer.headers.get('x-response-signature', 'unsigned')}"
            f" {len(answer.body)} bytes {shown[:160].decode(errors='replace')}"
        )
        return Sent(request_id, answer)

    def cut(self, domain: str, is_cut: bool) -> None:
        """Cuts a domain off from the others and the store, or heals that.

        Connections across the cut are reset, and new ones are, too.
        """
        self.record(f"zone {domain} is {'cut off' if is_cut else 'back'}")
        for other in DOMAINS:
            to = "127." if other == domain else self._net(domain)
            self._set_cut(other, to if is_cut else "")

    def _set_cut(self, domain: str, to: str) -> None:
        host, _, port = self._control(domain).rpartition(":")
        with socket.create_connection((host, int(port)), timeout=5) as control:
            control.sendall(f"{to}\n".encode())
            if control.recv(100) != f"{to}\n".encode():
                raise CannotRunError(f"the links of {domain} do not answer")

    def kill(self, name: str) -> None:
        """Kills a process."""
        self.record(f"{name} is killed")
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].wait()

    def lose_disk(self, name: str) -> None:
        """Kills a storage instance and empties its disk."""
        self.kill(name)
        self.record(f"the disk of {name} is lost")
        shutil.rmtree(self.disk(name))

    def runs(self) -> list[dict[str, Any]]:
        """Returns what the endpoints have run."""
        found = []
        for name in self.addresses:
            file = self._runs(name)
            if file.exists():
                lines = file.read_text().splitlines()
                found += [json.loads(line) for line in lines]
        return found

    def show_runs(self) -> None:
        """Records what the endpoints have run."""
        for seen in self.runs():
            self.record(
                f"run by {seen['runner']}:"
                f" {seen['headers'].get('x-request-id')}"
                f" {seen['method']} {seen['target']} {len(seen['body'])} bytes"
            )

    def _start_links(self, domain: str) -> None:
        targets = [self.store]
        for index, other in enumerate(DOMAINS):
            if other != domain:
                for name in (f"storage-{other}", f"storage-{other}-2"):
                    targets.append(f"{self.ip(name)}:{PORT + 5}")
                net = f"127.{self.number}.{index + 1}"
                targets += [f"{net}.{last}:{PORT}" for last in (30, 31)]
        command = [sys.executable, str(ROOT / "review" / "links.py")]
        command += [self._control(domain), self._source(domain)]
        command += [f"{self._seen(domain, t)}={t}" for t in targets]
        self._start(f"links-{domain}", command, dict(os.environ))
        self.until(lambda: self._do_links_answer(domain), "the links answer")

    def _do_links_answer(self, domain: str) -> bool:
        try:
            self._set_cut(domain, "")
        except OSError:
            return False
        return True

    def _net(self, domain: str) -> str:
        return f"127.{self.number}.{DOMAINS.index(domain) + 1}."

    def _control(self, domain: str) -> str:
        return f"{self._source(domain)}:{PORT + 2}"

    def _source(self, domain: str) -> str:
        return f"127.{self._second(domain)}.0.9"

    def _second(self, domain: str) -> int:
        return self.number + _VIEW + DOMAINS.index(domain)

    def _view(self, domain: str) -> dict[str, str]:
        others = [other for other in DOMAINS if other != domain]
        return {
            self._net(other): self._seen(domain, self._net(other))
            for other in others
        }

    def _seen(self, domain: str, address: str) -> str:
        """Returns an address, or its beginning, behind a domain's link."""
        return address.replace(
            f"127.{self.number}.", f"127.{self._second(domain)}.", 1
        )


Case = Callable[[Deployment, Record, bool], bool]


def _play(case: Case, record: Record) -> int:
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble: {'yes' if trouble else 'no'}")
    for number in _NUMBERS:
        claim = socket.socket()
        try:
            claim.bind((f"127.{number}.255.254", PORT))
        except OSError:
            # Another run uses these addresses.
            claim.close()
            continue
        with claim, Deployment(number, record) as site:
            try:
                is_held = case(site, record, trouble)
            finally:
                site.show_runs()
        return HELD if is_held else BROKEN
    raise CannotRunError("no free addresses")


def main(case: Case, file: str) -> None:
    """Plays a case and ends the process with the exit code of the outcome.

    Args:
        case: Returns whether the rule held; told whether to make trouble.
        file: Script of the case, beside which the record goes.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record = Record(pathlib.Path(file).parent / "record.txt")
    try:
        code = _play(case, record)
    except Exception as error:
        # The exit code of an unexpected error must not look like a broken rule.
        record(f"could not run: {type(error).__name__}: {error}")
        code = NOT_RUN
    else:
        record("the rule held" if code == HELD else "the rule was broken")
    sys.exit(code)
