"""Heartbeats between instances, and the configuration they spread.

In each round an instance sends heartbeats to a fixed number of others of its
failure domain, to one of another domain, and to owners it suspects to be dead;
each is answered. What an instance sends does not grow with the fleet. A
heartbeat tells the number of the configuration in force; who hears a higher
one asks for the document.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Self

from rattanmill_core import (
    ConfigDocument,
    decode_config,
    encode_config,
    part_logger,
    start_loop,
)
from rattanmill_entry.members import forget_gone
from rattanmill_entry.node import Heard, Node
from rattanmill_entry.route import peer_address
from rattanmill_entry.signs import Signs
from rattanmill_platform import InstanceRecord
from rattanmill_wire import (
    ConfigAsk,
    ConfigTell,
    EndpointNotes,
    Heartbeat,
    Message,
    PinsHeld,
)

_log = part_logger("gossip")
_SUCCESSORS = 2
Answer = Callable[[Message], Awaitable[None]]


def take_config(node: Node, document: ConfigDocument) -> bool:
    """Puts a configuration in force if its number is higher."""
    if document.number <= node.config.number:
        return False
    node.config = document
    node.table.drained = frozenset(document.drained)
    _log.info("Configuration {} in force.", document.number)
    return True


def heartbeat(node: Node, *, reply: bool) -> Heartbeat:
    """Returns what this instance says of itself to others."""
    return Heartbeat(
        node.settings.name,
        node.settings.domain,
        node.incarnation,
        node.config.number,
        node.draining,
        reply,
    )


class Gossip:
    """Sends heartbeats and answers those of others."""

    def __init__(self, node: Node, signs: Signs) -> None:
        self.node = node
        self.signs = signs
        self.task: asyncio.Task | None = None

    async def __aenter__(self) -> Self:
        self.task = start_loop("gossip", self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.task:
            self.task.cancel()

    async def _run(self) -> None:
        while True:
            forget_gone(self.node, asyncio.get_running_loop().time())
            await self.beat()
            await asyncio.sleep(self.node.lease.silence_seconds / 5)

    async def beat(self) -> None:
        """Sends one round of heartbeats."""
        for record in self._partners():
            peer = self.node.hub.peer(
                record.name, peer_address(self.node, record)
            )
            # A send to an instance that died long ago waits for room on its
            # link. Waited for here, it would hold up the heartbeats to the
            # living, who would then take this instance for dead.
            self.node.run_beside(peer.send(heartbeat(self.node, reply=False)))

    def _partners(self) -> list[InstanceRecord]:
        """Returns whom this round's heartbeats go to."""
        node = self.node
        own = node.settings
        known = [r for r in node.addresses.values() if r.name != own.name]
        inside = [r for r in known if r.domain == own.domain]
        outside = [r for r in known if r.domain != own.domain]
        partners = self._successors(inside)
        if outside:
            partners.append(random.choice(outside))
        asked = [
            r for r in known if r.name in node.suspects or self._is_awaited(r)
        ]
        return list({r.name: r for r in [*partners, *asked]}.values())

    def _is_awaited(self, record: InstanceRecord) -> bool:
        """Whether a call waits for an instance that has been quiet lately.

        Nobody else may be asking an instance of another domain whether it
        lives. Its silence would be taken for its death, and a call whose
        engine takes long would be given up while it runs.
        """
        peer = self.node.hub.peers.get(record.name)
        if peer is None or not peer.streams:
            return False
        quiet = asyncio.get_running_loop().time() - peer.heard
        return quiet > self.node.lease.silence_seconds / 4

    def _successors(self, inside: list[InstanceRecord]) -> list[InstanceRecord]:
        """Returns the next ones in the ring of names, and one at random.

        Those that have been silent are passed over: an instance whose next
        ones have died together would otherwise hear nobody and take itself
        for cut off.
        """
        name = self.node.settings.name
        ring = sorted(inside, key=lambda r: (r.name <= name, r.name))
        heard = [r for r in ring if self._is_heard(r.name)]
        chosen = (heard or ring)[:_SUCCESSORS]
        return [*chosen, random.choice(ring)] if ring else []

    def _is_heard(self, name: str) -> bool:
        peer = self.node.hub.peers.get(name)
        if peer is None:
            return True
        silent = asyncio.get_running_loop().time() - peer.heard
        return silent < self.node.lease.silence_seconds

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
            case PinsHeld():
                node.memory.handle_pins_held(message)

    def _hear(self, message: Heartbeat, answer: Answer) -> None:
        node = self.node
        now = asyncio.get_running_loop().time()
        node.heard[message.sender] = Heard(message.config_number, now)
        if peer := node.hub.peers.get(message.sender):
            peer.heard = now
        if message.domain == node.settings.domain:
            node.lease.peer_heard = now
        if message.leaving:
            node.leaving.add(message.incarnation)
        if not message.reply:
            node.spawn(answer(heartbeat(node, reply=True)))
        if message.config_number > node.config.number:
            node.spawn(answer(ConfigAsk()))
