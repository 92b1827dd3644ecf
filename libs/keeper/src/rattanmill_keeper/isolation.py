"""Which instances may have granted tokens alone to programs unknown to them.

An instance that reaches no other begins programs alone. Any of them may have
been continued elsewhere by the time at which an account is opened for it, so
the opener sets a part of the budget aside for each instance that may have done
so and can't be asked. With parts for two the smallest budgets hold no further
turn. So only an instance that lost all others at once begins programs alone:
if one of them was lost earlier, that one may have done so, too.

Of two instances that both lost all others at once, each lost the other one at
that time, and a third one lost both then. So an opener that lost two at
different times counts one of them.

Two instances were last in contact when the newest request for news was sent
that had a reply, whichever of them sent it. Neither knows that time exactly,
but each knows an interval that contains it: it lies after its own newest
request that had a reply, and before the first one that had none, or before the
newest one that it served, if that came later. Polls may take any time: slow
ones make the interval longer, and what it does not show counts against it.
"""

from collections.abc import Iterable

import msgspec

# The next poll and its timeout show a loss sooner than this, even under load.
# An instance that takes longer to notice one begins no programs.
_AT_ONCE_SECONDS = 3.0
# A member that was silent for longer is not only late.
_SILENT_SECONDS = 3.0
# After a start, an instance that has not been heard by then is lost.
_SETTLED_SECONDS = 10.0


class Loss(msgspec.Struct, frozen=True, array_like=True):
    """When an instance was lost, and what it may have granted alone before.

    Attributes:
        heard: Seconds since when it may have been lost.
        noticed: Seconds since when it was certainly lost.
        has_begun: Whether it had begun programs alone in an earlier isolation.
    """

    heard: float
    noticed: float = 0.0
    has_begun: bool = False

    def merge(self, other: "Loss") -> "Loss":
        """Returns when both of two instances had lost it."""
        return Loss(
            min(self.heard, other.heard),
            min(self.noticed, other.noticed),
            self.has_begun or other.has_begun,
        )

    def is_at(self, seconds: float) -> bool:
        """Whether it may have lost all others at once, about then."""
        return (
            self.noticed - _AT_ONCE_SECONDS
            <= seconds
            <= self.heard + _AT_ONCE_SECONDS
        )


class Contact(msgspec.Struct):
    """What an instance last heard of another one.

    Attributes:
        domain: Failure domain of the other one; None if only a third instance
            heard it.
        heard_at: Loop time of the newest request that had a reply; None if
            that was before this process started, at an unknown time.
        alone_at: Loop time from which it may grant alone.
        may_have_lost_share: Whether the other one may have granted alone on a
            disk that was lost since.
        lost_run_heard_at: ``heard_at`` before that disk was lost, if it was
            heard then.
        was_unable: Whether the run with that disk can't have granted alone.
        missed_at: Loop time at which the first request after the newest reply
            turned out to have none; None if there was no such request.
        asked_at: Loop time of the newest request that it sent.
        asked_run: Run of the process that sent it.
        asked_before_at: Loop time of the newest request of an earlier run.
        lost_run_noticed_at: When the run with the lost disk was certainly lost.
        has_begun: Whether it had begun programs alone lately, as it said, that
            this instance has not been told yet.
        is_closed: Whether it begins none any more, as it said.
    """

    domain: str | None
    heard_at: float | None
    alone_at: float = float("-inf")
    may_have_lost_share: bool = False
    lost_run_heard_at: float | None = None
    was_unable: bool = False
    missed_at: float | None = None
    asked_at: float | None = None
    asked_run: str = ""
    asked_before_at: float | None = None
    lost_run_noticed_at: float | None = None
    has_begun: bool = False
    is_closed: bool = False

    def update(self, reply: "Contact", run: str, now: float) -> None:
        """Records a reply.

        Args:
            reply: Contact as the reply alone shows it.
            run: Run of the process that replied.
            now: Loop time.
        """
        if reply.may_have_lost_share and not self.may_have_lost_share:
            self.lost_run_heard_at = self.heard_at
            self.lost_run_noticed_at = self._earlier_run_noticed_at(run, now)
            # The lost run may have been too new to grant alone.
            self.was_unable = self.is_unable(reply.heard_at)
        self.may_have_lost_share = reply.may_have_lost_share
        self.alone_at = reply.alone_at
        self.is_closed = reply.is_closed
        self.heard_at = reply.heard_at
        self.missed_at = None
        # What a lost disk had shown of it still holds.
        is_lost = reply.may_have_lost_share and self.has_begun
        self.has_begun = reply.has_begun or is_lost

    def record_asked(self, run: str, now: float) -> None:
        """Records a request of the other one."""
        if run != self.asked_run:
            self.asked_before_at = self.asked_at
            self.asked_run = run
        self.asked_at = now

    def _earlier_run_noticed_at(self, run: str, now: float) -> float:
        """Returns when the run before the one that replied was surely lost."""
        if self.missed_at is None:
            return now
        is_same = run == self.asked_run
        asked_at = self.asked_before_at if is_same else self.asked_at
        return _later(self.missed_at, asked_at)

    def noticed_at(self, now: float) -> float:
        """Returns a loop time at which it was certainly lost, or now."""
        if self.missed_at is None:
            return now
        return _later(self.missed_at, self.asked_at)

    def loss(self, now: float) -> Loss | None:
        """Returns when the run that may have granted alone was lost."""
        if self.lost_at is None:
            return None
        noticed_at = self.noticed_at(now)
        if self.may_have_lost_share:
            known = self.lost_run_noticed_at
            noticed_at = now if known is None else known
        return Loss(now - self.lost_at, now - noticed_at, self.has_begun)

    def is_unable(self, now: float) -> bool:
        """Whether it can't have granted alone, and can't begin to."""
        if self.may_have_lost_share:
            return self.was_unable
        is_able = now >= self.alone_at and not self.is_closed
        return not (is_able or self.has_begun)

    @property
    def lost_at(self) -> float | None:
        """When the run that may have granted alone was last heard."""
        if self.may_have_lost_share:
            return self.lost_run_heard_at
        return self.heard_at

    def is_silent(self, now: float) -> bool:
        """Whether it has neither replied nor asked for a while."""
        if self.heard_at is None:
            return False
        return now - _later(self.heard_at, self.asked_at) > _SILENT_SECONDS

    def shifted(self, seconds: float, is_silent: bool) -> "Contact":
        """Returns this contact on another clock, to be kept over a restart.

        Args:
            seconds: What the other clock is ahead.
            is_silent: Whether it was silent. When one that was not silent was
                last heard is unknown after a restart.
        """

        def shift(at: float | None) -> float | None:
            return None if at is None else at + seconds

        return msgspec.structs.replace(
            self,
            heard_at=shift(self.heard_at) if is_silent else None,
            alone_at=self.alone_at + seconds,
            lost_run_heard_at=shift(self.lost_run_heard_at),
            missed_at=shift(self.missed_at),
            asked_at=shift(self.asked_at),
            asked_before_at=shift(self.asked_before_at),
            lost_run_noticed_at=shift(self.lost_run_noticed_at),
        )

    def may_have_begun(self) -> bool:
        """Whether it may have begun programs alone before it was heard last."""
        if self.may_have_lost_share:
            return not self.was_unable
        return self.has_begun


