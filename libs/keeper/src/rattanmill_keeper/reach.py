"""Which storage instances a front end reaches, and whether it is cut off."""

import asyncio
from collections.abc import Coroutine, Iterable

import msgspec

from rattanmill_core import CrashNote, Metrics, log_event, loop_seconds
from rattanmill_keeper.crashes import CrashFeed
from rattanmill_keeper.members import MEMBERS_PREFIX, Member, Members
from rattanmill_keeper.messages import Crashed, Pong
from rattanmill_platform import Unavailable
from rattanmill_wire import kind_of

_PUBLISH_TIMEOUT_SECONDS = 0.5
# A member that did not reply is tried last for this long, unless it replies to
# a ping before.
_AVOID_SECONDS = 1.5
# A domain that sent no reply for this long is pinged, which costs 0.1 KB. The
# pong must arrive within the timeout. A front end that gets a reply neither
# from another domain nor from the store within ``_CUT_OFF_SECONDS`` is cut off:
# its callers are better served elsewhere, and the balancer needs two more
# seconds.
_PING_SECONDS = 0.2
_PONG_TIMEOUT_SECONDS = 0.4
# Domains that are due within this time are pinged together.
_ALIGN_SECONDS = 0.05
# Besides the first member of each domain, this many are pinged if they sent no
# reply for this long, so that an unresponsive one is known before it is needed.
# The others are pinged once they are needed, see ``Reachability.ask``.
_WATCHED_OTHERS = 2
_QUIET_SECONDS = 0.55
# A member without a reply for this long is pinged along with a request, and the
# request is given up if there is no pong.
_STALE_SECONDS = 1.0
_STALE_PONG_TIMEOUT_SECONDS = 0.2
# A reply takes one round trip. If there is none by then, the other members of
# the domain are pinged: an unresponsive member must not make its domain look
# cut off.
_LATE_SECONDS = 0.1
_CUT_OFF_SECONDS = 0.45
# Once other domains have missed a ping, the store is probed. A watch that waits
# for changes would show an outage only seconds later.
_DOUBT_SECONDS = 0.25
_PROBE_TIMEOUT_SECONDS = 0.2
_PROBE_SECONDS = 0.15
# The balancer checks each second whether a front end is ready, and takes it out
# after two failed checks.
_FAILOVER_SECONDS = 2.0
_MIN_RETRY_SECONDS = 0.25


