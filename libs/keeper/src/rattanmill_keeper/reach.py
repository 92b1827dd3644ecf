"""Which storage instances a front reaches, and whether it is cut off."""

import asyncio
import uuid
from collections.abc import Coroutine, Iterable

import msgspec

from rattanmill_core import CrashNote, Metrics, log_event, loop_seconds
from rattanmill_keeper.crashes import CrashNews, whom_to_tell
from rattanmill_keeper.members import PREFIX, Member, Members, rank
from rattanmill_keeper.messages import Crashed, Pong
from rattanmill_platform import Unavailable

_TELL_SECONDS = 0.5
# A member that did not answer is asked last for so long, unless it answers a
# ping before.
_AVOID_SECONDS = 1.5
# Each domain is asked for a sign of life so often, 0.1 KB each, and each member
# that was not heard for a while. It has so long to answer. A front that hears
# none from another domain, nor the store, for the bound is cut off: its callers
# are better served elsewhere, and the balancer needs two more seconds.
_PING_SECONDS = 0.2
_QUIET_SECONDS = 0.6
_PONG_SECONDS = 0.4
# An answer takes a trip. Without one by then the others of the domain are
# asked: one that is down must not look like a domain that is cut off.
_LATE_SECONDS = 0.1
_CUT_SECONDS = 0.45
# Once other domains have missed a sign of life, the store is asked whether it
# is there. A watch that waits for changes would tell seconds later.
_DOUBT_SECONDS = 0.25
_PROBE_SECONDS = 0.2
# The balancer asks a front each second whether it is ready, and passes it over
# after two misses.
_MOVED_SECONDS = 2.0
_LEAST_RETRY_SECONDS = 0.25


class Reach:
    """A front's links to the storage instances, and what it hears on them.

    Attributes:
        domain: Failure domain of this front.
        members: The storage instances.
        unheard: Loop time until which a member is asked last, by name.
        heard: Loop time of each member's last answer.
        store_answers: Whether the store answered when it was last asked.
        key: Orders whom to ask first, for each front in another way.
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
        self.heard: dict[str, float] = {}
        self.store_answers = True
        self.key = uuid.uuid4().hex
        self.cut_at: float | None = None
        self.crashes = CrashNews()
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
        if away_seconds is not None and self.is_away(member):
            seconds = away_seconds
        reply = await self.members.link(member).ask(message, seconds)
        kind = type(message).__name__
        if reply is None:
            self.unheard[member.name] = loop_seconds() + _AVOID_SECONDS
            self.metrics.count("rattanmill_keeper_silent", kind=kind)
        else:
            self.unheard.pop(member.name, None)
            self.heard[member.name] = loop_seconds()
        return reply

    def is_away(self, member: Member) -> bool:
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
            and len(self.members.domains()) > 1
        )

    def moved_in(self) -> float:
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

    def domain_silences(self) -> dict[str, float]:
        """Returns for how long each domain's members were silent, seconds."""
        return {
            domain: self._silence(there)
            for domain, there in self.members.domains().items()
        }

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Starts a task in the background and holds on to it."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def ping_for_ever(self) -> None:
        """Asks members for signs of life."""
        while True:
            self.review()
            for members in self.members_by_domain():
                self.spawn(self._ping_domain(members))
            self.spawn(self.look_at_store())
            await asyncio.sleep(_PING_SECONDS)

    def members_by_domain(self) -> list[list[Member]]:
        """Returns the members of each domain, in the order of asking them."""
        members = list(self.members.known.values())
        ranked = rank(self.key, [member.name for member in members])
        members.sort(key=lambda m: (self.is_away(m), ranked.index(m.name)))
        domains: dict[str, list[Member]] = {}
        for member in members:
            domains.setdefault(member.domain, []).append(member)
        return list(domains.values())

    async def _ping_domain(self, members: list[Member]) -> None:
        """Asks the first, who was not heard for a while, or at last all."""
        first, *others = members
        quiet = [m for m in others if self._silence([m]) > _QUIET_SECONDS]
        for member in quiet:
            self.spawn(self._ping(member))
        asked = self.spawn(self._ping(first))
        _, late = await asyncio.wait([asked], timeout=_LATE_SECONDS)
        if late:
            for member in others:
                if member not in quiet:
                    self.spawn(self._ping(member))

    def tell_crashes(self, notes: list[CrashNote]) -> None:
        """Tells other fronts what this one has seen."""
        for member in whom_to_tell(self.members):
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

    async def _ping(self, member: Member) -> None:
        ping = self.crashes.ping(member)
        pong = await self.ask(member, ping, _PONG_SECONDS)
        if isinstance(pong, Pong):
            self.crashes.take(member, pong)
            self.members.hear_of(pong.revision)

    def _far(self) -> list[Member]:
        return [
            member
            for member in self.members.known.values()
            if member.domain != self.domain
        ]

    def _silence(self, members: Iterable[Member]) -> float:
        """Returns for how long none of them has answered, in seconds."""
        never = float("-inf")
        heard = [self.heard.get(member.name, never) for member in members]
        return loop_seconds() - max(heard, default=never)
