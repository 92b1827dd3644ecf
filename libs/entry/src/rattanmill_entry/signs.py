"""Shares the state of endpoints and crashing requests between instances.

A change is sent at once to all instances of the own failure domain and to one
instance of each other domain, which forwards it inside its own. Since a
message can be lost and an instance can be new, each instance also sends its
current notes every few seconds to one random instance of its own domain and
one of another.
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

_GOSSIP_INTERVAL_SECONDS = 2.0
_RECENT_SECONDS = 60.0
_MAX_NOTES = 200


class NoteExchange:
    """Sends and receives notes about endpoints and crashes.

    Args:
        node: The daemon's context.
    """

    def __init__(self, node: Node) -> None:
        self.node = node
        self.quarantine = Quarantine()
        self.task: asyncio.Task | None = None
        node.table.on_note = lambda note: self._publish([note], [])

    async def __aenter__(self) -> Self:
        self.task = start_loop("notes", self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.task:
            self.task.cancel()

    def record_crashes(self, notes: list[CrashNote]) -> None:
        """Records and publishes crashes or finished runs seen here."""
        new_notes = [note for note in notes if self.quarantine.record(note)]
        for note in new_notes:
            event = "suspected" if note.endpoint else "cleared"
            self.node.metrics.count("rattanmill_quarantine", event=event)
        if new_notes:
            self._publish([], new_notes)

    def receive(self, message: EndpointNotes) -> None:
        """Merges notes of another instance and forwards the new ones."""
        node = self.node
        same_domain = message.domain == node.settings.domain
        endpoints = [
            note
            for note in message.endpoints
            if (same_domain or note.aspect is Aspect.DEPARTURE)
            and node.table.merge(note)
        ]
        self._count(endpoints, "peer")
        crashes = [n for n in message.crashes if self.quarantine.record(n)]
        if crashes:
            node.metrics.count(
                "rattanmill_quarantine", len(crashes), event="heard"
            )
        if not same_domain and (endpoints or crashes):
            forwarded = EndpointNotes(node.settings.domain, endpoints, crashes)
            self._send(forwarded, self._same_domain_peers())

    def _publish(
        self, endpoints: list[EndpointNote], crashes: list[CrashNote]
    ) -> None:
        self._count(endpoints, "self")
        message = EndpointNotes(self.node.settings.domain, endpoints, crashes)
        self._send(message, self._same_domain_peers())
        departures = [n for n in endpoints if n.aspect is Aspect.DEPARTURE]
        if departures or crashes:
            remote = msgspec.structs.replace(message, endpoints=departures)
            self._send(remote, self._other_domain_peers())

    def _count(self, notes: list[EndpointNote], seen_by: str) -> None:
        for note in notes:
            self.node.metrics.count(
                "rattanmill_endpoint_signs", sign=note.sign, seen_by=seen_by
            )

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(
                random.uniform(0.8, 1.2) * _GOSSIP_INTERVAL_SECONDS
            )
            message = self._current_notes()
            if message.endpoints or message.crashes:
                self.node.metrics.count("rattanmill_note_rounds")
                others = self._same_domain_peers()
                self._send(message, random.sample(others, min(1, len(others))))
                remote = self._other_domain_peers()
                self._send(message, random.sample(remote, min(1, len(remote))))

    def _current_notes(self) -> EndpointNotes:
        """Returns notes on closed or recently changed aspects, and crashes."""
        since = asyncio.get_running_loop().time() - _RECENT_SECONDS
        notes = [
            aspect.to_note(name)
            for name, state in self.node.table.states.items()
            for aspect in state.aspects
            if aspect.closed or aspect.changed_at > since
        ]
        return EndpointNotes(
            self.node.settings.domain,
            notes[-_MAX_NOTES:],
            self.quarantine.notes(_MAX_NOTES),
        )

    def _peers(self) -> list[InstanceRecord]:
        name = self.node.settings.name
        return [r for r in self.node.addresses.values() if r.name != name]

    def _same_domain_peers(self) -> list[InstanceRecord]:
        domain = self.node.settings.domain
        return [r for r in self._peers() if r.domain == domain]

    def _other_domain_peers(self) -> list[InstanceRecord]:
        """Returns one instance per other failure domain, live if possible."""
        node = self.node
        known = [r for r in self._peers() if r.domain != node.settings.domain]
        random.shuffle(known)
        known.sort(key=lambda record: record.name in node.live.instances)
        return list({record.domain: record for record in known}.values())

    def _send(
        self, message: EndpointNotes, records: list[InstanceRecord]
    ) -> None:
        for record in records:
            self.node.spawn(self.node.link(record).send(message))
