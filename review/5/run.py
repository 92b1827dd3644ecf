"""All storage machines stop, one loses its disk; later another one does.

Usage: python3 run.py RECORD
"""

import asyncio
import signal
import sys
import time

from rig2.site import (
    BROKEN,
    DOMAINS,
    HELD,
    HOST,
    Deployment,
    Record,
    has_trouble,
    route,
    run_case,
)

_PROGRAMS = 4
_TOKENS_PER_EVENT = 10
_TURN_TOKENS = 40
_BUDGET = 360
_DOWN_SECONDS = 1.9
_STOPPED_SECONDS = 0.9
# Longer than recovery_s and catch_up_s (4.9) one after the other.
_BETWEEN_SECONDS = 18.0
# catch_up_s, contact_ms and recovery_s one after the other are shorter.
_CALM_SECONDS = 21.0
_TRIES = 6
_MAX_TURNS = 12
_AIM_SECONDS = 80.0


class Program:
    """A conversation whose turns are kept.

    Attributes:
        turns: Ids of the turns that were answered whole.
        refused: Consecutive answers with 503 to its next turn.
        is_spent: Whether it was told that its budget is spent.
    """

    def __init__(
        self, site: Deployment, record: Record, name: str, front: str
    ) -> None:
        self.site = site
        self.record = record
        self.name = name
        self.front = front
        self.turns: list[str] = []
        self.refused = 0
        self.is_spent = False
        self.began = time.monotonic()

    async def run(self) -> None:
        """Sends turns until the budget is spent or the tries are used up."""
        for _ in range(_MAX_TURNS + _TRIES):
            if self.is_spent or self.refused == _TRIES:
                return
            wait = await self.turn()
            if wait:
                await asyncio.sleep(wait)

    async def turn(self) -> float:
        """Sends the next turn; returns after how long to come again."""
        request = self.site.new_request_id()
        previous = ""
        if self.turns:
            previous = f"X-Previous-Turn: {self.turns[-1]}\r\n"
        left = self.began + _AIM_SECONDS - time.monotonic()
        own_part = self.name.encode().hex()
        reader, writer = await asyncio.open_connection(
            *self.site.front(self.front)
        )
        writer.write(
            (
                f"POST /stream/turn HTTP/1.1\r\nHost: {HOST}\r\n{previous}"
                f"X-Request-Id: {request}\r\nX-Deadline-Ms: 3900\r\n"
                f"X-Program-Id: {self.name}\r\nX-Session-Id: {self.name}\r\n"
                f"X-Finish-Ms: {left * 1000:.0f}\r\n"
                "X-Model: m\r\n"
                f"X-Prompt-Prefix: 5c1e07a2:60,{own_part}:40\r\n"
                f"X-Token-Budget: {_BUDGET}\r\n"
                f"X-Token-Usage: 100,{_TURN_TOKENS}\r\n"
                "Connection: close\r\nContent-Length: 5\r\n\r\nwords"
            ).encode()
        )
        async with asyncio.timeout(6):
            answer = await reader.read()
        writer.close()
        head, _, body = answer.partition(b"\r\n\r\n")
        status = int(head.split(b" ")[1]) if head else 0
        detail = body.decode("latin-1")[:120] if status != 200 else ""
        self.record.note(f"{self.name} at {self.front}: {status} {detail}")
        if status == 200 and body.endswith(b"0\r\n\r\n"):
            self.turns.append(request)
            self.refused = 0
            return 0.0
        self.is_spent = status == 402
        self.refused += status == 503
        for line in head.decode("latin-1").split("\r\n"):
            if line.lower().startswith("retry-after:"):
                return float(line.partition(":")[2])
        return 0.4


async def _run_all(programs: list[Program]) -> None:
    await asyncio.gather(*(program.run() for program in programs))


def _stop_all(site: Deployment) -> None:
    """Kills all storage instances at once; one of them loses its disk."""
    for domain in DOMAINS:
        site.signal(f"storage-{domain}", signal.SIGKILL)
    site.lose_disk("west")
    time.sleep(_STOPPED_SECONDS)
    for domain in ("east", "north"):
        site.processes[f"storage-{domain}"].wait()
        site.start("storage", domain)
    time.sleep(_DOWN_SECONDS - _STOPPED_SECONDS)
    site.start("storage", "west")


async def _begin(programs: list[Program]) -> None:
    for program in programs:
        for _ in range(_TRIES):
            wait = await program.turn()
            if program.turns:
                break
            await asyncio.sleep(min(wait, 0.3))


def check(record: Record) -> int:
    """Plays the case; counts programs whose next turn is refused for good."""
    site = Deployment(record)
    site.routes = [
        route(
            "stream",
            "stream",
            service="llm",
            timeout_ms=4000,
            retention_enabled=True,
            retention_s=60.0,
        )
    ]
    engine = {"slots": 8, "kv_capacity": 90000}
    engine["tokens_per_event"] = _TOKENS_PER_EVENT
    site.services = [{"name": "llm", "engine": engine}]
    with site:
        for domain, zone in enumerate(DOMAINS):
            name = f"llm-{domain}"
            address = site.endpoint_address(0, domain)
            command = ["-m", "standins.siterunner", address, name]
            site.start_process(name, [sys.executable, *command])
            time.sleep(0.5)
            site.register(name, address, service="llm", zone=zone)
        time.sleep(12)
        if has_trouble():
            _stop_all(site)
        time.sleep(_BETWEEN_SECONDS)
        if has_trouble():
            site.lose_disk("north")
            lost_at = time.monotonic()
            time.sleep(0.6)
        programs = [
            Program(site, record, f"program{n}", "east")
            for n in range(_PROGRAMS)
        ]
        asyncio.run(_begin(programs))
        if has_trouble():
            left = lost_at + _DOWN_SECONDS - time.monotonic()
            record.note(f"{left:.1f} s before it comes back")
            time.sleep(max(0.0, left))
            site.start("storage", "north")
        time.sleep(_CALM_SECONDS)
        asyncio.run(_run_all(programs))
        first = [
            Program(site, record, f"other{n}", "east") for n in range(_TRIES)
        ]
        asyncio.run(_begin(first))
    begun = [program for program in programs if program.turns]
    if len(begun) < _PROGRAMS:
        raise AssertionError("not all programs could begin")
    refused = [program for program in programs if program.refused == _TRIES]
    served = sum(bool(program.turns) for program in first)
    record.note(
        f"{len(refused)} of {_PROGRAMS} programs are refused {_TRIES} times,"
        f" {served} of {_TRIES} first turns of others are served"
    )
    return BROKEN if refused and served >= 0.9 * _TRIES else HELD


run_case(check)
