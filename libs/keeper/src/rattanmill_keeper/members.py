"""The storage instances, as the platform's store lists them."""

import asyncio
import collections
import contextlib
import hashlib
import itertools
import random
import uuid
from collections.abc import Callable, Iterable
from typing import Self

import msgspec

from rattanmill_core import (
    boot_seconds,
    log_event,
    loop_seconds,
    start_loop,
    wall_seconds,
    warn_event,
)
from rattanmill_keeper.messages import codec
from rattanmill_platform import (
    Found,
    KeyValue,
    Missing,
    PrefixWatch,
    Unavailable,
)
from rattanmill_wire import RequestLink

PREFIX = "rattanmill/keepers/"
# Long against the store's usual outages of seconds, so that these lose no
# registration; short against the time in which a lost disk must be replaced.
_LEASE_SECONDS = 10.0
_RENEW_SECONDS = 2.5
_WAIT_SECONDS = 10.0
# A member that was not seen for so long is no longer counted when an account
# is opened. One that was cut off opens none after half of it, see ``homes``.
ROSTER_EXPIRY_SECONDS = 3600.0
# Whoever was lost longer ago held no turn that is still kept; twice the
# retention in use.
TURN_HOLDER_SECONDS = 120.0
# A member whose registration has lapsed for so long is not counted any more,
# see ``Members.roster``. By then it has stopped to grant alone, which it does
# only for ``CONFIRMED_SECONDS`` after its last renewal: a lease less, so that
# neither a slow answer of the store nor clocks that run apart matter.
_LAPSED_SECONDS = 10.0
LEASE_VALID_SECONDS = 8.0
# Without the store nobody can tell whether it has come back meanwhile.
_HEARD_SECONDS = 12.0
# Disks that may be lost at once where nothing else is said.
_LOST_DISKS = 1
# An entry that is missing after an outage of the store may only have lapsed
# meanwhile: its holder registers again within about two renewals.
REGISTRATION_GRACE_SECONDS = 6.0
# A slow store answers in 0.2 s; a caller waits meanwhile.
_CATCH_UP_SECONDS = 0.3
# A watch tells of a change within milliseconds if it tells of it at all.
_LATE_SECONDS = 0.1
# A store that did not answer is not asked again sooner.
_SILENT_SECONDS = 0.5
# Others are asked for something each half second.
_THERE_SECONDS = 1.0


