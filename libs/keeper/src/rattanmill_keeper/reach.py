"""Which storage instances a front reaches, and whether it is cut off."""

import asyncio
from collections.abc import Coroutine, Iterable

import msgspec

from rattanmill_core import CrashNote, Metrics, log_event, loop_seconds
from rattanmill_keeper.crashes import CrashFeed
from rattanmill_keeper.members import PREFIX, Member, Members
from rattanmill_keeper.messages import Crashed, Pong
from rattanmill_platform import Unavailable

_TELL_SECONDS = 0.5
# A member that did not answer is asked last for so long, unless it answers a
# ping before.
_AVOID_SECONDS = 1.5
# A domain of which nothing was heard for so long is asked for a sign of life,
# 0.1 KB. It has so long to answer. A front that hears none from another domain,
# nor the store, for the bound is cut off: its callers are better served
# elsewhere, and the balancer needs two more seconds.
_PING_SECONDS = 0.2
_PONG_SECONDS = 0.4
# Domains that are due this soon are asked at the same time.
_ALIGN_SECONDS = 0.05
# Besides the first of each domain, so many are asked if they were silent for
# so long, that one that is down is known before it is needed. The others are
# asked once they are needed, see ``Reach.ask``.
_WATCHED_OTHERS = 2
_QUIET_SECONDS = 0.55
# Whoever was not heard for so long is asked for a sign of life beside a
# request, and the request given up without one.
_UNHEARD_SECONDS = 1.0
_UNHEARD_PONG_SECONDS = 0.2
# An answer takes a trip. Without one by then the others of the domain are
# asked: one that is down must not look like a domain that is cut off.
_LATE_SECONDS = 0.1
_CUT_SECONDS = 0.45
# Once other domains have missed a sign of life, the store is asked whether it
# is there. A watch that waits for changes would tell seconds later.
_DOUBT_SECONDS = 0.25
_PROBE_SECONDS = 0.2
_LOOK_SECONDS = 0.15
# The balancer asks a front each second whether it is ready, and passes it over
# after two misses.
_MOVED_SECONDS = 2.0
_LEAST_RETRY_SECONDS = 0.25


