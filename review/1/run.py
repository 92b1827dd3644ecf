"""A zone is cut off, and its storage instance loses its disk meanwhile.

Turns that were answered whole during the cut must be known afterwards.
"""

import time

from harness import CannotRunError, Deployment, Record, Sent, main

_PROGRAMS = 6
_CUT_SECONDS = 5.0
_RECOVERY_SECONDS = 12.0
_DISK = "storage-east"
# Time that a program has, from its first turn on.
_AIM_SECONDS = 60.0


def _turn(
    site: Deployment, front: str, program: int, left: float, previous: str = ""
) -> Sent:
    headers = {
        "X-Program-Id": f"program{program}",
        "X-Session-Id": f"session{program}",
        "X-Finish-Ms": str(round(left * 1000)),
        "X-Token-Budget": "4608",
        "X-Token-Usage": "200,100",
        "X-Prompt-Prefix": f"a1:150,{0xB000 + program:x}:50",
    }
    if previous:
        headers["X-Previous-Turn"] = previous
    body = f"input of {program} after {previous}. ".encode()
    return site.send(front, "/stream/talk/a", body, headers)


def _case(site: Deployment, record: Record, trouble: bool) -> bool:
    ends_at = time.monotonic() + _AIM_SECONDS
    firsts = [
        _turn(site, "front-east-1", program, _AIM_SECONDS)
        for program in range(_PROGRAMS)
    ]
    if not all(first.is_whole for first in firsts):
        raise CannotRunError("a first turn was not served")
    time.sleep(1.0)
    if trouble:
        site.cut("east", True)
    cut_at = time.monotonic()
    time.sleep(1.0)
    left = ends_at - time.monotonic()
    seconds = [
        _turn(site, "front-east-1", program, left, first.id)
        for program, first in enumerate(firsts)
    ]
    if trouble:
        site.lose_disk(_DISK)
    time.sleep(1.0)
    if trouble:
        site.start(_DISK)
    time.sleep(max(0.0, cut_at + _CUT_SECONDS - time.monotonic()))
    if trouble:
        site.cut("east", False)
    time.sleep(_RECOVERY_SECONDS)
    acknowledged = {
        program: second
        for program, second in enumerate(seconds)
        if second.is_whole
    }
    record(f"answered whole during the cut: {len(acknowledged)} turns")
    lost = 0
    left = ends_at - time.monotonic()
    for program, second in acknowledged.items():
        third = _turn(site, "front-west-1", program, left, second.id)
        lost += third.answer.status in (404, 410)
    # Other turns are served.
    other = _turn(site, "front-west-1", _PROGRAMS, _AIM_SECONDS)
    record(f"a first turn of another program: {other.answer.status}")
    record(f"turns answered whole and denied afterwards: {lost}")
    return not lost


if __name__ == "__main__":
    main(_case, __file__)