class Member(msgspec.Struct, frozen=True):
    """A storage instance as it registers itself.

    Attributes:
        name: Name.
        domain: Failure domain.
        address: ``IP:PORT`` for requests of other instances.
        run: Id of the process's run.
        leaving: Whether it is being emptied and takes nothing new.
        emptied: Whether all that it holds lies elsewhere.
    """

    name: str
    domain: str
    address: str
    run: str
    leaving: bool = False
    emptied: bool = False


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Orders names by highest random weight for a key.

    Every instance comes to the same order without asking anybody, and a name
    that comes or goes moves only its own share of the keys.
    """
    return sorted(
        names,
        key=lambda name: hashlib.blake2b(
            f"{key}/{name}".encode(), digest_size=8
        ).digest(),
    )


def _by_domain(key: str, members: list[Member]) -> dict[str, list[Member]]:
    places = {
        n: at for at, n in enumerate(rank(key, [m.name for m in members]))
    }
    found: dict[str, list[Member]] = {member.domain: [] for member in members}
    for member in sorted(members, key=lambda m: places[m.name]):
        found[member.domain].append(member)
    return found


class Members:
    """Storage instances known here, and a link to each.

    Attributes:
        known: Members by name.
        key: Orders members, for each process in another way.
        lost_disks: Disks that may be lost at once.
        lost_at: Loop time at which a member was last removed that had not
            been emptied, by name.
        emptied: Members that were emptied and are gone.
        first_runs: First run of each member that nobody had heard of before.
        unregistered: Members that answer though their registration is gone.
        seen: Seconds since 1970 at which each member was last known of.
        recalled: Loop time until which members count that there were before
            this process started, by name.
        late: Waits for a change that others have heard of.
        reading: Held while the store is read, by one at a time.
        readings: Readings begun so far.
        ended_reading: Number of the newest reading that has ended.
        is_level: Whether the store answered then.

    Args:
        kv: The platform's store.
        on_change: Called after each change.
        store: The store itself, where ``kv`` may answer through others.
    """

    def __init__(
        self,
        kv: KeyValue,
        on_change: Callable[[], None] = lambda: None,
        store: KeyValue | None = None,
    ) -> None:
        self.kv = kv
        self.store = store or kv
        self.on_change = on_change
        self.tolerated_disk_losses = _LOST_DISKS
        self.known: dict[str, Member] = {}
        self.rank_key = uuid.uuid4().hex
        self.ordered: list[Member] = []
        self.by_domain: dict[str, list[Member]] = {}
        self.lost_at: dict[str, float] = {}
        self.decommissioned: set[str] = set()
        self.first_runs: dict[str, str] = {}
        self.last_seen: dict[str, float] = {}
        self.recalled: dict[str, float] = {}
        self.links: dict[str, RequestLink] = {}
        self.codec = codec()
        self.watch = PrefixWatch(
            kv,
            PREFIX,
            _WAIT_SECONDS,
            self._on_written,
            self._on_removed,
            REGISTRATION_GRACE_SECONDS,
        )
        self.unregistered: set[str] = set()
        self.late: asyncio.Task | None = None
        self.reading = asyncio.Lock()
        self.readings = 0
        self.ended_reading = 0
        self.is_level = False

    @property
    def synced(self) -> bool:
        """Whether the store was heard at least once."""
        return self.watch.synced

    def roster(self) -> set[str]:
        """Returns all members that may still open accounts.

        One that is no longer listed may only be cut off. If it opens an
        account it needs all but one of those that it knows and of those that
        these know, so also all but one of the members here; two such sets
        share one that refuses the second. So one that is away for long need
        not be counted: a machine that was replaced would keep new programs
        waiting for as long as another one is away. Not more than one: with
        several out of sight nothing says that they reach any of these. One
        that was emptied has told the others all that it agreed to.
        """
        now = wall_seconds()
        self.last_seen.update(dict.fromkeys(self.known, now))
        oldest = now - ROSTER_EXPIRY_SECONDS
        left_out = self.decommissioned | self._lapsed()
        return {
            name
            for name, at in self.last_seen.items()
            if at > oldest and (name in self.known or name not in left_out)
        }

    def _lapsed(self) -> set[str]:
        """Returns the one member that was lost first, if long enough ago."""
        now = loop_seconds()
        if self.store_silence_seconds() > _HEARD_SECONDS or not self.lost_at:
            return set()
        first = min(self.lost_at, key=self.lost_at.__getitem__)
        is_long = now - self.lost_at[first] > _LAPSED_SECONDS
        return {first} if is_long else set()

    def restore_seen(self, seen: dict[str, float]) -> None:
        """Takes what was written down before this process started.

        That is done when somebody comes or goes, perhaps hours ago: all that
        were there may have been until just now.
        """
        newest = max(seen.values(), default=0.0)
        self.last_seen.update(seen)
        until = loop_seconds() + TURN_HOLDER_SECONDS
        self.recalled = {
            name: until
            for name, at in seen.items()
            if at > newest - TURN_HOLDER_SECONDS
        }

    def record_seen(self, name: str, run: str) -> None:
        """Notes that a member is there, and whether it is new."""
        if name not in self.last_seen:
            self.first_runs[name] = run
        self.last_seen[name] = wall_seconds()

    def is_first_run(self, name: str, run: str) -> bool:
        """Whether a member is in its first run, with a disk that was empty."""
        return self.first_runs.get(name) == run

    def unlisted(self) -> list[str]:
        """Returns members that may hold turns though nobody lists them."""
        oldest = wall_seconds() - TURN_HOLDER_SECONDS
        now = loop_seconds()
        late = {name for name, at in self.last_seen.items() if at > oldest}
        late |= {name for name, at in self.recalled.items() if at > now}
        return sorted(late - self.known.keys() - self.decommissioned)

    def is_listed(self, key: str, value: bytes) -> bool:
        """Whether the store lists a registration just so, as last heard."""
        is_heard = self.watch.synced and self.watch.away_since is None
        return is_heard and self.watch.values.get(key) == value

    @property
    def changed_revision(self) -> int:
        """Revision of the newest change of the list that was heard of."""
        return self.watch.changed

    def store_silence_seconds(self) -> float:
        """Returns the seconds since the store was last heard."""
        return loop_seconds() - self.watch.heard_at

    async def catch_up(self) -> bool:
        """Takes in who is registered by now; False if the store is silent.

        Those who ask while the store is being read share the next reading, so
        that it is asked once at a time however many are in doubt.
        """
        begun = self.readings
        async with self.reading:
            if self.ended_reading <= begun:
                self.readings += 1
                self.is_level = await self._read_store()
                self.ended_reading = self.readings
            return self.is_level

    def expect_revision(self, revision: int) -> None:
        """Another instance has heard of a change with this revision.

        A watch that has gone silent would tell of it only after its time.
        """
        is_waiting = self.late is not None and not self.late.done()
        if revision > self.watch.revision and not is_waiting:
            self.late = asyncio.create_task(self._wait_for(revision))

    async def _wait_for(self, revision: int) -> None:
        await asyncio.sleep(_LATE_SECONDS)
        if revision > self.watch.revision and not await self.catch_up():
            await asyncio.sleep(_SILENT_SECONDS)

    async def _read_store(self) -> bool:
        before = self.watch.revision
        answers = False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_CATCH_UP_SECONDS):
                answers = await self.watch.catch_up(self.store)
        log_event(
            "keepers_read",
            answers=answers,
            before=before,
            revision=self.watch.revision,
        )
        return answers

    async def __aenter__(self) -> Self:
        await self.watch.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.late:
            self.late.cancel()
        await self.watch.__aexit__()
        for link in self.links.values():
            link.close()

    def ranked(self) -> dict[str, list[Member]]:
        """Returns all members by failure domain, in this process's order.

        They are put in order once a change, and not each time that they are
        asked for.
        """
        there = list(self.known.values())
        if there != self.ordered:
            self.ordered = there
            self.by_domain = _by_domain(self.rank_key, there)
        return self.by_domain

    def writable_domains(self) -> dict[str, list[Member]]:
        """Returns members that take something new, by failure domain."""
        taking = {
            domain: [member for member in there if not member.leaving]
            for domain, there in self.ranked().items()
        }
        return {domain: there for domain, there in taking.items() if there}

    def replicas(self, key: str) -> list[Member]:
        """Returns the member of each failure domain that keeps a key."""
        chosen = []
        for members in self.writable_domains().values():
            by_name = {member.name: member for member in members}
            chosen.append(by_name[rank(key, by_name)[0]])
        return chosen

    def are_others_unresponsive(self, name: str) -> bool:
        """Whether none but ``name`` itself answered when it was last asked."""
        others = [
            member for member in self.known.values() if member.name != name
        ]
        return all(self.link(member).failures for member in others)

    def choose_holders(self, name: str, key: str) -> tuple[str, ...]:
        """Chooses who is to hold an account, in different domains if it can.

        A permission is on the disks of a majority. That majority must be more
        than may be lost at once, and another one must be left then: with one
        lost disk three holders, with two five.

        Args:
            name: The one that opens it, the first of them.
            key: The program.
        """
        mine = self.known.get(name)
        others = {
            member.name: member
            for member in self.known.values()
            if member.name != name and not member.leaving
        }
        ranked = rank(key, others)
        # One that is silent would only leave a majority with nobody to spare.
        ranked.sort(key=lambda other: bool(self.link(others[other]).failures))
        chosen = [name]
        taken = collections.Counter([mine.domain if mine else ""])
        wanted = min(2 * self.tolerated_disk_losses + 1, len(others) + 1)
        for most in itertools.count(1):
            for other in ranked:
                domain = others[other].domain
                if other in chosen or taken[domain] >= most:
                    continue
                if len(chosen) < wanted:
                    chosen.append(other)
                    taken[domain] += 1
            if len(chosen) >= wanted:
                return tuple(chosen)

    def link(self, member: Member) -> RequestLink:
        """Returns the link to a member."""
        link = self.links.get(member.name)
        if link is None or link.address != member.address:
            if link:
                link.close()
            link = RequestLink(member.address, self.codec)
            self.links[member.name] = link
        return link

    def _on_written(self, key: str, value: bytes) -> None:
        try:
            member = msgspec.json.decode(value, type=Member)
        except msgspec.DecodeError as error:
            warn_event("keeper_undecodable", key=key, why=str(error))
            return
        before = self.known.get(member.name)
        self.record_seen(member.name, member.run)
        self.known[member.name] = member
        self.lost_at.pop(member.name, None)
        self.unregistered.discard(member.name)
        if before != member:
            log_event(
                "keeper_seen",
                keeper=member.name,
                domain=member.domain,
                address=member.address,
                leaving=member.leaving,
                revision=self.watch.revision,
            )
        self.on_change()

    def _on_removed(self, key: str) -> None:
        self._drop(key.removeprefix(PREFIX))

    def _drop(self, name: str) -> None:
        """Drops a member whose registration is gone, once it is silent.

        The store may have ended the lease of one that is there: dropped, what
        it holds would be out of reach, and what it could take would not count.
        """
        member = self.known.get(name)
        if member is None or PREFIX + name in self.watch.values:
            return
        if not member.emptied and self.link(member).is_heard(_THERE_SECONDS):
            self._look_again(name)
            return
        del self.known[name]
        self.unregistered.discard(name)
        self.last_seen[name] = wall_seconds()
        # One that was killed or cut off while it was emptied only leaves.
        if member.emptied:
            self.decommissioned.add(name)
        else:
            self.lost_at[name] = loop_seconds()
        log_event(
            "keeper_gone",
            keeper=name,
            leaving=member.leaving,
            emptied=member.emptied,
            revision=self.watch.revision,
        )
        self.on_change()

    def _look_again(self, name: str) -> None:
        if name not in self.unregistered:
            self.unregistered.add(name)
            log_event("keeper_unregistered", keeper=name)
        loop = asyncio.get_running_loop()
        loop.call_later(_THERE_SECONDS, self._drop, name)


class Registration:
    """Keeps this storage instance registered under a lease.

    Attributes:
        lease: The lease, or empty.
        written: The lease under which the entry was last seen in the store.
        is_listed: Whether a watch shows a key with a value just now; saves a
            call to the store with each renewal.
        confirmed_at: When the newest renewal that was answered was asked for.
        on_lapse: Called when the store has ended the registration, before it
            is made anew.

    Args:
        kv: The platform's store.
        member: This instance.
    """

    def __init__(self, kv: KeyValue, member: Member) -> None:
        self.kv = kv
        self.member = member
        self.lease = ""
        self.written = ""
        self.is_listed: Callable[[str, bytes], bool] = lambda key, value: False
        self.confirmed_at = float("-inf")
        self.on_lapse: Callable[[], None] = lambda: None
        self.task: asyncio.Task | None = None
        self.wake = asyncio.Event()

    async def __aenter__(self) -> Self:
        self.task = start_loop("registration", self._keep_up())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.task:
            self.task.cancel()

    @property
    def is_lease_valid(self) -> bool:
        """Whether the lease was renewed so lately that it can't have lapsed.

        By a clock that goes on while the machine is suspended.
        """
        return boot_seconds() - self.confirmed_at < LEASE_VALID_SECONDS

    async def end(self) -> None:
        """Ends the registration at once."""
        if self.task:
            self.task.cancel()
        if self.lease:
            await self.kv.revoke(self.lease)

    def update(self, member: Member) -> None:
        """Registers this instance anew, as it is now."""
        self.member = member
        self.wake.set()

    async def _keep_up(self) -> None:
        while True:
            if self.lease:
                asked_at = boot_seconds()
                renewed = await self.kv.renew(self.lease)
                if renewed is True:
                    self.confirmed_at = asked_at
                if renewed is False:
                    log_event("registration_lapsed", lease=self.lease)
                    self.lease = ""
                    self.on_lapse()
            await self._register()
            self.wake.clear()
            pause = random.uniform(0.8, 1.0) * _RENEW_SECONDS
            if not self.lease:
                pause = random.uniform(0.1, 0.4)
            try:
                async with asyncio.timeout(pause):
                    await self.wake.wait()
            except TimeoutError:
                continue

    async def _register(self) -> None:
        """Writes the entry unless the store holds it as it should be.

        The store may take a key away though its lease goes on.
        """
        if not self.lease:
            asked_at = boot_seconds()
            granted = await self.kv.grant(_LEASE_SECONDS)
            if isinstance(granted, Unavailable):
                return
            self.lease = granted
            self.confirmed_at = asked_at
        key = PREFIX + self.member.name
        value = msgspec.json.encode(self.member)
        if self.lease == self.written and self.is_listed(key, value):
            return
        revision = 0
        match await self.kv.read(key):
            case Unavailable():
                return
            case Missing() if self.written == self.lease:
                self.on_lapse()
            case Found(entry=entry):
                if entry.value == value and entry.lease == self.lease:
                    self.written = self.lease
                    return
                revision = entry.revision
        outcome = await self.kv.write(key, value, revision, self.lease)
        log_event(
            "registered",
            lease=self.lease,
            leaving=self.member.leaving,
            outcome=type(outcome).__name__,
        )