class Reachability:
    """A front's links to the storage instances, and what it hears on them.

    Attributes:
        domain: Failure domain of this front.
        members: The storage instances.
        unheard: Loop time until which a member is asked last, by name.
        heard: Loop time of each member's last answer.
        store_answers: Whether the store answered when it was last asked.
        looked_at: Loop time at which it was.
        asked: Loop time at which each member was last asked for a sign of life.
        asked_domains: The same of the first of each domain.
        cut_at: Loop time at which it was found that this front is cut off,
            or None.
        crashes: What other fronts have told of crashes.
        tasks: What goes on in the background.

    Args:
        domain: Failure domain of this front.
        members: The storage instances.
        metrics: Counters and times.
    """

    def __init__(self, domain: str, members: Members, metrics: Metrics) -> None:
        self.domain = domain
        self.members = members
        self.metrics = metrics
        self.unheard: dict[str, float] = {}
        self.answered_at: dict[str, float] = {}
        self.store_answers = True
        self.looked_at = float("-inf")
        self.asked: dict[str, float] = {}
        self.asked_domains: dict[str, float] = {}
        self.cut_at: float | None = None
        self.crashes = CrashFeed()
        self.tasks: set[asyncio.Task] = set()

    async def ask(
        self,
        member: Member,
        message: msgspec.Struct,
        seconds: float,
        away_seconds: float | None = None,
    ) -> msgspec.Struct | None:
        """Returns a member's reply; None if there was none in time.

        Args:
            member: Whom to ask.
            message: What is asked.
            seconds: How long to wait.
            away_seconds: How long instead if it was silent when it was last
                asked; one that is known to be silent mostly stays so.
        """
        if self.is_unresponsive(member):
            return await self._ask(member, message, away_seconds or seconds)
        if self._silence([member]) > _UNHEARD_SECONDS:
            return await self._ask_unheard(member, message, seconds)
        return await self._ask(member, message, seconds)

    async def _ask_unheard(
        self, member: Member, message: msgspec.Struct, seconds: float
    ) -> msgspec.Struct | None:
        """Asks one of which nothing was heard lately, as nobody needed it."""
        asked = self.spawn(self._ask(member, message, seconds))
        sign = self.spawn(self._ping(member, _UNHEARD_PONG_SECONDS))
        await asyncio.wait([asked, sign], return_when=asyncio.FIRST_COMPLETED)
        if self.is_unresponsive(member):
            asked.cancel()
            return None
        return await asked

    async def _ask(
        self, member: Member, message: msgspec.Struct, seconds: float
    ) -> msgspec.Struct | None:
        reply = await self.members.link(member).ask(message, seconds)
        kind = type(message).__name__
        if reply is None:
            self.unheard[member.name] = loop_seconds() + _AVOID_SECONDS
            self.metrics.count("rattanmill_keeper_silent", kind=kind)
        else:
            self.unheard.pop(member.name, None)
            self.answered_at[member.name] = loop_seconds()
        return reply

    def is_unresponsive(self, member: Member) -> bool:
        """Whether it did not answer when it was last asked."""
        return self.unheard.get(member.name, 0.0) > loop_seconds()

    def is_cut_off(self) -> bool:
        """Whether hardly any program can be served from here.

        Budgets need storage instances of two domains, and new programs those
        or the store.
        """
        if not self.members.known:
            return True
        if self._silence(self.members.known.values()) > _CUT_SECONDS:
            return True
        return (
            self._silence(self._far()) > _CUT_SECONDS
            and not self.store_answers
            and len(self.members.writable_domains()) > 1
        )

    def failover_seconds(self) -> float:
        """Returns when callers of a cut-off front get to others, seconds."""
        if self.cut_at is None:
            return _MOVED_SECONDS
        left = self.cut_at + _MOVED_SECONDS - loop_seconds()
        return max(_LEAST_RETRY_SECONDS, left)

    def review(self) -> None:
        """Notes since when this front has been cut off, if it is."""
        if not self.is_cut_off():
            self.cut_at = None
        elif self.cut_at is None:
            self.cut_at = loop_seconds()

    def domain_silence_seconds(self) -> dict[str, float]:
        """Returns for how long each domain's members were silent, seconds."""
        return {
            domain: self._silence(there)
            for domain, there in self.members.writable_domains().items()
        }

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Starts a task in the background and holds on to it."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def ping_forever(self) -> None:
        """Asks members for signs of life."""
        while True:
            self.review()
            pause = self._ask_round()
            self._doubt()
            await asyncio.sleep(pause)

    def _ask_round(self) -> float:
        """Asks who is due; returns when to look again, in seconds."""
        domains = list(self.members.ranked().values())
        for members in domains:
            self._ask_quiet(members)
        unasked = [self._unasked(members) for members in domains]
        rests = [
            min(self._silence(members), since)
            for members, since in zip(domains, unasked, strict=True)
        ]
        least = _PING_SECONDS - _ALIGN_SECONDS
        due = [at for at, rest in enumerate(rests) if rest > least]
        # Crashes and changes of the list of members are told with signs of life
        # only. Every member is told of them, so that any domain will do.
        if domains and not due and min(unasked) > least:
            due = [unasked.index(max(unasked))]
        for at in due:
            self._ask_first(domains[at])
            rests[at] = unasked[at] = 0.0
        longest = max(max(rests, default=0.0), min(unasked, default=0.0))
        return max(_ALIGN_SECONDS, _PING_SECONDS - longest)

    def _doubt(self) -> None:
        """Looks at the store while it may be all that can be reached."""
        is_in_doubt = self._silence(self._far()) > _DOUBT_SECONDS
        since = loop_seconds() - self.looked_at
        if (is_in_doubt or not self.store_answers) and since > _LOOK_SECONDS:
            self.looked_at = loop_seconds()
            self.spawn(self.look_at_store())

    def _ask_first(self, members: list[Member]) -> None:
        """Asks the first of a domain, and if it is late all others."""
        there = [
            member for member in members if not self.is_unresponsive(member)
        ]
        first = there[0] if there else members[0]
        others = [member for member in members if member is not first]
        asked_at = self.asked_domains[first.domain] = loop_seconds()
        self._ask_for_sign(first)
        asyncio.get_running_loop().call_later(
            _LATE_SECONDS, self._ask_others, first, others, asked_at
        )

    def _ask_for_sign(self, member: Member) -> None:
        self.asked[member.name] = loop_seconds()
        self.spawn(self._ping(member))

    def _ask_others(
        self, first: Member, others: list[Member], asked_at: float
    ) -> None:
        if self.answered_at.get(first.name, float("-inf")) >= asked_at:
            return
        for member in others:
            if not self._is_asked(member):
                self._ask_for_sign(member)

    def _ask_quiet(self, members: list[Member]) -> None:
        """Asks those that have not been heard for a while.

        Not all: with many members, most messages were such. One that is away
        is asked until it is heard.
        """
        for place, member in enumerate(members):
            is_watched = place <= _WATCHED_OTHERS or self.is_unresponsive(
                member
            )
            is_quiet = self._silence([member]) > _QUIET_SECONDS
            if is_watched and is_quiet and not self._is_asked(member):
                self._ask_for_sign(member)

    def _is_asked(self, member: Member) -> bool:
        """Whether a sign of life was asked for that may still come."""
        never = float("-inf")
        asked_at = self.asked.get(member.name, never)
        is_new = loop_seconds() - asked_at < _PONG_SECONDS
        return is_new and self.answered_at.get(member.name, never) < asked_at

    def _unasked(self, members: list[Member]) -> float:
        """Returns since when a domain was not asked, in seconds."""
        never = float("-inf")
        asked_at = self.asked_domains.get(members[0].domain, never)
        return loop_seconds() - asked_at

    def publish_crashes(self, notes: list[CrashNote]) -> None:
        """Tells other fronts what this one has seen.

        They ask a few members each, every front others.
        """
        for member in self.members.known.values():
            self.spawn(self.ask(member, Crashed(notes), _TELL_SECONDS))

    async def look_at_store(self) -> None:
        """Asks the store for a sign of life if other domains are silent."""
        answers = True
        if self._silence(self._far()) > _DOUBT_SECONDS:
            answers = await self._store_answers()
        if answers != self.store_answers:
            log_event("store_probed", answers=answers)
        self.store_answers = answers

    async def _store_answers(self) -> bool:
        try:
            async with asyncio.timeout(_PROBE_SECONDS):
                said = await self.members.kv.read(PREFIX)
        except TimeoutError:
            return False
        return not isinstance(said, Unavailable)

    async def _ping(
        self, member: Member, seconds: float = _PONG_SECONDS
    ) -> None:
        ping = self.crashes.ping(member)
        pong = await self._ask(member, ping, seconds)
        if isinstance(pong, Pong):
            self.crashes.receive(member, pong)
            self.members.expect_revision(pong.revision)

    def _far(self) -> list[Member]:
        return [
            member
            for member in self.members.known.values()
            if member.domain != self.domain
        ]

    def _silence(self, members: Iterable[Member]) -> float:
        """Returns for how long none of them has answered, in seconds."""
        never = float("-inf")
        heard = self.answered_at
        newest = max((heard.get(m.name, never) for m in members), default=never)
        return loop_seconds() - newest
