"""Tells other instances what was seen of endpoints and crashing requests.

A change goes to all instances of the failure domain at once, and to one of
each other domain, which passes it on inside its own. Since a message can be
lost and an instance can be new, each also tells one other, chosen at random,
every few seconds what it holds.
"""

import asyncio
import random
from typing import Self

import msgspec

from rattanmill_core import Aspect, CrashNote, EndpointNote, start_loop
from rattanmill_entry.node import Node
from rattanmill_platform import InstanceRecord
from rattanmill_policy import Quarantine
from rattanmill_wire import EndpointNotes

_ROUND_SECONDS = 2.0
_RECENT_SECONDS = 60.0
_MOST_NOTES = 200


class Signs:
    """Tells and hears notes.

    Args:
        node: The daemon's context.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.quarantine = Quarantine()
        self.task: asyncio.Task | None = None
        node.table.on_note = lambda note: self._tell([note], [])

    async def __aenter__(self) -> Self:
        self.task = start_loop("notes", self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.task:
            self.task.cancel()

    def crashed(self, notes: list[CrashNote]) -> None:
        """Takes crashes or finished runs that were seen here."""
        news = [note for note in notes if self.quarantine.record(note)]
        for note in news:
            event = "suspected" if note.endpoint else "cleared"
            self.node.metrics.count("rattanmill_quarantine", event=event)
        if news:
            self._tell([], news)

    def hear(self, message: EndpointNotes) -> None:
        """Takes what another instance tells, and passes on what is new."""
        node = self.node
        inside = message.domain == node.settings.domain
        endpoints = [
            note
            for note in message.endpoints
            if (inside or note.aspect is Aspect.DEPARTURE)
            and node.table.merge(note)
        ]
        self._count(endpoints, "peer")
        crashes = [n for n in message.crashes if self.quarantine.record(n)]
        if crashes:
            node.metrics.count(
                "rattanmill_quarantine", len(crashes), event="heard"
            )
        if not inside and (endpoints or crashes):
            passed = EndpointNotes(node.settings.domain, endpoints, crashes)
            self._send(passed, self._inside())

    def _tell(
        self, endpoints: list[EndpointNote], crashes: list[CrashNote]
    ) -> None:
        self._count(endpoints, "self")
        message = EndpointNotes(self.node.settings.domain, endpoints, crashes)
        self._send(message, self._inside())
        departures = [n for n in endpoints if n.aspect is Aspect.DEPARTURE]
        if departures or crashes:
            outside = msgspec.structs.replace(message, endpoints=departures)
            self._send(outside, self._outside())

    def _count(self, notes: list[EndpointNote], seen_by: str) -> None:
        for note in notes:
            self.node.metrics.count(
                "rattanmill_endpoint_signs", sign=note.sign, seen_by=seen_by
            )

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(random.uniform(0.8, 1.2) * _ROUND_SECONDS)
            message = self._all()
            if message.endpoints or message.crashes:
                self.node.metrics.count("rattanmill_note_rounds")
                others = self._inside()
                self._send(message, random.sample(others, min(1, len(others))))
                distant = self._outside()
                self._send(
                    message, random.sample(distant, min(1, len(distant)))
                )

    def _all(self) -> EndpointNotes:
        """What is not as usual, or was not a short while ago."""
        since = asyncio.get_running_loop().time() - _RECENT_SECONDS
        notes = [
            mark.to_note(name)
            for name, state in self.node.table.states.items()
            for mark in state.aspects
            if mark.closed or mark.changed_at > since
        ]
        return EndpointNotes(
            self.node.settings.domain,
            notes[-_MOST_NOTES:],
            self.quarantine.notes(_MOST_NOTES),
        )

    def _others(self) -> list[InstanceRecord]:
        name = self.node.settings.name
        return [r for r in self.node.addresses.values() if r.name != name]

    def _inside(self) -> list[InstanceRecord]:
        domain = self.node.settings.domain
        return [r for r in self._others() if r.domain == domain]

    def _outside(self) -> list[InstanceRecord]:
        """One instance of each other failure domain, best a live one."""
        node = self.node
        known = [r for r in self._others() if r.domain != node.settings.domain]
        random.shuffle(known)
        known.sort(key=lambda record: record.name in node.live.instances)
        return list({record.domain: record for record in known}.values())

    def _send(
        self, message: EndpointNotes, records: list[InstanceRecord]
    ) -> None:
        for record in records:
            self.node.spawn(self.node.link(record).send(message))
