"""The storage instances registered in the platform store."""

import asyncio
import collections
import contextlib
import itertools
import uuid
from collections.abc import Callable, Iterable
from typing import Self

import msgspec

from rattanmill_core import (
    DECODE_ERRORS,
    boot_seconds,
    log_event,
    loop_seconds,
    wall_seconds,
    warn_event,
)
from rattanmill_keeper.isolation import Contact, Loss, list_beginners
from rattanmill_keeper.messages import MAX_SHARERS, News, codec
from rattanmill_keeper.replicas import choose_replicas, rank
from rattanmill_platform import (
    KeyValue,
    PrefixWatch,
)
from rattanmill_wire import RequestLink

MEMBERS_PREFIX = "rattanmill/keepers/"
# Long compared with the store's usual outages of seconds, so that these don't
# end a registration; short compared with the time in which a lost disk must be
# replaced.
LEASE_SECONDS = 10.0
MEMBERS_WATCH_SECONDS = 10.0
# A member that was not seen for this long is no longer counted when an account
# is opened. An instance that is partitioned from the store stops opening
# accounts after half of it, see ``homes``.
ROSTER_EXPIRY_SECONDS = 3600.0
# A member that was lost longer ago held no turn that is still retained; twice
# the retention in use.
TURN_HOLDER_SECONDS = 120.0
# A member whose registration expired this long ago is not counted any more, see
# ``Members.roster``. By then it has stopped granting alone, which it does only
# for ``LEASE_VALID_SECONDS`` after its last renewal: a lease less, so that
# neither a slow reply of the store nor clock drift matters.
_LAPSED_SECONDS = 10.0
LEASE_VALID_SECONDS = 8.0
# How long programs go on that an instance has begun alone, from the last moment
# at which the others still counted it.
SHARES_SECONDS = LEASE_SECONDS + TURN_HOLDER_SECONDS
# A member may have granted alone before its successor joined.
MAX_SUCCESSORS = 1
_TWO_DOMAINS = 2
# Sizes from this one on make no difference.
_LARGE = MAX_SHARERS + MAX_SUCCESSORS + 1
# Without the store it is unknown whether the member has registered again.
_MAX_STORE_SILENCE_SECONDS = 12.0
# Disks that may be lost at once unless configured otherwise.
_DEFAULT_DISK_LOSSES = 1
# An entry that is missing after an outage of the store may have expired only
# because of it: its holder registers again within about two renewals.
REGISTRATION_GRACE_SECONDS = 6.0
# A slow store replies in 0.2 s, and a caller is waiting.
_READ_TIMEOUT_SECONDS = 0.3
# A working watch reports a change within milliseconds, or a little later if
# others came just before and it is relayed.
_WATCH_DELAY_SECONDS = 0.25
# A store that did not reply is not read again sooner than this.
_READ_RETRY_SECONDS = 0.5
# Orders the members that read the store for others.
_READERS_KEY = "readers of the store"
# Each member is sent some request every half second.
_RECENT_REPLY_SECONDS = 1.0


class Member(msgspec.Struct, frozen=True):
    """A storage instance as it registers itself.

    Attributes:
        name: Name.
        domain: Failure domain.
        address: ``IP:PORT`` for requests of other instances.
        run: ID of the process's run.
        leaving: Whether it is being decommissioned and accepts no new data.
        emptied: Whether other instances hold all of its data.
        informed: Instances that know accounts that it opened with the store,
            and that others may not know yet.
        succeeded: Decommissioned instances whose accounts it holds in their
            place.
        grants_one_turn: Whether it grants at most one turn alone to a program,
            see ``max_share``. An earlier version grants more.
        tells_grants: Whether it tells what it has granted alone, and records
            what others tell.
        takes_parts: Whether it takes long requests in parts. An earlier version
            takes them whole.
    """

    name: str
    domain: str
    address: str
    run: str
    leaving: bool = False
    emptied: bool = False
    informed: tuple[str, ...] = ()
    succeeded: tuple[str, ...] = ()
    grants_one_turn: bool = False
    tells_grants: bool = False
    takes_parts: bool = False


def may_grant_alone(instances: int) -> bool:
    """Whether an instance of a system of this size may grant tokens alone.

    Not with more than three: several of them may be left out when the others
    agree to an account, and each of these would grant.
    """
    return instances <= MAX_SHARERS


