"""The two firms' workloads, made small enough for one machine.

Token counts and speeds are scaled so that a program takes seconds. A token
is four bytes.
"""

import math
import random
from collections.abc import Iterator

import msgspec

from support import EngineSpec, ServiceSpec
from support.stack import ALBA, CR_CENTRAL

_WORD = "house"
_BYTES_PER_TOKEN = 4


class Turn(msgspec.Struct):
    """One call of a program.

    Attributes:
        messages: New messages.
        output_tokens: Length of the answer.
        pause: Seconds of tool work after it.
        service: Whether the tool is a call of the plain service.
        sub_turns: Turns of a sub-agent that runs after it.
    """

    messages: list[dict]
    output_tokens: int
    pause: float
    service: bool = False
    sub_turns: list["Turn"] = msgspec.field(default_factory=list)


class ProgramPlan(msgspec.Struct):
    """A program to be run by the load generator."""

    klass: str
    workspace: str
    turns: list[Turn]


class Workload(msgspec.Struct):
    """A firm.

    Attributes:
        name: Short name.
        domains: Failure domains.
        engines: Model engines.
        services: Plain services.
        classes: Classes of work for the configuration.
        service: Name of the plain service.
        closed: Programs at a time that keep all engines busy.
    """

    name: str
    domains: tuple[str, ...]
    engines: list[EngineSpec]
    services: list[ServiceSpec]
    classes: dict[str, dict]
    service: str
    closed: int


def _engines(
    service: str, decodes: list[int], slots: int, cache_tokens: int
) -> list[EngineSpec]:
    return [
        EngineSpec(
            f"{service}-{number + 1}",
            number % 3,
            {
                "decode": decode,
                "prefill": decode * 50,
                "slots": slots,
                "cache_tokens": cache_tokens,
            },
            service,
        )
        for number, decode in enumerate(decodes)
    ]


def _services(service: str) -> list[ServiceSpec]:
    return [ServiceSpec(f"{service}-{n + 1}", n, service) for n in range(3)]


CALEDONIAN = Workload(
    "caledonian",
    ALBA,
    _engines("model-bank", [90, 80, 70, 60, 50, 40, 25], 4, 16_000),
    _services("index-office"),
    {
        "reconciliation": {"target_seconds": 20.0, "wasted_cache_share": 0.05},
        "commentary": {"target_seconds": 8.0, "wasted_cache_share": 0.1},
    },
    "index-office",
    56,
)
CARPA_LUNA = Workload(
    "carpa-luna",
    CR_CENTRAL,
    _engines("asistente-llm", [90, 80, 60, 50, 40, 20], 4, 16_000),
    _services("reservas-app"),
    {
        "booking": {"target_seconds": 6.0, "wasted_cache_share": 0.3},
        "planning": {"target_seconds": 16.0, "wasted_cache_share": 0.3},
    },
    "reservas-app",
    48,
)
WORKLOADS = {w.name: w for w in (CALEDONIAN, CARPA_LUNA)}


def programs(workload: Workload, seed: int) -> Iterator[ProgramPlan]:
    """Yields programs without end, the same ones for the same seed."""
    rng = random.Random(seed)
    make, every = (
        (_caledonian, 2) if workload is CALEDONIAN else (_carpa_luna, 4)
    )
    # One of every so many is long: drawn at random, their share, and with it
    # the load, would differ widely between seeds.
    while True:
        long = rng.randrange(every)
        for number in range(every):
            yield make(rng, number == long)


def _workspace(rng: random.Random, prefix: str, count: int) -> str:
    # A few large ones and many small ones.
    return f"{prefix}-{int(count * rng.random() ** 2)}"


def _text(rng: random.Random, tokens: int) -> str:
    mark = f"{rng.getrandbits(48):012x} "
    return mark + _WORD * (max(1, tokens * _BYTES_PER_TOKEN) // len(_WORD))


def _message(role: str, text: str) -> dict:
    return {"role": role, "content": text}


def _turns(
    rng: random.Random,
    count: int,
    tokens: tuple[int, int],
    output: tuple[int, int],
    pause: tuple[float, float],
) -> list[Turn]:
    return [
        Turn(
            [_message("user", _text(rng, rng.randint(*tokens)))],
            rng.randint(*output),
            rng.uniform(*pause),
        )
        for _ in range(count)
    ]


def _shared(name: str, tokens: int) -> str:
    return _text(random.Random(name), tokens)


def _caledonian(rng: random.Random, long: bool) -> ProgramPlan:
    """Long reconciliations over a district's returns, and commentaries."""
    district = rng.randrange(14)
    count = rng.randint(8, 16) if long else rng.randint(3, 5)
    turns = _turns(rng, count, (40, 160), (8, 24), (0.02, 0.2))
    context = _shared(f"district-{district}", 2500)
    turns[0].messages[:0] = [
        _message("system", _shared("caledonian", 100)),
        _message("user", context),
    ]
    turns[-1].service = True
    klass = "reconciliation" if long else "commentary"
    return ProgramPlan(klass, _workspace(rng, "branch", 8), turns)


def _carpa_luna(rng: random.Random, long: bool) -> ProgramPlan:
    """Short bookings, and long planning sessions with sub-agents."""
    count = rng.randint(8, 14) if long else rng.randint(3, 5)
    turns = _turns(rng, count, (20, 80), (8, 24), (0.02, 0.2))
    system = _message("system", _shared("carpa-luna", 400))
    turns[0].messages.insert(0, system)
    turns[1].service = True
    if long and rng.random() < 0.5:
        turns[count // 2].sub_turns = _turns(
            rng, 2, (20, 80), (8, 24), (0.02, 0.2)
        )
        turns[count // 2].sub_turns[0].messages.insert(0, system)
    klass = "planning" if long else "booking"
    return ProgramPlan(klass, _workspace(rng, "family", 12), turns)


def arrival_times(
    workload: Workload, rate: float, seconds: float, seed: int
) -> list[float]:
    """Returns when programs begin: at random, fuller in the middle.

    Their number is fixed, so that a run's load is the one that is asked for.
    """
    rng = random.Random(seed * 7919 + 1)
    crest = 1.2 if workload is CARPA_LUNA else 1.05
    low = (math.pi / 2 - crest) / (math.pi / 2 - 1)
    times: list[float] = []
    while len(times) < round(rate * seconds):
        # Half a sine over the run, with mean 1 and its top at ``crest``.
        at = rng.uniform(0, seconds)
        wave = low + (crest - low) * math.sin(math.pi * at / seconds)
        if rng.random() < wave / crest:
            times.append(at)
    return sorted(times)