def _later(at: float, other_at: float | None) -> float:
    return at if other_at is None else max(at, other_at)


def may_begin(
    contacts: list[Contact | None], able_since: float, now: float
) -> bool:
    """Whether an instance that reaches no other may begin programs alone.

    If all others are in one failure domain, either of the two domains may be
    cut off, and the callers of one of them would not be served. So instances
    begin programs on both sides, and openers count each of them.

    Args:
        contacts: Contact with each other instance that may exist, or None if
            there was none since this instance started.
        able_since: Loop time from which this instance may grant alone. The
            others must have heard of that.
        now: Loop time.
    """
    if not any(contacts):
        return True
    known = [
        contact
        for contact in contacts
        if contact is not None and contact.heard_at is not None
    ]
    if len(known) < len(contacts):
        return False
    first_at = min(contact.heard_at for contact in known)
    if first_at < able_since + _AT_ONCE_SECONDS:
        return False
    if are_in_one_domain(contacts):
        return True
    able = [contact for contact in known if not contact.is_unable(now)]
    if any(contact.may_have_lost_share for contact in able):
        return False
    # The others may not know of one that was isolated before.
    if any(contact.has_begun for contact in able):
        return False
    noticed_at = max(contact.noticed_at(now) for contact in known)
    return noticed_at - first_at <= _AT_ONCE_SECONDS


def are_in_one_domain(contacts: Iterable[Contact | None]) -> bool:
    """Whether all of these instances are in one failure domain, as known."""
    domains = {contact.domain if contact else None for contact in contacts}
    return len(domains) == 1 and None not in domains


def list_beginners(
    contacts: dict[str, Contact | None],
    lapsed: set[str],
    running_seconds: float,
) -> list[str]:
    """Returns which others may have begun programs alone that still go on.

    None if all of them are in one failure domain, see ``may_begin``. One that
    was lost a moment ago is not among them: it may have lost all others at
    once, and so may this instance.

    Args:
        contacts: Contact with each other instance that may exist, by name.
        lapsed: Those whose registration has expired.
        running_seconds: Since when this process has been running. It hears
            others only a moment later.
    """
    if are_in_one_domain(contacts.values()):
        return []
    is_settled = running_seconds > _SETTLED_SECONDS
    return sorted(
        name
        for name, contact in contacts.items()
        if name in lapsed
        or (contact is not None and contact.may_have_begun())
        or (is_settled and (contact is None or contact.heard_at is None))
    )


def merge_losses(told: Iterable[dict[str, Loss] | None]) -> dict[str, Loss]:
    """Returns when each instance was lost by all that tell, by name.

    Nothing is known if one does not tell: it may have heard any of them last.
    """
    merged: dict[str, Loss] = {}
    for losses in told:
        if losses is None:
            return {}
        for name, loss in losses.items():
            merged[name] = loss.merge(merged.get(name, loss))
    return merged


def count_beginners(losses: Iterable[Loss | None]) -> int:
    """Returns how many of these instances may have begun programs alone.

    One that had begun programs in an earlier isolation may have done so when
    any other one did.

    Args:
        losses: When each was lost; None if unknown.
    """
    all_losses = list(losses)
    known = [loss for loss in all_losses if loss and not loss.has_begun]
    # Most intervals overlap where one of them begins.
    at_once = (
        sum(loss.is_at(other.noticed - _AT_ONCE_SECONDS) for loss in known)
        for other in known
    )
    return len(all_losses) - len(known) + max(at_once, default=0)
