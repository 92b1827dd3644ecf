"""Heartbeats between instances, and the configuration they spread.

Each instance sends heartbeats to all others of its failure domain and to one
of each other domain. A heartbeat tells the number of the configuration in
force; who hears a higher one asks for the document.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Self

from rattanmill_core import (
    ConfigDocument,
    decode_config,
    encode_config,
    part_logger,
)
from rattanmill_entry.node import Node
from rattanmill_entry.route import peer_address
from rattanmill_entry.signs import Signs
from rattanmill_platform import InstanceRecord
from rattanmill_wire import (
    ConfigAsk,
    ConfigTell,
    EndpointNotes,
    Heartbeat,
    Message,
)

_log = part_logger("gossip")
Answer = Callable[[Message], Awaitable[None]]


def take_config(node: Node, document: ConfigDocument) -> bool:
    """Puts a configuration in force if its number is higher."""
    if document.number <= node.config.number:
        return False
    node.config = document
    node.table.drained = frozenset(document.drained)
    _log.info("Configuration {} in force.", document.number)
    return True


class Gossip:
    """Sends heartbeats and answers those of others."""

    def __init__(self, node: Node, signs: Signs) -> None:
        self.node = node
        self.signs = signs
        self.task: asyncio.Task | None = None

    async def __aenter__(self) -> Self:
        self.task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.task:
            self.task.cancel()

    async def _run(self) -> None:
        while True:
            await self.beat()
            await asyncio.sleep(self.node.lease.silence_seconds / 5)

    async def beat(self) -> None:
        """Sends one round of heartbeats."""
        for record in self._partners():
            peer = self.node.hub.peer(
                record.name, peer_address(self.node, record)
            )
            await peer.send(self._heartbeat(reply=False))

    def _partners(self) -> list[InstanceRecord]:
        """All others of the domain, and one of each other domain."""
        node = self.node
        mine = node.settings
        known = [r for r in node.addresses.values() if r.name != mine.name]
        inside = [r for r in known if r.domain == mine.domain]
        outside = {
            record.domain: record
            for record in sorted(known, key=lambda r: r.name)
            if record.domain != mine.domain
        }
        return inside + list(outside.values())

    def _heartbeat(self, reply: bool) -> Heartbeat:
        node = self.node
        return Heartbeat(
            node.settings.name,
            node.settings.domain,
            node.incarnation,
            node.config.number,
            node.draining,
            reply,
        )

    def notice(self, message: Message, answer: Answer) -> None:
        """Takes a message that is not part of a call."""
        node = self.node
        match message:
            case Heartbeat():
                self._hear(message, answer)
            case ConfigAsk():
                node.spawn(answer(ConfigTell(encode_config(node.config))))
            case ConfigTell():
                document = decode_config(message.document)
                if isinstance(document, ConfigDocument):
                    take_config(node, document)
            case EndpointNotes():
                self.signs.hear(message)

    def _hear(self, message: Heartbeat, answer: Answer) -> None:
        node = self.node
        now = asyncio.get_running_loop().time()
        if peer := node.hub.peers.get(message.sender):
            peer.heard = now
        if message.domain == node.settings.domain:
            node.lease.peer_heard = now
        if not message.reply:
            node.spawn(answer(self._heartbeat(reply=True)))
        if message.config_number > node.config.number:
            node.spawn(answer(ConfigAsk()))
