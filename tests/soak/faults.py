"""Carries a plan out."""

import asyncio
import contextlib
import os
import signal
import subprocess
from collections.abc import Iterator

from soak.plan import Fault, Kind
from soak.system import SoakSite
from standins.links import LinkFault
from support.site import DOMAINS

# The platform kills what has not ended by itself after this.
_GRACE_SECONDS = 8.0
_RESTART_SECONDS = 0.2


class Faults:
    """Does to a system what a plan says.

    Attributes:
        busy: Processes that a fault has now; another one leaves them alone.
    """

    def __init__(self, system: SoakSite) -> None:
        self.system = system
        self.busy: set[str] = set()
        self.store_faults: dict[str, int] = {}

    async def carry_out(self, plan: list[Fault]) -> None:
        """Returns when all faults have ended."""
        async with asyncio.TaskGroup() as group:
            for fault in plan:
                group.create_task(self._at_its_time(fault))

    async def _at_its_time(self, fault: Fault) -> None:
        await asyncio.sleep(fault.at)
        await _DOERS[fault.kind](self, fault)

    @contextlib.contextmanager
    def _holding(self, *names: str) -> Iterator[list[str]]:
        """Yields those of the processes that no other fault has."""
        free = [name for name in names if name not in self.busy]
        self.busy.update(free)
        try:
            yield free
        finally:
            self.busy.difference_update(free)

    async def end(self, fault: Fault) -> None:
        """Ends a process, at once or as planned, and starts it again."""
        with self._holding(fault.target) as names:
            for name in names:
                await self._stop(name, fault.kind is Kind.TERMINATE)
                await asyncio.sleep(fault.seconds)
                self._start(name)

    async def wipe(self, fault: Fault) -> None:
        """Ends a storage instance, which comes back with an empty disk."""
        with self._holding(fault.target) as names:
            for name in names:
                await self._stop(name, False)
                self.system.disk(name).lose_data()
                await asyncio.sleep(fault.seconds)
                self._start(name)

    async def power(self, fault: Fault) -> None:
        """Ends all processes at once, without power for their disks.

        One of these may be lost at that moment.
        """
        every = [n for n in self.system.processes if n in self.system.expected]
        with self._holding(*every) as names:
            for name in names:
                await self._stop(name, False)
            for name in names:
                self._lose_power(name, is_lost=name == fault.target)
            await asyncio.sleep(_RESTART_SECONDS)
            for name in names:
                self._start(name)

    async def power_of_one(self, fault: Fault) -> None:
        """Lets a storage instance be without power for a while."""
        with self._holding(fault.target) as names:
            for name in names:
                await self._stop(name, False)
                self._lose_power(name, is_lost=False)
                await asyncio.sleep(fault.seconds)
                self._start(name)

    def _lose_power(self, name: str, is_lost: bool) -> None:
        """Leaves of a process's disk, if it has one, what was synced."""
        role, *_ = self.system.place(name)
        if role != "storage":
            return
        if is_lost:
            self.system.disk(name).lose_data()
        else:
            self.system.disk(name).lose_power()

    async def freeze(self, fault: Fault) -> None:
        """Stops a process for a while, as a stalled machine would."""
        with self._holding(fault.target) as names:
            for name in names:
                self.system.processes[name].pause()
                await asyncio.sleep(fault.seconds)
                self.system.processes[name].resume()

    async def hang_up(self, fault: Fault) -> None:
        """Tells a process that its settings may have changed."""
        with self._holding(fault.target) as names:
            for name in names:
                os.kill(self.system.processes[name].pid, signal.SIGHUP)

    async def link(self, fault: Fault) -> None:
        """Harms the links between two domains, as seen from either."""
        ends = (fault.target, fault.other), (fault.other, fault.target)
        for number, (domain, other) in enumerate(ends):
            self._set_link(fault, domain, other, number, True)
        await asyncio.sleep(fault.seconds)
        for number, (domain, other) in enumerate(ends):
            self._set_link(fault, domain, other, number, False)

    def _set_link(
        self, fault: Fault, domain: str, other: str, end: int, present: bool
    ) -> None:
        """One way of a cut is forth at one end and back at the other."""
        to = self.system.net(other)
        if fault.kind is Kind.RESET:
            self.system.reset_links(domain, to)
            return
        is_forth = fault.kind is (Kind.CUT_FORTH, Kind.CUT_BACK)[end]
        harm = LinkFault(
            to,
            forth=fault.kind is Kind.CUT or is_forth,
            back=fault.kind is Kind.CUT or _is_back(fault.kind, end),
            delay_seconds=0.05 if fault.kind is Kind.DELAY else 0.0,
        )
        self.system.set_link(domain, harm, present)

    async def cut_and_wipe(self, fault: Fault) -> None:
        """Cuts off a storage instance's domain, and lets it lose its disk.

        What is held back during the cut is lost at its end, so that nothing of
        the disk reaches others.
        """
        _, domain, _ = self.system.place(fault.target)
        with self._holding(fault.target) as names:
            if not names:
                return
            self._set_cut(domain, True)
            await asyncio.sleep(fault.seconds / 2)
            await self._stop(fault.target, False)
            self.system.disk(fault.target).lose_data()
            await asyncio.sleep(fault.seconds / 2)
            self._set_cut(domain, False)
            self._start(fault.target)

    def _set_cut(self, domain: str, present: bool) -> None:
        """Cuts a domain off from all others and the store, or heals that."""
        others = [other for other in DOMAINS if other != domain]
        ways = [(other, self.system.net(domain)) for other in others]
        ways += [(domain, self.system.net(other)) for other in others]
        ways.append((domain, self.system.store_address))
        for end, to in ways:
            if not present:
                self.system.reset_links(end, to)
            harm = LinkFault(to, forth=True, back=True)
            self.system.set_link(end, harm, present)

    async def store_cut(self, fault: Fault) -> None:
        """Cuts a failure domain off from the store."""
        harm = LinkFault(self.system.store_address, forth=True, back=True)
        self.system.set_link(fault.target, harm, True)
        await asyncio.sleep(fault.seconds)
        self.system.set_link(fault.target, harm, False)

    async def store(self, fault: Fault) -> None:
        """Lets the store be down, or not answer, for a while."""
        name = "down" if fault.kind is Kind.STORE_DOWN else "silent"
        self._count_store(name, 1)
        await asyncio.sleep(fault.seconds)
        self._count_store(name, -1)

    def _count_store(self, name: str, change: int) -> None:
        count = self.store_faults.get(name, 0) + change
        self.store_faults[name] = count
        self.system.faults(**{name: count > 0})

    async def store_loses(self, fault: Fault) -> None:
        """Lets writes of the store take effect without an answer."""
        self.system.faults(lose_answers=3)

    async def store_forgets(self, fault: Fault) -> None:
        """Lets the store forget its history."""
        self.system.store.request("POST", "/compact", {})

    async def watches_silent(self, fault: Fault) -> None:
        """Lets the watches that wait now go silent for good."""
        self.system.store.request("POST", "/silence", {})

    async def runner_end(self, fault: Fault) -> None:
        """Crashes a runner, which comes back later."""
        with self._holding(fault.target) as names:
            for name in names:
                service, _, index = name.partition("-")
                self.system.processes[name].kill()
                self.system.remove(f"servers/{name}")
                await asyncio.sleep(fault.seconds)
                await asyncio.to_thread(
                    self.system.start_endpoint, service, int(index)
                )

    async def runner_fault(self, fault: Fault) -> None:
        """Lets a runner break off, reject or garble its next request."""
        with self._holding(fault.target) as names:
            for name in names:
                await asyncio.to_thread(
                    self.system.control_endpoint, name, fault.other
                )

    async def runner_share(self, fault: Fault) -> None:
        """Lets a runner spoil a share of its answers for a while."""
        with self._holding(fault.target) as names:
            for name in names:
                await asyncio.to_thread(
                    self.system.spoil_endpoint,
                    name,
                    fault.faults,
                    fault.share,
                    fault.seconds,
                )
        await asyncio.sleep(fault.seconds)

    async def configure(self, fault: Fault) -> None:
        """Writes the next configuration."""
        await asyncio.to_thread(self.system.configure)

    async def _stop(self, name: str, gently: bool) -> None:
        process = self.system.stop(name)
        if gently:
            process.terminate()
            with contextlib.suppress(subprocess.TimeoutExpired):
                await asyncio.to_thread(process.wait, _GRACE_SECONDS)
        process.kill()

    def _start(self, name: str) -> None:
        role, domain, number = self.system.place(name)
        self.system.start(role, domain, number=number)


