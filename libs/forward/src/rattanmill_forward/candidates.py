"""Decides which endpoints are compared for a call.

All front ends of a failure domain have the same load reports, up to 0.3 s old.
If each chose the best endpoint of all, they would send their calls to the same
few until the next reports, which would then have long queues while others are
idle. The better one of a few random endpoints is nearly as good, and different
for each call. One that has the prompt cached is compared too, since reading a
long prompt takes longer than waiting for a slot usually does.
"""

import random
from collections.abc import Sequence

from rattanmill_forward.endpoints import Endpoint

_LOCAL_COUNT = 2
_RANDOM_COUNT = 3


def draw_candidates(
    endpoints: Sequence[Endpoint],
    own_domain: str,
    cached_tokens: Sequence[int],
) -> list[Endpoint]:
    """Returns the endpoints to be compared.

    These are two random ones of the own domain and one of all other domains
    together, or more of the others if the own domain has fewer than two. The
    one that has most of the prompt cached is added if it has more of it than
    each of these; among equals, a random one.

    Args:
        endpoints: Endpoints that may get the call.
        own_domain: Failure domain of this front end.
        cached_tokens: Prompt tokens that each of them should have cached.
    """
    local, remote = [], []
    for index, endpoint in enumerate(endpoints):
        (local if endpoint.domain == own_domain else remote).append(index)
    drawn = _sample(local, _LOCAL_COUNT)
    drawn += _sample(remote, _RANDOM_COUNT - len(drawn))
    most = max(cached_tokens, default=0)
    if all(cached_tokens[index] < most for index in drawn):
        best = [i for i, tokens in enumerate(cached_tokens) if tokens == most]
        drawn += _sample(best, 1)
    return [endpoints[index] for index in drawn]


def _sample(indices: list[int], count: int) -> list[int]:
    return random.sample(indices, min(count, len(indices)))