def _by_domain(key: str, members: list[Member]) -> dict[str, list[Member]]:
    places = {
        n: at for at, n in enumerate(rank(key, [m.name for m in members]))
    }
    found: dict[str, list[Member]] = {member.domain: [] for member in members}
    for member in sorted(members, key=lambda m: places[m.name]):
        found[member.domain].append(member)
    return found


def _writable(domains: dict[str, list[Member]]) -> dict[str, list[Member]]:
    """Returns the members that accept new data, by failure domain."""
    writable = {
        domain: [member for member in members if not member.leaving]
        for domain, members in domains.items()
    }
    return {domain: members for domain, members in writable.items() if members}


class Members:
    """The storage instances known here, and a link to each.

    Attributes:
        known: Members by name.
        rank_key: Random key that gives each process its own order of members.
        tolerated_disk_losses: Disks that may be lost at once.
        ranked_members: Members when ``ranked_by_domain`` was computed.
        ranked_by_domain: Members by failure domain, in this process's order.
        readers_by_domain: The same, in an order that all processes share.
        lender_names: Names of the writable members for which ``lender_orders``
            holds.
        lender_orders: Order of these names, by workspace.
        lost_at: Loop time at which each member was last removed that had not
            been decommissioned, by name.
        decommissioned: Members that were decommissioned and removed.
        first_runs: First run of each member that was seen here, by name; empty
            for those that were there before this process started.
        unregistered: Members that reply although their registration is gone.
        last_seen: Unix time in seconds at which each member was last known to
            be there, by name.
        informed_by: ``informed`` of each member as last registered, by name.
        successors: The instance that took over the accounts of each
            decommissioned one, by name. It may have a successor itself.
        contacts: What was last heard of each member, by name.
        one_turn_from: Unix time in seconds from which no program goes on that
            a member granted more than one turn alone, by name; infinite while
            it may grant more, and 0 if it was never seen to.
        share_sizes_from: Unix time in seconds from which no program goes on
            that began before this instance followed the list of members.
        saved_silent: Members of which the disk may hold when they were last
            heard.
        started_at: When this process started, by the boot clock.
        two_domains_at: When members were last in two failure domains at most,
            by the boot clock.
        sized_at: When there were last so many members, by the boot clock.
        restored_until: Loop time until which members count that were there
            before this process started, by name.
        revision_wait: Task that waits until the watch reports a revision that
            another instance has seen.
        read_lock: Held while the store is read, so that one task does so.
        reads_started: Number of reads started so far.
        last_read_ended: Number of the newest read that has ended.
        last_read_succeeded: Whether the store replied to it.

    Args:
        kv: The platform store.
        on_change: Called after each change.
        store: The store itself, if ``kv`` may reply through other instances.
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
        self.tolerated_disk_losses = _DEFAULT_DISK_LOSSES
        self.known: dict[str, Member] = {}
        self.rank_key = uuid.uuid4().hex
        self.ranked_members: list[Member] = []
        self.ranked_by_domain: dict[str, list[Member]] = {}
        self.readers_by_domain: dict[str, list[Member]] = {}
        self.lender_names: list[str] = []
        self.lender_orders: dict[str, list[str]] = {}
        self.lost_at: dict[str, float] = {}
        self.decommissioned: set[str] = set()
        self.first_runs: dict[str, str] = {}
        self.last_seen: dict[str, float] = {}
        self.informed_by: dict[str, tuple[str, ...]] = {}
        self.successors: dict[str, str] = {}
        self.contacts: dict[str, Contact] = {}
        self.saved_silent: set[str] = set()
        self.one_turn_from: dict[str, float] = {}
        self.share_sizes_from = wall_seconds() + SHARES_SECONDS
        self.started_at = boot_seconds()
        self.two_domains_at = float("-inf")
        self.sized_at: dict[int, float] = {}
        self.restored_until: dict[str, float] = {}
        self.links: dict[str, RequestLink] = {}
        self.codec = codec()
        self.watch = PrefixWatch(
            kv,
            MEMBERS_PREFIX,
            MEMBERS_WATCH_SECONDS,
            self._on_written,
            self._on_removed,
            REGISTRATION_GRACE_SECONDS,
        )
        self.unregistered: set[str] = set()
        self.revision_wait: asyncio.Task | None = None
        self.read_lock = asyncio.Lock()
        self.reads_started = 0
        self.last_read_ended = 0
        self.last_read_succeeded = False

    @property
    def synced(self) -> bool:
        """Whether the store has replied at least once."""
        return self.watch.synced

    def roster(self) -> set[str]:
        """Returns all members that may still open accounts.

        A member that is no longer registered may only be partitioned. To open
        an account it needs the consent of all but one of the members that it
        and they know, hence also of all but one of the members here; two such
        sets share a member that refuses the second request. So one member that
        has been absent for long need not be counted: otherwise a machine that
        was replaced would block new programs for as long as another one is
        absent. At most one member is left out: if several are out of contact,
        nothing shows that they reach any of the members here. A member that
        was decommissioned has reported everything that it agreed to.
        """
        now = wall_seconds()
        self.last_seen.update(dict.fromkeys(self.known, now))
        oldest = now - ROSTER_EXPIRY_SECONDS
        left_out = self.decommissioned | self._lapsed()
        counted = {
            name
            for name, at in self.last_seen.items()
            if at > oldest and (name in self.known or name not in left_out)
        }
        self._record_size(len(counted))
        return counted

    def _record_size(self, members: int) -> None:
        """Records how many members there are.

        When the whole system starts, the first members see the others only a
        little later. None of them grants alone until then.
        """
        now = boot_seconds()
        if now - self.started_at > LEASE_SECONDS:
            self.sized_at[min(members, _LARGE)] = now
            if len(self._domains()) <= _TWO_DOMAINS:
                self.two_domains_at = now

    def _domains(self) -> set[str]:
        """Returns the failure domains of members that were there lately."""
        lost = [self.contacts.get(name) for name in self.unlisted()]
        return {
            *(member.domain for member in self.known.values()),
            *(c.domain for c in lost if c is not None and c.domain),
        }

    def min_size(self) -> int:
        """Returns the least number of members while shares may be in use.

        An instance that is partitioned may not know yet that others have joined
        the system, and may have granted alone before they did. Systems larger
        than those that matter count as of one size.
        """
        oldest = boot_seconds() - SHARES_SECONDS
        recent = [size for size, at in self.sized_at.items() if at > oldest]
        return min([*recent, len(self.roster())])

    def max_beginners(self) -> int:
        """Returns how many that are unreachable may have granted alone."""
        size = self.min_size()
        if may_grant_alone(size):
            return MAX_SHARERS
        # An instance that counts one of four as gone; no two count each other
        # as gone while both have a lease.
        return 1 if may_grant_alone(size - MAX_SUCCESSORS) else 0

    def had_two_domains(self) -> bool:
        """Whether members were in two failure domains while shares are used."""
        since = boot_seconds() - self.two_domains_at
        return len(self._domains()) <= _TWO_DOMAINS or since < SHARES_SECONDS

    def record_contact(
        self, member: Member, heard_at: float, news: News
    ) -> None:
        """Records a reply of a member to a request sent at a loop time.

        The grants that it tells must be on disk before.
        """
        # A new machine had no disk that it could have lost.
        is_new = self.is_first_run(member.name, news.run)
        may_have_lost_share = news.may_have_lost_share and not is_new
        alone_after = max(news.alone_after_seconds, news.held_off_seconds)
        alone_at = heard_at + alone_after
        # One of an earlier version relies on what others know to have begun.
        is_told = not news.more and all(
            each.tells_grants for each in self.known.values()
        )
        reply = Contact(
            member.domain,
            heard_at,
            alone_at,
            may_have_lost_share,
            has_begun=news.has_begun and not is_told,
            is_closed=news.is_closed,
        )
        contact = self.contacts.get(member.name)
        if contact is None or contact.domain != member.domain:
            self.contacts[member.name] = reply
        else:
            contact.update(reply, news.run, loop_seconds())

    def record_missed(self, name: str) -> None:
        """Records that a request to a member had no reply."""
        contact = self.contacts.get(name)
        if contact is not None and contact.missed_at is None:
            contact.missed_at = loop_seconds()

    def record_asked(self, name: str, run: str) -> None:
        """Records a request for news by a member."""
        contact = self.contacts.get(name)
        if contact is not None:
            contact.record_asked(run, loop_seconds())

    def saved_contacts(self) -> dict[str, Contact]:
        """Returns the contacts to be kept over a restart, with Unix times."""
        now = loop_seconds()
        ahead = wall_seconds() - now
        saved = {
            name: contact.shifted(ahead, contact.is_silent(now))
            for name, contact in self.contacts.items()
        }
        # The time of day may be set back meanwhile.
        for name, contact in self.contacts.items():
            if now >= contact.alone_at:
                saved[name].alone_at = float("-inf")
        self.saved_silent |= {
            name for name, each in saved.items() if each.heard_at is not None
        }
        return saved

    def restore_contacts(self, contacts: dict[str, Contact]) -> None:
        """Restores contacts that were kept over a restart."""
        behind = loop_seconds() - wall_seconds()
        for name, contact in contacts.items():
            self.contacts[name] = contact.shifted(behind, True)
            if contact.heard_at is not None:
                self.saved_silent.add(name)

    def contact_states(self) -> dict[str, tuple[bool, bool, bool, bool]]:
        """Returns what makes saved contacts out of date when it changes."""
        now = loop_seconds()
        return {
            name: (
                contact.is_silent(now),
                contact.may_have_lost_share,
                contact.is_unable(now),
                contact.has_begun,
            )
            for name, contact in self.contacts.items()
        }

    def losses(self) -> dict[str, Loss]:
        """Returns when members may have been lost that granted alone, by name.

        That is since the newest reply of each member, or since the newest one
        before it lost its disk.
        """
        now = loop_seconds()
        found = {name: c.loss(now) for name, c in self.contacts.items()}
        return {name: loss for name, loss in found.items() if loss is not None}

    def learn_losses(self, losses: dict[str, Loss]) -> None:
        """Takes over when another instance heard members unknown here.

        That instance may restart and lose what it alone knew.
        """
        now = loop_seconds()
        for name in losses.keys() - self.contacts.keys():
            loss = losses[name]
            self.contacts[name] = Contact(
                None,
                now - loss.heard,
                missed_at=now - loss.noticed,
                has_begun=loss.has_begun,
            )

    def unable(self) -> list[str]:
        """Returns members that can't have granted alone, such as new ones."""
        now = loop_seconds()
        return [
            name
            for name, contact in self.contacts.items()
            if contact.is_unable(now)
        ]

    def beginners(self, name: str) -> list[str]:
        """Returns which others than ``name`` may have begun programs alone."""
        contacts = {each: self.contacts.get(each) for each in self.others(name)}
        running_seconds = boot_seconds() - self.started_at
        lapsed = self.lost_at.keys() - set(self.unable())
        return list_beginners(contacts, lapsed, running_seconds)

    def has_lost_nothing(self, name: str) -> bool:
        """Whether a member had granted nothing alone on the disk it lost."""
        contact = self.contacts.get(name)
        return (
            contact is not None
            and contact.may_have_lost_share
            and contact.was_unable
        )

    def one_turn(self) -> dict[str, bool]:
        """Returns whether members grant at most one turn alone, by name.

        Those are left out that may have run an earlier version before this
        instance knew them.
        """
        now = wall_seconds()
        return {
            name: now > at
            for name, at in self.one_turn_from.items()
            if at or now > self.share_sizes_from
        }

    def learn_one_turn(self, names: Iterable[str]) -> None:
        """Takes over that members grant one turn alone, as another one knows.

        Nothing is taken over of a member that was seen to grant more.
        """
        now = wall_seconds()
        for name in names:
            if not self.one_turn_from.get(name, 0.0):
                self.one_turn_from[name] = now

    def _record_share_size(self, member: Member) -> None:
        if not member.grants_one_turn:
            self.one_turn_from[member.name] = float("inf")
        elif self.one_turn_from.get(member.name) == float("inf"):
            until = wall_seconds() + SHARES_SECONDS
            self.one_turn_from[member.name] = until
        else:
            self.one_turn_from.setdefault(member.name, 0.0)

    def restore_share_sizes(
        self, one_turn_from: dict[str, float], share_sizes_from: float
    ) -> None:
        """Restores how much members grant alone, as far as it was known."""
        self.one_turn_from.update(one_turn_from)
        self.share_sizes_from = min(self.share_sizes_from, share_sizes_from)

    def others(self, name: str) -> set[str]:
        """Returns all members but ``name`` that may have been there lately."""
        return {*self.known, *self.unlisted()} - {name}

    def _lapsed(self) -> set[str]:
        """Returns the member that was lost first, if that was long ago.

        Not one that may be the only one here, along with an unreachable one,
        that knows an account.
        """
        informed = self._informed()
        lost_at = {n: at for n, at in self.lost_at.items() if n not in informed}
        if (
            self.store_silence_seconds() > _MAX_STORE_SILENCE_SECONDS
            or not lost_at
        ):
            return set()
        first = min(lost_at, key=lost_at.__getitem__)
        is_long = loop_seconds() - lost_at[first] > _LAPSED_SECONDS
        return {first} if is_long else set()

    def _informed(self) -> set[str]:
        """Returns members that may know accounts which others do not know.

        Accounts whose opener has been gone for long have expired.
        """
        oldest = wall_seconds() - ROSTER_EXPIRY_SECONDS
        lists = [
            informed
            for opener, informed in self.informed_by.items()
            if self.last_seen.get(opener, 0.0) > oldest
        ]
        return set(itertools.chain(*lists))

    def left_out_sharers(self) -> set[str]:
        """Returns members left out of the roster that may have granted alone.

        A member that was cut off may have begun programs alone before it was
        left out. They may continue here as long as their turns are retained,
        and must not get the same part of their budget twice.
        """
        now = loop_seconds()
        return {
            name
            for name in self._lapsed()
            if now - self.lost_at[name] < TURN_HOLDER_SECONDS
            and may_grant_alone(len(self.roster() | {name}) - MAX_SUCCESSORS)
        }

    def restore_seen(
        self,
        last_seen: dict[str, float],
        informed_by: dict[str, tuple[str, ...]],
    ) -> None:
        """Restores the members recorded before this process started.

        The record is written when a member joins or leaves, perhaps hours ago:
        all members in it may have been there until just now.
        """
        newest = max(last_seen.values(), default=0.0)
        self.last_seen.update(last_seen)
        self.first_runs.update(dict.fromkeys(last_seen, ""))
        self.informed_by.update(informed_by)
        until = loop_seconds() + TURN_HOLDER_SECONDS
        self.restored_until = {
            name: until
            for name, at in last_seen.items()
            if at > newest - TURN_HOLDER_SECONDS
        }

    def record_seen(self, name: str, run: str) -> None:
        """Records that a member is there, and its run if it is new."""
        # Its name alone may be known before, from other members' rosters.
        self.first_runs.setdefault(name, run)
        self.last_seen[name] = wall_seconds()

    def record_registration(self, member: Member) -> None:
        """Records a member as it is registered."""
        self.record_seen(member.name, member.run)
        before = self.known.get(member.name)
        if before is None or before.run != member.run:
            self._reopen(member.name)
        self.known[member.name] = member
        self._record_share_size(member)

    def _reopen(self, name: str) -> None:
        """Forgets that a member was closed; its name may be in use again."""
        contact = self.contacts.get(name)
        if contact is not None:
            contact.is_closed = False

    def is_first_run(self, name: str, run: str) -> bool:
        """Whether a member is in its first run, with a disk that was empty."""
        return self.first_runs.get(name) == run

    def owner(self, holder: str) -> str:
        """Returns the instance that now holds the accounts of a holder."""
        while holder in self.successors:
            holder = self.successors[holder]
        return holder

    def owners(self, holders: Iterable[str]) -> list[str]:
        """Returns the instances that now hold an account, each once."""
        return list(dict.fromkeys(map(self.owner, holders)))

    def predecessors(self, name: str) -> list[str]:
        """Returns the instances whose accounts a member holds for them."""
        return sorted(n for n in self.successors if self.owner(n) == name)

    def learn_successor(self, name: str, successor: str) -> None:
        """Records who holds the accounts of a decommissioned instance.

        The first record stays: if that successor was decommissioned later, it
        has a successor, too.
        """
        if name in self.successors:
            return
        if self.owner(successor) == name:
            warn_event("successor_refused", keeper=name, successor=successor)
            return
        self.successors[name] = successor
        log_event("successor_known", keeper=name, successor=successor)

    def unlisted(self) -> list[str]:
        """Returns members that may hold turns although not registered."""
        oldest = wall_seconds() - TURN_HOLDER_SECONDS
        now = loop_seconds()
        late = {name for name, at in self.last_seen.items() if at > oldest}
        late |= {name for name, at in self.restored_until.items() if at > now}
        return sorted(late - self.known.keys() - self.decommissioned)

    def registered_at(self, name: str) -> float:
        """Returns when a member that is gone renewed its lease at the latest.

        Its registration outlives it by the whole lease, or more if leases
        paused while the store was down. Unknown times are infinite.
        """
        return self.lost_at.get(name, float("inf")) - LEASE_SECONDS

    def is_listed(self, key: str, value: bytes) -> bool:
        """Whether the store holds exactly this entry, as far as known here."""
        is_current = self.watch.synced and self.watch.unavailable_since is None
        return is_current and self.watch.values.get(key) == value

    @property
    def changed_revision(self) -> int:
        """Revision of the newest change of the list known here."""
        return self.watch.changed_revision

    def store_silence_seconds(self) -> float:
        """Returns the seconds since the store last replied."""
        return loop_seconds() - self.watch.answered_at

    async def catch_up(self) -> bool:
        """Reads the current registrations; False if the store is unreachable.

        Concurrent callers share the next read, so that there is one read at a
        time no matter how many callers need one.
        """
        begun = self.reads_started
        async with self.read_lock:
            if self.last_read_ended <= begun:
                self.reads_started += 1
                self.last_read_succeeded = await self._read_store()
                self.last_read_ended = self.reads_started
            return self.last_read_succeeded

    def expect_revision(self, revision: int) -> None:
        """Makes sure to learn of a change that another instance has seen.

        A watch that no longer receives anything would report it only after
        its timeout.
        """
        is_waiting = (
            self.revision_wait is not None and not self.revision_wait.done()
        )
        if revision > self.watch.revision and not is_waiting:
            self.revision_wait = asyncio.create_task(self._wait_for(revision))

    async def _wait_for(self, revision: int) -> None:
        await asyncio.sleep(_WATCH_DELAY_SECONDS)
        if revision > self.watch.revision and not await self.catch_up():
            await asyncio.sleep(_READ_RETRY_SECONDS)

    async def _read_store(self) -> bool:
        before = self.watch.revision
        answers = False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_READ_TIMEOUT_SECONDS):
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
        if self.revision_wait:
            self.revision_wait.cancel()
        await self.watch.__aexit__()
        for link in self.links.values():
            link.close()

    def ranked(self) -> dict[str, list[Member]]:
        """Returns all members by failure domain, in this process's order.

        The order is computed once per change and not with each call.
        """
        self._update_orders()
        return self.ranked_by_domain

    def readers(self) -> dict[str, list[Member]]:
        """Returns writable members by domain, in the same order everywhere.

        The first ones read the platform store for all other processes. Each
        further reader costs the store a call for every change.
        """
        self._update_orders()
        return _writable(self.readers_by_domain)

    def collectors(self, domain: str) -> list[Member]:
        """Returns a domain's members in the order in which they collect loads.

        All processes compute the same order. It is the reverse of the readers',
        so that the same member is not first in both.
        """
        return self.readers().get(domain, [])[::-1]

    def _update_orders(self) -> None:
        current = list(self.known.values())
        if current != self.ranked_members:
            self.ranked_members = current
            self.ranked_by_domain = _by_domain(self.rank_key, current)
            self.readers_by_domain = _by_domain(_READERS_KEY, current)

    def writable_domains(self) -> dict[str, list[Member]]:
        """Returns the members that accept new data, by failure domain."""
        return _writable(self.ranked())

    @property
    def copies(self) -> int:
        """Number of disks on which data must be so that one of them is left."""
        return self.tolerated_disk_losses + 1

    def replicas(self, key: str) -> list[Member]:
        """Returns the members that store a key."""
        domains = {
            domain: [member.name for member in members]
            for domain, members in self.writable_domains().items()
        }
        names = choose_replicas(key, domains, self.copies)
        return [self.known[name] for name in names]

    def substitutes(self, key: str) -> list[Member]:
        """Returns the members that may store a key in place of its replicas.

        Those that are leaving come last. They pass on what they store before
        they report that they are emptied.
        """
        replicas = self.replicas(key)
        others = {
            member.name: member
            for member in self.known.values()
            if member not in replicas and not member.emptied
        }
        ranked = [others[name] for name in rank(key, others)]
        return sorted(ranked, key=lambda member: member.leaving)

    def lenders(self, workspace: str) -> list[Member]:
        """Returns the writable members in the order in which they lend.

        The first one lends tokens of the workspace's rate; each other one
        stands in for those before it. All processes compute the same order.
        """
        names = [n for n, member in self.known.items() if not member.leaving]
        if names != self.lender_names:
            self.lender_names = names
            self.lender_orders.clear()
        order = self.lender_orders.get(workspace)
        if order is None:
            order = self.lender_orders[workspace] = rank(workspace, names)
        return [self.known[name] for name in order]

    def are_others_unresponsive(self, name: str) -> bool:
        """Whether no member but ``name`` replied to its last request."""
        others = [
            member for member in self.known.values() if member.name != name
        ]
        return all(self.link(member).failures for member in others)

    def choose_holders(self, name: str, key: str) -> tuple[str, ...]:
        """Chooses the holders of an account, in different domains if possible.

        A budget reservation is on the disks of a majority. That majority must
        be larger than the number of disks that may be lost at once, and another
        majority must remain then: three holders for one lost disk, five for
        two.

        Args:
            name: The instance that opens the account, the first holder.
            key: The program.
        """
        mine = self.known.get(name)
        others = {
            member.name: member
            for member in self.known.values()
            if member.name != name
            and not member.leaving
            and member.name not in self.successors
        }
        ranked = rank(key, others)
        # With an unresponsive holder the majority would have none to spare.
        ranked.sort(key=lambda other: bool(self.link(others[other]).failures))
        chosen = [name]
        domain_counts = collections.Counter([mine.domain if mine else ""])
        wanted = min(2 * self.tolerated_disk_losses + 1, len(others) + 1)
        for max_per_domain in itertools.count(1):
            for other in ranked:
                domain = others[other].domain
                if other in chosen or domain_counts[domain] >= max_per_domain:
                    continue
                if len(chosen) < wanted:
                    chosen.append(other)
                    domain_counts[domain] += 1
            if len(chosen) >= wanted:
                return tuple(chosen)

    def link(self, member: Member) -> RequestLink:
        """Returns the link to a member."""
        link = self.links.get(member.name)
        is_current = link is not None and (
            link.address == member.address
            and link.takes_parts == member.takes_parts
        )
        if not is_current:
            if link:
                link.close()
            link = RequestLink(member.address, self.codec, member.takes_parts)
            self.links[member.name] = link
        return link

    def _on_written(self, key: str, value: bytes) -> None:
        try:
            member = msgspec.json.decode(value, type=Member)
        except DECODE_ERRORS as error:
            warn_event("keeper_undecodable", key=key, why=str(error))
            return
        before = self.known.get(member.name)
        self.record_registration(member)
        self.informed_by[member.name] = member.informed
        for predecessor in member.succeeded:
            self.learn_successor(predecessor, member.name)
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
        self._drop(key.removeprefix(MEMBERS_PREFIX))

    def _drop(self, name: str) -> None:
        """Drops an unregistered member once it is unresponsive.

        The store may have ended the lease of a running member: without it, the
        data that it holds would be unreachable, and what it could store would
        not count.
        """
        member = self.known.get(name)
        if member is None or MEMBERS_PREFIX + name in self.watch.values:
            return
        if not member.emptied and self.link(member).is_heard(
            _RECENT_REPLY_SECONDS
        ):
            self._retry_drop(name)
            return
        del self.known[name]
        self.unregistered.discard(name)
        self.last_seen[name] = wall_seconds()
        # A member that was killed or partitioned during its decommissioning is
        # ``leaving``, but not ``emptied``.
        if member.emptied:
            self.decommissioned.add(name)
            self.informed_by.pop(name, None)
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

    def _retry_drop(self, name: str) -> None:
        if name not in self.unregistered:
            self.unregistered.add(name)
            log_event("keeper_unregistered", keeper=name)
        loop = asyncio.get_running_loop()
        loop.call_later(_RECENT_REPLY_SECONDS, self._drop, name)