class Reachability:
    """A front end's links to the storage instances, and the state of these.

    Attributes:
        domain: Failure domain of this front end.
        members: The storage instances.
        avoid_until: Loop time until which a member is tried last, by name.
        answered_at: Loop time of each member's last reply.
        store_answers: Whether the store replied to the last probe.
        store_probed_at: Loop time of that probe.
        pinged_at: Loop time at which each member was last pinged.
        domain_pinged_at: Loop time at which the first member of each domain
            was last pinged.
        cut_off_at: Loop time at which this front end was found to be cut off,
            or None.
        pinging_since: Loop time of the first ping.
        crashes: Crashes reported by other front ends.
        full: Names of the members that keep no further turns for now.
        tasks: Background tasks.

    Args:
        domain: Failure domain of this front end.
        members: The storage instances.
        metrics: Counters and times.
    """

    def __init__(self, domain: str, members: Members, metrics: Metrics) -> None:
        self.domain = domain
        self.members = members
        self.metrics = metrics
        self.avoid_until: dict[str, float] = {}
        self.answered_at: dict[str, float] = {}
        self.store_answers = True
        self.store_probed_at = float("-inf")
        self.pinged_at: dict[str, float] = {}
        self.domain_pinged_at: dict[str, float] = {}
        self.cut_off_at: float | None = None
        self.pinging_since = float("-inf")
        self.crashes = CrashFeed()
        self.full: set[str] = set()
        self.tasks: set[asyncio.Task] = set()

    async def ask(
        self,
        member: Member,
        message: msgspec.Struct,
        seconds: float,
        unresponsive_seconds: float | None = None,
    ) -> msgspec.Struct | None:
        """Returns a member's reply to a request; None after a timeout.

        Args:
            member: The member.
            message: The request.
            seconds: The timeout.
            unresponsive_seconds: The timeout if the member is unresponsive;
                it mostly stays so.
        """
        if self.is_unresponsive(member):
            return await self._ask(
                member, message, unresponsive_seconds or seconds
            )
        if self._silence_seconds([member]) > _STALE_SECONDS:
            return await self._ask_stale(member, message, seconds)
        return await self._ask(member, message, seconds)

    async def _ask_stale(
        self, member: Member, message: msgspec.Struct, seconds: float
    ) -> msgspec.Struct | None:
        """Sends a request to a member that was not needed lately."""
        request = self.spawn(self._ask(member, message, seconds))
        ping = self.spawn(self._ping(member, _STALE_PONG_TIMEOUT_SECONDS))
        await asyncio.wait([request, ping], return_when=asyncio.FIRST_COMPLETED)
        if self.is_unresponsive(member):
            request.cancel()
            return None
        return await request

    async def _ask(
        self, member: Member, message: msgspec.Struct, seconds: float
    ) -> msgspec.Struct | None:
        reply = await self.members.link(member).ask(message, seconds)
        kind = kind_of(message)
        if reply is None:
            self.avoid_until[member.name] = loop_seconds() + _AVOID_SECONDS
            self.metrics.count("rattanmill_keeper_silent", kind=kind)
        else:
            self.avoid_until.pop(member.name, None)
            self.answered_at[member.name] = loop_seconds()
        return reply

    def is_unresponsive(self, member: Member) -> bool:
        """Whether a member did not reply to its last request."""
        return self.avoid_until.get(member.name, 0.0) > loop_seconds()

    def is_cut_off(self) -> bool:
        """Whether hardly any program can be served from here.

        Budgets need storage instances of two domains, and new programs those
        or the store.
        """
        if not self.members.known:
            return True
        if self._silence_since_start(self.members.known.values()) > (
            _CUT_OFF_SECONDS
        ):
            return True
        others = self._members_of_other_domains()
        return (
            self._silence_since_start(others) > _CUT_OFF_SECONDS
            and not self.store_answers
            and len(self.members.writable_domains()) > 1
        )

    def failover_seconds(self) -> float:
        """Returns the seconds until callers of a cut-off front end move on."""
        if self.cut_off_at is None:
            return _FAILOVER_SECONDS
        left = self.cut_off_at + _FAILOVER_SECONDS - loop_seconds()
        return max(_MIN_RETRY_SECONDS, left)

    def update_cut_off(self) -> None:
        """Records since when this front end has been cut off, if it is."""
        if not self.is_cut_off():
            self.cut_off_at = None
        elif self.cut_off_at is None:
            self.cut_off_at = loop_seconds()

    def domain_silence_seconds(self) -> dict[str, float]:
        """Returns the seconds since each domain's last reply, or the start."""
        return {
            domain: self._silence_since_start(members)
            for domain, members in self.members.writable_domains().items()
        }

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Starts a background task and keeps a reference to it."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def ping_forever(self) -> None:
        """Pings members."""
        self.pinging_since = loop_seconds()
        while True:
            self.update_cut_off()
            pause = self._ping_round()
            self._probe_if_in_doubt()
            await asyncio.sleep(pause)

    def _ping_round(self) -> float:
        """Pings members that are due; returns the pause in seconds."""
        domains = list(self.members.ranked().values())
        for members in domains:
            self._ping_quiet(members)
        unpinged = [self._unpinged_seconds(members) for members in domains]
        rests = [
            min(self._silence_seconds(members), since)
            for members, since in zip(domains, unpinged, strict=True)
        ]
        min_rest = _PING_SECONDS - _ALIGN_SECONDS
        due = [at for at, rest in enumerate(rests) if rest > min_rest]
        # Crashes and changes of the list of members are reported in pongs only.
        # Every member gets these reports, so any domain will do.
        if domains and not due and min(unpinged) > min_rest:
            due = [unpinged.index(max(unpinged))]
        for at in due:
            self._ping_first(domains[at])
            rests[at] = unpinged[at] = 0.0
        longest = max(max(rests, default=0.0), min(unpinged, default=0.0))
        return max(_ALIGN_SECONDS, _PING_SECONDS - longest)

    def _probe_if_in_doubt(self) -> None:
        """Probes the store while it may be all that can be reached."""
        is_in_doubt = (
            self._silence_seconds(self._members_of_other_domains())
            > _DOUBT_SECONDS
        )
        since = loop_seconds() - self.store_probed_at
        if (is_in_doubt or not self.store_answers) and since > _PROBE_SECONDS:
            self.store_probed_at = loop_seconds()
            self.spawn(self.probe_store())

    def _ping_first(self, members: list[Member]) -> None:
        """Pings a domain's first member, and all others if it is late."""
        responsive = [
            member for member in members if not self.is_unresponsive(member)
        ]
        first = responsive[0] if responsive else members[0]
        others = [member for member in members if member is not first]
        pinged_at = self.domain_pinged_at[first.domain] = loop_seconds()
        self._start_ping(first)
        asyncio.get_running_loop().call_later(
            _LATE_SECONDS, self._ping_others, first, others, pinged_at
        )

    def _start_ping(self, member: Member) -> None:
        self.pinged_at[member.name] = loop_seconds()
        self.spawn(self._ping(member))

    def _ping_others(
        self, first: Member, others: list[Member], pinged_at: float
    ) -> None:
        if self.answered_at.get(first.name, float("-inf")) >= pinged_at:
            return
        for member in others:
            if not self._is_pinged(member):
                self._start_ping(member)

    def _ping_quiet(self, members: list[Member]) -> None:
        """Pings members that have sent no reply for a while.

        Not all of them: with many members, most messages would be pings. An
        unresponsive one is pinged until it replies.
        """
        for place, member in enumerate(members):
            is_watched = place <= _WATCHED_OTHERS or self.is_unresponsive(
                member
            )
            is_quiet = self._silence_seconds([member]) > _QUIET_SECONDS
            if is_watched and is_quiet and not self._is_pinged(member):
                self._start_ping(member)

    def _is_pinged(self, member: Member) -> bool:
        """Whether a ping is pending whose pong may still arrive in time."""
        never = float("-inf")
        pinged_at = self.pinged_at.get(member.name, never)
        is_new = loop_seconds() - pinged_at < _PONG_TIMEOUT_SECONDS
        return is_new and self.answered_at.get(member.name, never) < pinged_at

    def _unpinged_seconds(self, members: list[Member]) -> float:
        """Returns the seconds since a domain was last pinged."""
        never = float("-inf")
        pinged_at = self.domain_pinged_at.get(members[0].domain, never)
        return loop_seconds() - pinged_at

    def publish_crashes(self, notes: list[CrashNote]) -> None:
        """Reports crashes that this front end has seen to the other front ends.

        Sent to all members: each front end pings only a few of them, and these
        differ between front ends.
        """
        for member in self.members.known.values():
            self.spawn(
                self.ask(member, Crashed(notes), _PUBLISH_TIMEOUT_SECONDS)
            )

    async def probe_store(self) -> None:
        """Checks whether the store replies if other domains don't."""
        answers = True
        if (
            self._silence_seconds(self._members_of_other_domains())
            > _DOUBT_SECONDS
        ):
            answers = await self._store_answers()
        if answers != self.store_answers:
            log_event("store_probed", answers=answers)
        self.store_answers = answers

    async def _store_answers(self) -> bool:
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_SECONDS):
                reply = await self.members.kv.read(MEMBERS_PREFIX)
        except TimeoutError:
            return False
        return not isinstance(reply, Unavailable)

    async def _ping(
        self, member: Member, seconds: float = _PONG_TIMEOUT_SECONDS
    ) -> None:
        ping = self.crashes.ping(member)
        pong = await self._ask(member, ping, seconds)
        if isinstance(pong, Pong):
            self.crashes.receive(member, pong)
            self.members.expect_revision(pong.revision)
            self._record_full(member, pong.is_full)

    def _record_full(self, member: Member, is_full: bool) -> None:
        if is_full == (member.name in self.full):
            return
        log_event("keeper_full", keeper=member.name, full=is_full)
        if is_full:
            self.full.add(member.name)
        else:
            self.full.discard(member.name)

    def _members_of_other_domains(self) -> list[Member]:
        return [
            member
            for member in self.members.known.values()
            if member.domain != self.domain
        ]

    def _silence_since_start(self, members: Iterable[Member]) -> float:
        """Returns the seconds without a reply since any could be expected."""
        since_start = loop_seconds() - self.pinging_since
        return min(self._silence_seconds(members), since_start)

    def _silence_seconds(self, members: Iterable[Member]) -> float:
        """Returns the seconds since the last reply of any of the members."""
        never = float("-inf")
        answered_at = self.answered_at
        newest = max(
            (answered_at.get(m.name, never) for m in members), default=never
        )
        return loop_seconds() - newest
