"""A system on the users' platform whose storage instances can lose power."""

import pathlib
import sys

from support import power
from support.power import PowerLossDisk
from support.process import Process
from support.site import DOMAINS, Site, SiteProcess, process_name
from support.waiting import wait_until


class PowerSite(Site):
    """A system whose disks keep only what was synced once they lose power."""

    def _start(self, process: Process) -> None:
        is_ours = isinstance(process, SiteProcess)
        if is_ours and process.name.startswith("storage"):
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
        return PowerLossDisk(folder / "data" / name, folder / "durable" / name)

    def lose_power(self, lost: str) -> None:
        """Ends all processes of the system at once, and restarts them.

        Args:
            lost: Failure domain whose disk is lost.
        """
        for place in self.places():
            self.processes[process_name(*place)].kill()
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
