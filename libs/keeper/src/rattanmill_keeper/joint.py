"""One watch request to a storage instance for several prefixes of the store.

A front end watches a few prefixes. With a request for each of them, it sent
requests twice as often as there is something to report.
"""

import asyncio
from collections.abc import Callable

import msgspec

from rattanmill_core import log_event, start_loop
from rattanmill_keeper.members import Member
from rattanmill_keeper.messages import StoreItems, StoreWatch, Unsure
from rattanmill_wire import RequestLink

# Short, since a member may be stale without knowing it, and the next one then
# reports what it lacks. An endpoint must get no calls two seconds after it has
# announced that it leaves.
WATCH_SECONDS = 0.5
_REPLY_TIMEOUT_SECONDS = 0.4
# Waiters whose requests were answered together send the next one together.
_JOIN_SECONDS = 0.01
# A request to a member that leaves a ping or another request unanswered is
# given up within this time, and not only after the request's own timeout.
_CHECK_SECONDS = 0.2


class Waiter(msgspec.Struct):
    """A caller that waits for changes of a prefix.

    Attributes:
        after: Revision up to which the changes are known.
        reply: Gets the changes, ``Unsure`` if the member does not know them,
            or None if it does not reply.
    """

    after: int
    reply: asyncio.Future[StoreItems | Unsure | None]


class JointWatch:
    """Watches several prefixes with one request at a time.

    Attributes:
        waiters: Waiters by prefix.
        has_waiters: Set while there are any.
        task: Sends the requests.

    Args:
        choose: Returns the next member to use, or None if there is none.
        link: Returns the link to a member.
    """

    def __init__(
        self,
        choose: Callable[[], Member | None],
        link: Callable[[Member], RequestLink],
    ) -> None:
        self.choose = choose
        self.link = link
        self.waiters: dict[str, Waiter] = {}
        self.has_waiters = asyncio.Event()
        self.task: asyncio.Task | None = None

    async def wait(self, prefix: str, after: int) -> StoreItems | Unsure | None:
        """Waits for changes of a prefix.

        Returns:
            The changes, none of them after a timeout; ``Unsure`` if the member
            that was asked does not know them; None if no member replies.
        """
        reply = asyncio.get_running_loop().create_future()
        waiter = self.waiters[prefix] = Waiter(after, reply)
        self.has_waiters.set()
        if self.task is None:
            self.task = start_loop("watch of the store", self._serve())
        try:
            return await reply
        finally:
            if self.waiters.get(prefix) is waiter:
                del self.waiters[prefix]

    async def _serve(self) -> None:
        while True:
            await self.has_waiters.wait()
            await asyncio.sleep(_JOIN_SECONDS)
            if self.waiters:
                await self._ask_next(dict(self.waiters))
            if not self.waiters:
                self.has_waiters.clear()

    async def _ask_next(self, waiters: dict[str, Waiter]) -> None:
        """Sends a request to the next member and resolves the waiters."""
        member = self.choose()
        if member is None:
            self._resolve(waiters, {})
            return
        request = asyncio.create_task(self._ask(member, waiters))
        self._schedule_check(request, member, waiters)
        await asyncio.wait([request])
        if not request.cancelled():
            self._resolve(waiters, request.result())

    def _schedule_check(
        self, request: asyncio.Task, member: Member, waiters: dict[str, Waiter]
    ) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(_CHECK_SECONDS, self._check, request, member, waiters)

    def _check(
        self, request: asyncio.Task, member: Member, waiters: dict[str, Waiter]
    ) -> None:
        """Cancels a request to an unresponsive member, or without new waiters.

        New waiters are those that came after the request was sent.
        """
        if request.done():
            return
        if self.link(member).failures:
            log_event("wait_given_up", keeper=member.name)
            request.cancel()
        elif self.waiters.keys() - waiters.keys():
            request.cancel()
        else:
            self._schedule_check(request, member, waiters)

    async def _ask(
        self, member: Member, waiters: dict[str, Waiter]
    ) -> dict[str, StoreItems | Unsure]:
        """Returns what a member reports of changes, by prefix."""
        after = {prefix: waiter.after for prefix, waiter in waiters.items()}
        first = next(iter(after))
        message = StoreWatch(first, after.pop(first), WATCH_SECONDS, after)
        reply = await self.link(member).ask(
            message, WATCH_SECONDS + _REPLY_TIMEOUT_SECONDS
        )
        if isinstance(reply, Unsure):
            return dict.fromkeys(waiters, reply)
        if not isinstance(reply, StoreItems):
            return {}
        unknown = Unsure("the member does not know the changes")
        return {**dict.fromkeys(after, unknown), **reply.others, first: reply}

    def _resolve(
        self,
        waiters: dict[str, Waiter],
        replies: dict[str, StoreItems | Unsure],
    ) -> None:
        """Resolves waiters with the replies for their prefixes.

        A waiter whose prefix is not in the replies has to ask elsewhere.
        """
        for prefix, waiter in waiters.items():
            if self.waiters.get(prefix) is waiter:
                del self.waiters[prefix]
            if not waiter.reply.done():
                waiter.reply.set_result(replies.get(prefix))
