"""One wait at a storage instance for all prefixes of the store.

A front follows a few prefixes. With a wait of its own for each, it asked twice
as often as there is something to be known.
"""

import asyncio
from collections.abc import Callable

import msgspec

from rattanmill_core import log_event, start_loop
from rattanmill_keeper.members import Member
from rattanmill_keeper.messages import StoreItems, StoreWatch
from rattanmill_wire import RequestLink

# A wait is short: the one that is asked may be behind and not know it, and the
# next one then tells what it lacks. An endpoint must get nothing two seconds
# after it has said that it leaves.
WATCH_SECONDS = 0.5
_ANSWER_SECONDS = 0.7
# Whoever was answered together asks again together.
_JOIN_SECONDS = 0.01
# One that leaves a sign of life or another request unanswered is given up
# within this, and not only when its time to answer is over.
_LOOK_SECONDS = 0.2


class Want(msgspec.Struct):
    """What one waits for.

    Attributes:
        after: Revision up to which the changes are known.
        answer: Gets the changes, or None if no member tells them.
    """

    after: int
    answer: asyncio.Future[StoreItems | None]


class JointWatch:
    """Waits for changes of all prefixes at once.

    Attributes:
        wants: Who waits, by prefix.
        joined: Set while anybody waits.
        task: Asks for those who wait.

    Args:
        choose: Returns the next member to ask, or None if there is none.
        link: Returns the link to a member.
    """

    def __init__(
        self,
        choose: Callable[[], Member | None],
        link: Callable[[Member], RequestLink],
    ) -> None:
        self.choose = choose
        self.link = link
        self.wants: dict[str, Want] = {}
        self.joined = asyncio.Event()
        self.task: asyncio.Task | None = None

    async def wait(self, prefix: str, after: int) -> StoreItems | None:
        """Returns changes, perhaps none after a while; None if none tells."""
        answer = asyncio.get_running_loop().create_future()
        want = self.wants[prefix] = Want(after, answer)
        self.joined.set()
        if self.task is None:
            self.task = start_loop("wait for the store", self._serve())
        try:
            return await answer
        finally:
            if self.wants.get(prefix) is want:
                del self.wants[prefix]

    async def _serve(self) -> None:
        while True:
            await self.joined.wait()
            await asyncio.sleep(_JOIN_SECONDS)
            if self.wants:
                await self._ask_next(dict(self.wants))
            if not self.wants:
                self.joined.clear()

    async def _ask_next(self, asked: dict[str, Want]) -> None:
        """Asks the next member, and answers those who wait if it answers."""
        member = self.choose()
        if member is None:
            self._answer(asked, {})
            return
        ask = asyncio.create_task(self._ask(member, asked))
        self._look_soon(ask, member, asked)
        await asyncio.wait([ask])
        if not ask.cancelled():
            self._answer(asked, ask.result())

    def _look_soon(
        self, ask: asyncio.Task, member: Member, asked: dict[str, Want]
    ) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(_LOOK_SECONDS, self._look, ask, member, asked)

    def _look(
        self, ask: asyncio.Task, member: Member, asked: dict[str, Want]
    ) -> None:
        """Gives a wait up that tells nothing, or leaves somebody out."""
        if ask.done():
            return
        if self.link(member).failures:
            log_event("wait_given_up", keeper=member.name)
            ask.cancel()
        elif self.wants.keys() - asked.keys():
            ask.cancel()
        else:
            self._look_soon(ask, member, asked)

    async def _ask(
        self, member: Member, asked: dict[str, Want]
    ) -> dict[str, StoreItems]:
        """Returns what a member tells, by prefix."""
        after = {prefix: want.after for prefix, want in asked.items()}
        first = next(iter(after))
        message = StoreWatch(first, after.pop(first), WATCH_SECONDS, after)
        said = await self.link(member).ask(
            message, WATCH_SECONDS + _ANSWER_SECONDS
        )
        if not isinstance(said, StoreItems):
            return {}
        return {first: said, **said.others}

    def _answer(
        self, asked: dict[str, Want], told: dict[str, StoreItems]
    ) -> None:
        """Answers those who waited.

        One that the answer leaves out, though it tells of others, has to ask
        elsewhere.
        """
        for prefix, want in asked.items():
            if self.wants.get(prefix) is want:
                del self.wants[prefix]
            if not want.answer.done():
                want.answer.set_result(told.get(prefix))
