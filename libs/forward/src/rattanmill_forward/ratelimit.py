"""Admits callers' requests within the rate limits of their workspaces."""

from rattanmill_core import Reason, Refusal, refuse
from rattanmill_forward.calls import Call
from rattanmill_keeper import (
    RateClient,
    RateExceeded,
    RateLimit,
    Unsure,
)

# A caller that returns sooner finds the same state.
_MIN_RETRY_SECONDS = 0.05


class RateGuard:
    """Takes a token of the workspace's rate for each request.

    Args:
        rates: Borrows the tokens.
    """

    def __init__(self, rates: RateClient) -> None:
        self.rates = rates

    async def admit(self, call: Call, version: int) -> Refusal | None:
        """Takes a token; returns a refusal if there is none.

        Args:
            call: The request.
            version: Version of the configuration that sets the limit.
        """
        workspace = call.workspace
        if workspace is None or not workspace.requests_per_second:
            return None
        limit = RateLimit(
            workspace.name,
            workspace.requests_per_second,
            workspace.burst,
            version,
        )
        taken = await self.rates.take(
            limit, call.scoped(call.program), bool(call.previous_turn_id)
        )
        match taken:
            case RateExceeded(wait_seconds=seconds):
                return refuse(
                    Reason.RATE_LIMITED,
                    f"workspace {workspace.name} is at its limit of"
                    f" {workspace.requests_per_second:g} requests a second",
                    retry_after=max(_MIN_RETRY_SECONDS, round(seconds, 2)),
                )
            case Unsure(why=why):
                return refuse(Reason.RATE_UNKNOWN, why)
        call.rate_limit = limit
        call.rate_token = taken
        return None

    def give_back(self, call: Call) -> None:
        """Returns the token of a request that has not run."""
        if call.rate_token is not None:
            self.rates.give_back(call.rate_limit, call.rate_token)
            call.rate_token = None
