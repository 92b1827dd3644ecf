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
"""

from collections.abc import Iterable

import msgspec

# Members are asked for news each half second; a reply takes 0.1 s at most.
_CONTACT_SECONDS = 0.6
_AT_ONCE_SECONDS = 2 * _CONTACT_SECONDS
# Two instances and the opener each measure with that uncertainty.
_SAME_LOSS_SECONDS = 2 * _AT_ONCE_SECONDS + 3 * _CONTACT_SECONDS
# A member that was silent for longer is not only late.
_SILENT_SECONDS = 3.0


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
    """

    domain: str | None
    heard_at: float | None
    alone_at: float = float("-inf")
    may_have_lost_share: bool = False
    lost_run_heard_at: float | None = None
    was_unable: bool = False

    def update(
        self, heard_at: float, alone_at: float, may_have_lost_share: bool
    ) -> None:
        """Records a reply."""
        if may_have_lost_share and not self.may_have_lost_share:
            self.lost_run_heard_at = self.heard_at
            # The lost run may have been too new to grant alone.
            self.was_unable = heard_at < self.alone_at
        self.may_have_lost_share = may_have_lost_share
        self.alone_at = alone_at
        self.heard_at = heard_at

    def is_unable(self, now: float) -> bool:
        """Whether it can't have granted alone, and can't begin to."""
        if self.may_have_lost_share:
            return self.was_unable
        return now < self.alone_at

    @property
    def lost_at(self) -> float | None:
        """When the run that may have granted alone was last heard."""
        if self.may_have_lost_share:
            return self.lost_run_heard_at
        return self.heard_at

    def is_silent(self, now: float) -> bool:
        """Whether it has not replied for a while."""
        return self.heard_at is not None and (
            now - self.heard_at > _SILENT_SECONDS
        )

    def shifted(self, seconds: float, is_silent: bool) -> "Contact":
        """Returns this contact on another clock, to be kept over a restart.

        Args:
            seconds: What the other clock is ahead.
            is_silent: Whether it was silent. When one that was not silent was
                last heard is unknown after a restart.
        """
        heard_at = self.heard_at if is_silent else None
        return Contact(
            self.domain,
            None if heard_at is None else heard_at + seconds,
            self.alone_at + seconds,
            self.may_have_lost_share,
            None
            if self.lost_run_heard_at is None
            else self.lost_run_heard_at + seconds,
            self.was_unable,
        )


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
    if min(c.heard_at for c in known) < able_since + _AT_ONCE_SECONDS:
        return False
    domains = {contact.domain for contact in known}
    if len(domains) == 1 and None not in domains:
        return True
    able = [contact for contact in known if not contact.is_unable(now)]
    if any(contact.may_have_lost_share for contact in able):
        return False
    heard_at = [contact.heard_at for contact in known]
    return max(heard_at) - min(heard_at) <= _AT_ONCE_SECONDS


def count_beginners(lost_seconds: Iterable[float | None]) -> int:
    """Returns how many of these instances may have begun programs alone.

    Args:
        lost_seconds: For how long each may have been lost; None if unknown.
    """
    all_lost = list(lost_seconds)
    known = [seconds for seconds in all_lost if seconds is not None]
    at_once = (
        sum(last <= seconds <= last + _SAME_LOSS_SECONDS for seconds in known)
        for last in known
    )
    unknown = len(all_lost) - len(known)
    return unknown + max(at_once, default=0)
