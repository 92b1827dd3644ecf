"""Rate limits of workspaces over all front ends.

One storage instance, the first in a workspace's order, holds the workspace's
token bucket and lends tokens to front ends for a short time. The others forward
to it, and lend from a part of the rate if it does not reply.
"""

import math

import msgspec

from rattanmill_core import RateBounds, log_event, loop_seconds
from rattanmill_keeper.members import Member, Members
from rattanmill_keeper.messages import RateGranted, TakeRate

# In a system with a single failure domain.
_MIN_STAND_IN_SHARE = 0.5
# Parts of the permitted excess: for a larger burst, for what an instance has at
# its start, and for tokens that are used some time after they were lent. The
# rest is for the time in which two instances lend.
_BURST_SLACK_SHARE = 0.6
_START_SLACK_SHARE = 0.2
_LOAN_SLACK_SHARE = 0.2
_MIN_LOAN_SECONDS = 0.3
_MAX_LOAN_SECONDS = 2.0
# Part of the burst that only programs that have begun may use. A program that
# is refused midway has used endpoints to no end.
_BEGUN_SHARE = 0.5
# Below this part of the burst, tokens are lent only to requests that wait.
_SPARE_SHARE = 0.7
_FORWARD_TIMEOUT_SECONDS = 0.1
# Larger than the number of workspaces in use; an unused bucket is soon full.
_MAX_BUCKETS = 20_000


class Bucket(msgspec.Struct):
    """Token bucket of one workspace.

    Attributes:
        per_second: Tokens added per second.
        burst: Tokens that it holds at most.
        version: Version of the configuration that sets these.
        level: Tokens in it.
        updated_at: Loop time for which ``level`` holds.
    """

    per_second: float
    burst: float
    version: int
    level: float
    updated_at: float

    def refill(self, now: float, share: float) -> None:
        """Adds the tokens for the time that has passed.

        Args:
            now: Loop time.
            share: Part of the rate and of the burst that applies.
        """
        added = (now - self.updated_at) * self.per_second * share
        self.level = min(self.level + added, self.burst * share)
        self.updated_at = now

    def take(self, wanted: int, reserve: float) -> int:
        """Takes up to ``wanted`` tokens and leaves a reserve."""
        taken = max(0, min(wanted, math.floor(self.level - reserve)))
        self.level -= taken
        return taken

    def seconds_until(self, level: float, share: float) -> float:
        """Returns the seconds until it holds ``level`` tokens."""
        missing = max(0.0, level - self.level)
        return missing / (self.per_second * share)


def loan_seconds(per_second: float, burst: float, bounds: RateBounds) -> float:
    """Returns for how long a front end may use the tokens that it was lent.

    Tokens lent before a window and used in it come on top of what the bucket
    yields in the window: at most the rate times this duration.
    """
    within_window = per_second * bounds.window_seconds + burst
    excess = bounds.overage * within_window + bounds.slack * _LOAN_SLACK_SHARE
    seconds = excess / per_second
    return max(_MIN_LOAN_SECONDS, min(seconds, _MAX_LOAN_SECONDS))


def lend(
    bucket: Bucket, request: TakeRate, share: float, bounds: RateBounds
) -> RateGranted:
    """Decides on a request for tokens.

    Programs that have begun go first; new ones are admitted while a reserve is
    left for these. Spare tokens are lent while there are plenty.
    """
    burst = bucket.burst * share
    reserve = burst * _BEGUN_SHARE if burst >= 2 else 0.0
    begun = bucket.take(request.begun, 0.0)
    new = bucket.take(request.new, reserve)
    spare = bucket.take(request.spare, max(reserve, burst * _SPARE_SHARE))
    return RateGranted(
        begun,
        new,
        spare,
        loan_seconds(bucket.per_second, bucket.burst, bounds),
        bucket.seconds_until(1.0, share),
        bucket.seconds_until(reserve + 1.0, share),
    )


