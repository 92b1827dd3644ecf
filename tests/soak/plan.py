"""What goes wrong in a run, drawn from its seed."""

import enum
import random

import msgspec

from support.site import DOMAINS, process_name

# Time that a storage instance with an empty disk has to fetch what it lost,
# before the next one may lose its disk.
_CATCH_UP_SECONDS = 12.0
_SERIES_MOST = 4


class Kind(enum.StrEnum):
    """Kinds of faults; each ends by itself after its time."""

    KILL = "kill"
    TERMINATE = "terminate"
    FREEZE = "freeze"
    HANG_UP = "hang_up"
    WIPE = "wipe"
    POWER = "power"
    CUT = "cut"
    CUT_FORTH = "cut_forth"
    CUT_BACK = "cut_back"
    DELAY = "delay"
    RESET = "reset"
    STORE_CUT = "store_cut"
    STORE_DOWN = "store_down"
    STORE_SILENT = "store_silent"
    STORE_LOSES = "store_loses"
    STORE_FORGETS = "store_forgets"
    WATCHES_SILENT = "watches_silent"
    RUNNER_KILL = "runner_kill"
    RUNNER_FREEZE = "runner_freeze"
    RUNNER_FAULT = "runner_fault"
    CONFIGURE = "configure"
    RUNNER_SHARE = "runner_share"
    CUT_AND_WIPE = "cut_and_wipe"
    POWER_AND_WIPE = "power_and_wipe"
    POWER_OF_ONE = "power_of_one"


# Kinds with generators of their own. The others are drawn one after the other;
# a further one among them would change the plans of all seeds.
KINDS_DRAWN_APART = (
    Kind.RUNNER_SHARE,
    Kind.CUT_AND_WIPE,
    Kind.POWER_AND_WIPE,
    Kind.POWER_OF_ONE,
)
_SERIAL_KINDS = tuple(kind for kind in Kind if kind not in KINDS_DRAWN_APART)
LOST_DISKS = (Kind.WIPE, Kind.CUT_AND_WIPE, Kind.POWER_AND_WIPE)
_OF_PROCESSES = (Kind.KILL, Kind.TERMINATE, Kind.FREEZE, Kind.HANG_UP)
_OF_LINKS = (Kind.CUT, Kind.CUT_FORTH, Kind.CUT_BACK, Kind.DELAY, Kind.RESET)
_RUNNER_FAULTS = ("shed", "mute", "cut", "extra", "foreign", "unframed_reset")
_LLM_RUNNERS = tuple(f"llm-{i}" for i in range(len(DOMAINS)))
_DESK_RUNNERS = tuple(f"desk-{i}" for i in range(len(DOMAINS)))
_DESK_FAULTS = ("error", "cut", "mute", "unframed_reset")
# Answers that break off in a way that their framing shows.
_CUTS = ("cut", "cut_between")
_ENDS = ("unframed_cut", "unframed", "ended_within")
# Answers that end early in an orderly way, whatever their heads leave out.
_EARLY_ENDS = (
    "first_empty",
    "first_unframed_empty",
    "first_unframed_comment_cut",
    "first_unframed_crlf_cut",
    "first_untyped_unframed_empty",
    "first_untyped_unframed_cut",
    "first_untyped_ended_within",
)
_FAILURES = ("error", "resumed_error")
_OTHER_FAULTS = (
    "mute",
    "resumed_restart",
    "resumed_skip",
    "resumed_repeat",
    "resumed_unnumbered",
    "resumed_other",
    "resumed_cut",
)


class Scale(msgspec.Struct, frozen=True):
    """How large a run is.

    Attributes:
        seconds: How long faults come.
        fronts: Fronts in each failure domain.
        keepers: Storage instances in each.
        callers: Programs at a time.
        resumers: Programs of streams that may be resumed, at a time.
    """

    seconds: float = 25.0
    fronts: int = 1
    keepers: int = 1
    callers: int = 6
    resumers: int = 4


