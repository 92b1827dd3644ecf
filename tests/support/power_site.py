"""A system on the users' platform whose storage instances can lose power."""

import pathlib
import sys

from support import power
from support.power import PowerLossDisk
from support.process import Process
from support.site import DOMAINS, Site, SiteProcess
from support.waiting import wait_until

_DURABLE = "durable"


class PowerSite(Site):
    """A system that can lose power as a whole."""

    def _start(self, process: Process) -> None:
        if process.name.startswith("storage") and isinstance(
            process, SiteProcess
        ):
            disk = self.disk(process.name)
            _, *arguments = process.arguments
            process.arguments = [
                sys.executable,
                power.__file__,
                str(disk.folder),
                str(disk.durable),
                *arguments,
            ]
        super()._start(process)

    def disk(self, name: str) -> PowerLossDisk:
        """Returns the disk of a storage instance."""
        folder = pathlib.Path(self.folder.name)
        return PowerLossDisk(folder / "data" / name, folder / _DURABLE / name)

    def lose_power(self, lost: str) -> None:
        """Ends all processes of the system at once, and restarts them.

        Args:
            lost: Failure domain whose disk is lost.
        """
        names = [f"{r}-{d}" for r in ("storage", "front") for d in DOMAINS]
        for name in names:
            self.processes[name].kill()
        for domain in DOMAINS:
            disk = self.disk(f"storage-{domain}")
            if domain == lost:
                disk.lose_data()
            else:
                disk.lose_power()
        for role, domain, number in self.places():
            self.start(role, domain, number=number)
        for domain in DOMAINS:
            wait_until(lambda d=domain: self.is_ready(d), f"{domain} is ready")
