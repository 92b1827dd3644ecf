"""The system under soak: every way between failure domains is a link."""

import json
import pathlib

import msgspec

from soak.plan import Scale
from standins.links import LinkFault
from support.client import Client
from support.power_site import PowerSite
from support.process import Process
from support.site import DOMAINS, PORT, SiteProcess, process_name
from support.waiting import wait_until

# Second byte of the addresses at which a domain sees the others.
_VIEW = 100


class SoakSite(PowerSite):
    """A system whose domains reach each other and the store by links.

    Attributes:
        scale: How many processes it has.
        expected: Processes that are to run now, by name.
        links: Faults of each domain's links.
    """

    def __init__(self, number: int, scale: Scale) -> None:
        super().__init__(number)
        self.scale = scale
        self.expected: set[str] = set()
        self.links: dict[str, list[LinkFault]] = {d: [] for d in DOMAINS}

    def _start_network(self) -> None:
        for domain in DOMAINS:
            self._start_links(domain)
        self.faults(views={self._source(d): self._view(d) for d in DOMAINS})

    def places(self) -> list[tuple[str, str, int]]:
        """Returns role, failure domain and number of each process."""
        counts = {"storage": self.scale.keepers, "front": self.scale.fronts}
        return [
            (role, domain, number)
            for role, count in counts.items()
            for domain in DOMAINS
            for number in range(1, count + 1)
        ]

    def place(self, name: str) -> tuple[str, str, int]:
        """Returns role, failure domain and number of a process."""
        return next(p for p in self.places() if process_name(*p) == name)

    def start(
        self, role: str, domain: str, first: bool = False, number: int = 1
    ) -> None:
        """Starts, or starts again, a process that is to run from now on."""
        super().start(role, domain, first, number)
        self.expected.add(process_name(role, domain, number))

    def stop(self, name: str) -> SiteProcess:
        """Returns a process that is about to be ended from outside."""
        self.expected.discard(name)
        return self.processes[name]

    def ended(self) -> list[str]:
        """Returns processes that have ended though nobody told them to."""
        return [n for n in self.expected if not self.processes[n].alive]

    def store_address_for(self, domain: str) -> str:
        """Returns the store's address behind a domain's link."""
        return self._seen(domain, self.store_address)

    def set_link(self, domain: str, fault: LinkFault, present: bool) -> None:
        """Adds a fault of a domain's links, or takes it away."""
        faults = self.links[domain]
        if present:
            faults.append(fault)
        elif fault in faults:
            faults.remove(fault)
        shown = [msgspec.to_builtins(each) for each in faults]
        self._links(domain).faults(links=shown)

    def reset_links(self, domain: str, to: str) -> None:
        """Resets the open connections of a domain to targets."""
        body = json.dumps({"to": to}).encode()
        self._links(domain).request("POST", "/reset", body)

    def net(self, domain: str) -> str:
        """Returns what the addresses of a domain begin with."""
        return f"127.{self.number}.{DOMAINS.index(domain) + 1}."

    def heal(self) -> None:
        """Ends all faults of links, store and runners."""
        for domain in DOMAINS:
            self.links[domain].clear()
            self._links(domain).faults(links=[])
        self.faults(down=False, silent=False, lose_answers=0)
        for name in self.runner_names():
            self.control_endpoint(name, "clear")

    def runner_names(self) -> list[str]:
        """Returns the names of all runners."""
        return [f"{s}-{i}" for s in ("llm", "desk") for i in range(3)]

    def requests_of(self, name: str) -> list[dict]:
        """Returns what a runner has seen, over its restarts."""
        file = pathlib.Path(self.endpoint_log_file(name))
        if not file.exists():
            return []
        return [json.loads(line) for line in file.read_text().splitlines()]

    def endpoint_log_file(self, name: str) -> str:
        """Returns the file of what a runner has seen."""
        return f"{self.folder.name}/{name}.requests"

    def _links(self, domain: str) -> Client:
        return Client(self._control(domain))

    def _control(self, domain: str) -> str:
        return f"{self._source(domain)}:{PORT + 2}"

    def _source(self, domain: str) -> str:
        """Returns the address from which a domain's links connect."""
        return f"127.{self._second(domain)}.0.9"

    def _second(self, domain: str) -> int:
        return self.number + _VIEW + DOMAINS.index(domain)

    def _view(self, domain: str) -> dict[str, str]:
        return {
            self.net(other): self._seen(domain, self.net(other))
            for other in DOMAINS
            if other != domain
        }

    def _seen(self, domain: str, address: str) -> str:
        """Returns an address, or its beginning, behind a domain's link."""
        return address.replace(
            f"127.{self.number}.", f"127.{self._second(domain)}.", 1
        )

    def _start_links(self, domain: str) -> None:
        targets = [self.store_address] + [
            address
            for other in DOMAINS
            if other != domain
            for address in self._targets(other)
        ]
        routes = [f"{self._seen(domain, t)}={t}" for t in targets]
        self._start(
            Process(
                f"links-{domain}",
                [
                    "standins.links",
                    self._control(domain),
                    self._source(domain),
                    *routes,
                ],
                self.folder.name,
            )
        )
        wait_until(
            lambda: self._links(domain).request("GET", "/stats").status == 200,
            "the links answer",
        )

    def _targets(self, domain: str) -> list[str]:
        index = DOMAINS.index(domain)
        numbers = range(1, self.scale.keepers + 1)
        return [
            *(self.storage_address(domain, number) for number in numbers),
            *(self.endpoint_address(s, index) for s in ("llm", "desk")),
        ]