class Fault(msgspec.Struct, frozen=True):
    """One fault.

    Attributes:
        at: Seconds after the start.
        kind: What goes wrong.
        target: Process, failure domain, or nothing for the store.
        seconds: How long.
        other: The domain at the other end of a link, or a runner's fault.
        share: Share of a runner's requests that have one of its faults.
        faults: The faults of that share.
    """

    at: float
    kind: Kind
    target: str = ""
    seconds: float = 0.0
    other: str = ""
    share: float = 0.0
    faults: tuple[str, ...] = ()


def draw_plan(seed: int, scale: Scale) -> list[Fault]:
    """Returns the faults of a seed, in order of time."""
    serial = draw_serial_faults(seed, scale)
    cuts = draw_cuts_with_lost_disks(seed, scale, serial)
    plan = [
        *serial,
        *cuts,
        *draw_power_losses(seed, scale, [*serial, *cuts]),
        *draw_endpoint_faults(seed, scale),
        *draw_early_ends(seed, scale),
    ]
    return sorted(plan, key=lambda fault: fault.at)


def draw_cuts_with_lost_disks(
    seed: int, scale: Scale, serial: list[Fault]
) -> list[Fault]:
    """Returns times in which a domain is cut off and one of its disks lost.

    They are drawn apart, so that the other faults of a seed stay as they were,
    and keep away from the lost disks among these.
    """
    rng = random.Random(f"{seed}/cuts with lost disks")
    wipes = [fault for fault in serial if fault.kind is Kind.WIPE]
    plan: list[Fault] = []
    at = 1.0
    while at < scale.seconds:
        seconds = rng.uniform(3.0, 6.0)
        name = process_name(
            "storage", rng.choice(DOMAINS), rng.randint(1, scale.keepers)
        )
        fault = Fault(at, Kind.CUT_AND_WIPE, name, seconds)
        if not any(_are_close(fault, wipe) for wipe in wipes):
            plan.append(fault)
            at += _CATCH_UP_SECONDS
        at += seconds
    return plan


def draw_power_losses(
    seed: int, scale: Scale, others: list[Fault]
) -> list[Fault]:
    """Returns power losses of single instances, and of all with a lost disk.

    Args:
        seed: Decides them, apart from the other faults.
        scale: How large the run is.
        others: The other faults; lost disks keep away from theirs.
    """
    rng = random.Random(f"{seed}/power losses")
    lost = [fault for fault in others if fault.kind in LOST_DISKS]
    plan: list[Fault] = []
    at = 1.0
    while at < scale.seconds:
        seconds = rng.uniform(0.3, 3.0)
        name = process_name(
            "storage", rng.choice(DOMAINS), rng.randint(1, scale.keepers)
        )
        fault = Fault(at, Kind.POWER_AND_WIPE, name)
        if any(_are_close(fault, other) for other in lost):
            fault = Fault(at, Kind.POWER_OF_ONE, name, seconds)
        else:
            lost.append(fault)
        plan.append(fault)
        at += seconds + rng.expovariate(1 / 4.0)
    return plan


def _are_close(one: Fault, other: Fault) -> bool:
    """Whether two disks would be lost before the first one is filled again."""
    first, second = sorted((one, other), key=lambda fault: fault.at)
    return second.at < first.at + first.seconds + _CATCH_UP_SECONDS


def draw_endpoint_faults(seed: int, scale: Scale) -> list[Fault]:
    """Returns faults of several endpoints at the same time.

    Each endpoint breaks off some answers and fails in others meanwhile, as only
    the two together show what later attempts of a stream are joined to.
    """
    rng = random.Random(f"{seed}/endpoints")
    plan: list[Fault] = []
    at = 1.0
    while at < scale.seconds:
        names = rng.sample(_LLM_RUNNERS, rng.randint(2, 3))
        names += rng.sample(_DESK_RUNNERS, rng.randint(0, 2))
        plan += [_draw_share(rng, name, at) for name in names]
        at += rng.expovariate(1 / 3.0)
    return plan