def _is_back(kind: Kind, end: int) -> bool:
    return kind is (Kind.CUT_BACK, Kind.CUT_FORTH)[end]


_DOERS = {
    Kind.KILL: Faults.end,
    Kind.TERMINATE: Faults.end,
    Kind.FREEZE: Faults.freeze,
    Kind.HANG_UP: Faults.hang_up,
    Kind.WIPE: Faults.wipe,
    Kind.POWER: Faults.power,
    Kind.CUT: Faults.link,
    Kind.CUT_FORTH: Faults.link,
    Kind.CUT_BACK: Faults.link,
    Kind.DELAY: Faults.link,
    Kind.RESET: Faults.link,
    Kind.STORE_CUT: Faults.store_cut,
    Kind.STORE_DOWN: Faults.store,
    Kind.STORE_SILENT: Faults.store,
    Kind.STORE_LOSES: Faults.store_loses,
    Kind.STORE_FORGETS: Faults.store_forgets,
    Kind.WATCHES_SILENT: Faults.watches_silent,
    Kind.RUNNER_KILL: Faults.runner_end,
    Kind.RUNNER_FREEZE: Faults.freeze,
    Kind.RUNNER_FAULT: Faults.runner_fault,
    Kind.CONFIGURE: Faults.configure,
    Kind.RUNNER_SHARE: Faults.runner_share,
    Kind.CUT_AND_WIPE: Faults.cut_and_wipe,
    Kind.POWER_AND_WIPE: Faults.power,
    Kind.POWER_OF_ONE: Faults.power_of_one,
}