class RateLender:
    """Lends tokens of workspaces' buckets to front ends.

    Attributes:
        buckets: Buckets by workspace.
        shares: Part of each workspace's rate that was lent last.
        started_at: Loop time of the start.

    Args:
        name: Name of this instance.
        domain: Its failure domain.
        members: The storage instances.
        bounds: By how much rates may be exceeded.
    """

    def __init__(
        self,
        name: str,
        domain: str,
        members: Members,
        bounds: RateBounds,
    ) -> None:
        self.name = name
        self.domain = domain
        self.members = members
        self.bounds = bounds
        self.started_at = loop_seconds()
        self.buckets: dict[str, Bucket] = {}
        self.shares: dict[str, float] = {}

    async def take(self, request: TakeRate) -> RateGranted:
        """Returns the tokens that are lent for a request."""
        if not request.is_forwarded:
            for member in self._members_before(request.workspace):
                granted = await self._forward(member, request)
                if granted is not None:
                    return granted
        return self.lend_here(request)

    async def _forward(
        self, member: Member, request: TakeRate
    ) -> RateGranted | None:
        link = self.members.link(member)
        if link.failures:
            return None
        forwarded = msgspec.structs.replace(request, is_forwarded=True)
        reply = await link.ask(forwarded, _FORWARD_TIMEOUT_SECONDS)
        return reply if isinstance(reply, RateGranted) else None

    def lend_here(self, request: TakeRate) -> RateGranted:
        """Lends tokens of this instance's bucket."""
        share = self._share(request.workspace)
        bucket = self._bucket(request, share)
        bucket.refill(loop_seconds(), share)
        granted = lend(bucket, request, share, self.bounds)
        if granted.begun < request.begun or granted.new < request.new:
            log_event(
                "rate_exceeded",
                workspace=request.workspace,
                per_second=bucket.per_second,
                share=round(share, 2),
                begun=request.begun - granted.begun,
                new=request.new - granted.new,
            )
        return granted

    def _members_before(self, workspace: str) -> list[Member]:
        order = self.members.lenders(workspace)
        names = [member.name for member in order]
        at = names.index(self.name) if self.name in names else len(names)
        return order[:at]

    def _share(self, workspace: str) -> float:
        """Returns the part of the rate that this instance may lend.

        Each failure domain that does not reply may be partitioned, and lends
        its own part then.
        """
        order = self.members.lenders(workspace)
        domains = {member.domain for member in order} | {self.domain}
        reached = {self.domain} | {
            member.domain
            for member in order
            if not self.members.link(member).failures
        }
        share = len(reached) / len(domains)
        if order and order[0].name != self.name:
            # The first one may be cut off alone, and lend the part of a domain.
            share = min(share, max(1 - 1 / len(domains), _MIN_STAND_IN_SHARE))
        if self.shares.get(workspace, 1.0) != share:
            log_event("rate_share", workspace=workspace, share=round(share, 2))
        self.shares[workspace] = share
        return share

    def _bucket(self, request: TakeRate, share: float) -> Bucket:
        bucket = self.buckets.get(request.workspace)
        if bucket is None:
            if len(self.buckets) >= _MAX_BUCKETS:
                self.buckets.pop(next(iter(self.buckets)))
            bucket = self._new_bucket(request)
            self.buckets[request.workspace] = bucket
        elif request.version > bucket.version:
            bucket.refill(loop_seconds(), share)
            bucket.per_second = request.per_second
            bucket.burst = self._burst(request)
            bucket.version = request.version
        return bucket

    def _burst(self, request: TakeRate) -> float:
        return max(1.0, request.burst + self.bounds.slack * _BURST_SLACK_SHARE)

    def _new_bucket(self, request: TakeRate) -> Bucket:
        """Creates a bucket, not full: another instance may just have lent."""
        burst = self._burst(request)
        now = loop_seconds()
        level = self.bounds.slack * _START_SLACK_SHARE
        if not self._members_before(request.workspace):
            # The others forward to this instance since it started.
            level += request.per_second * (now - self.started_at)
        return Bucket(
            request.per_second, burst, request.version, min(level, burst), now
        )