def _draw_share(rng: random.Random, name: str, at: float) -> Fault:
    if name.startswith("llm"):
        one_each = (rng.choice(of) for of in (_CUTS, _ENDS, _FAILURES))
        faults = (*one_each, *rng.sample(_OTHER_FAULTS, 2))
    else:
        faults = tuple(rng.sample(_DESK_FAULTS, 2))
    return Fault(
        at + rng.uniform(0.0, 1.0),
        Kind.RUNNER_SHARE,
        name,
        rng.uniform(2.0, 6.0),
        share=rng.uniform(0.2, 0.6),
        faults=faults,
    )


def draw_early_ends(seed: int, scale: Scale) -> list[Fault]:
    """Returns times in which engines end some streams early.

    They are drawn apart, so that the other faults of a seed stay as they were.
    """
    rng = random.Random(f"{seed}/early ends")
    plan: list[Fault] = []
    at = 1.0
    while at < scale.seconds:
        plan.append(
            Fault(
                at,
                Kind.RUNNER_SHARE,
                rng.choice(_LLM_RUNNERS),
                rng.uniform(2.0, 6.0),
                share=rng.uniform(0.1, 0.3),
                faults=tuple(rng.sample(_EARLY_ENDS, 3)),
            )
        )
        at += rng.expovariate(1 / 2.0)
    return plan


def draw_serial_faults(seed: int, scale: Scale) -> list[Fault]:
    """Returns the faults that come one by one or in series, in order of time.

    They come in series and overlap. Only one disk at a time is lost, as the
    settings say may be; all else may happen to any number.
    """
    rng = random.Random(seed)
    plan: list[Fault] = []
    at, may_wipe_at = 1.0, 0.0
    while at < scale.seconds:
        kind = rng.choice(_SERIAL_KINDS)
        if kind is Kind.WIPE and at < may_wipe_at:
            continue
        count = rng.randint(2, _SERIES_MOST) if rng.random() < 0.2 else 1
        if kind in (Kind.WIPE, Kind.POWER):
            count = 1
        one = _draw(rng, kind, at, scale)
        if kind is Kind.WIPE:
            may_wipe_at = at + one.seconds + _CATCH_UP_SECONDS
        plan += [_later(one, number * 0.7) for number in range(count)]
        at += rng.expovariate(1 / 1.5)
    return sorted(plan, key=lambda fault: fault.at)


def _later(fault: Fault, seconds: float) -> Fault:
    return msgspec.structs.replace(fault, at=fault.at + seconds)


def _draw(rng: random.Random, kind: Kind, at: float, scale: Scale) -> Fault:
    seconds = rng.uniform(0.3, 4.0)
    place = rng.choice(DOMAINS)
    if kind in _OF_PROCESSES:
        role = rng.choice(("front", "storage"))
        count = scale.fronts if role == "front" else scale.keepers
        target = process_name(role, place, rng.randint(1, count))
        return Fault(at, kind, target, seconds)
    if kind is Kind.WIPE:
        name = process_name("storage", place, rng.randint(1, scale.keepers))
        return Fault(at, kind, name, seconds)
    if kind in _OF_LINKS:
        other = rng.choice([d for d in DOMAINS if d != place])
        return Fault(at, kind, place, seconds, other)
    if kind in (Kind.RUNNER_KILL, Kind.RUNNER_FREEZE, Kind.RUNNER_FAULT):
        service = rng.choice(("llm", "desk"))
        name = f"{service}-{rng.randrange(len(DOMAINS))}"
        return Fault(at, kind, name, seconds, rng.choice(_RUNNER_FAULTS))
    if kind is Kind.STORE_CUT:
        return Fault(at, kind, place, seconds)
    return Fault(at, kind, "", seconds)
