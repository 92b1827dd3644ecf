"""Heartbeats between instances, and distribution of the configuration.

In each round an instance sends heartbeats to a fixed number of others of its
failure domain, to one of another domain, and to owners it suspects to be dead;
each receives a reply. The number that an instance sends does not grow with the
fleet. A heartbeat contains the number of the configuration in force; an
instance that receives a higher one requests the document.
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
from rattanmill_entry.members import remove_gone_instances
from rattanmill_entry.node import LastHeartbeat, Node
from rattanmill_entry.route import peer_address
from rattanmill_entry.signs import NoteExchange
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
Reply = Callable[[Message], Awaitable[None]]


def adopt_config(node: Node, document: ConfigDocument) -> bool:
    """Puts a configuration in force if its number is higher.

    Returns:
        Whether it was put in force.
    """
    if document.number <= node.config.number:
        return False
    node.config = document
    node.table.drained = frozenset(document.drained)
    _log.info("Configuration {} in force.", document.number)
    return True


def heartbeat(node: Node, *, reply: bool) -> Heartbeat:
    """Returns the heartbeat of this instance."""
    return Heartbeat(
        node.settings.name,
        node.settings.domain,
        node.incarnation,
        node.config.number,
        node.draining,
        reply,
    )


class Gossip:
    """Sends heartbeats and replies to those of others."""

    def __init__(self, node: Node, note_exchange: NoteExchange) -> None:
        self.node = node
        self.note_exchange = note_exchange
        self.task: asyncio.Task | None = None

    async def __aenter__(self) -> Self:
        self.task = start_loop("gossip", self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        if self.task:
            self.task.cancel()

    async def _run(self) -> None:
        while True:
            remove_gone_instances(self.node, asyncio.get_running_loop().time())
            await self.send_round()
            await asyncio.sleep(self.node.lease.silence_seconds / 5)

    async def send_round(self) -> None:
        """Sends one round of heartbeats."""
        for record in self._partners():
            peer = self.node.hub.peer(
                record.name, peer_address(self.node, record)
            )
            # A send to an instance that died long ago waits for buffer space
            # on its link. Awaiting it here would delay the heartbeats to live
            # instances, which would then consider this instance dead.
            self.node.spawn_detached(
                peer.send(heartbeat(self.node, reply=False))
            )

    def _partners(self) -> list[InstanceRecord]:
        """Returns the instances to send this round's heartbeats to."""
        node = self.node
        own = node.settings
        known = [r for r in node.addresses.values() if r.name != own.name]
        same_domain = [r for r in known if r.domain == own.domain]
        other_domains = [r for r in known if r.domain != own.domain]
        partners = self._successors(same_domain)
        if other_domains:
            partners.append(random.choice(other_domains))
        probed = [
            r for r in known if r.name in node.suspects or self._is_awaited(r)
        ]
        return list({r.name: r for r in [*partners, *probed]}.values())

    def _is_awaited(self, record: InstanceRecord) -> bool:
        """Whether a call waits for an instance without a recent message.

        Possibly no other instance sends heartbeats to an instance of another
        domain. Without a reply it would be considered dead, and a call with a
        slow engine would be abandoned while it runs.
        """
        peer = self.node.hub.peers.get(record.name)
        if peer is None or not peer.streams:
            return False
        silent_seconds = asyncio.get_running_loop().time() - peer.heard
        return silent_seconds > self.node.lease.silence_seconds / 4

    def _successors(
        self, same_domain: list[InstanceRecord]
    ) -> list[InstanceRecord]:
        """Returns the successors in the ring of names, and a random instance.

        Unresponsive instances are skipped. Otherwise an instance whose
        successors died together would receive no heartbeats and consider
        itself partitioned.
        """
        name = self.node.settings.name
        ring = sorted(same_domain, key=lambda r: (r.name <= name, r.name))
        responsive = [r for r in ring if self._is_responsive(r.name)]
        chosen = (responsive or ring)[:_SUCCESSORS]
        return [*chosen, random.choice(ring)] if ring else []

    def _is_responsive(self, name: str) -> bool:
        peer = self.node.hub.peers.get(name)
        if peer is None:
            return True
        silent_seconds = asyncio.get_running_loop().time() - peer.heard
        return silent_seconds < self.node.lease.silence_seconds

    def handle_message(self, message: Message, reply: Reply) -> None:
        """Handles a message that is not part of a call."""
        node = self.node
        match message:
            case Heartbeat():
                self._handle_heartbeat(message, reply)
            case ConfigAsk():
                node.spawn(reply(ConfigTell(encode_config(node.config))))
            case ConfigTell():
                document = decode_config(message.document)
                if isinstance(document, ConfigDocument):
                    adopt_config(node, document)
            case EndpointNotes():
                self.note_exchange.receive(message)
            case PinsHeld():
                node.memory.handle_pins_held(message)

    def _handle_heartbeat(self, message: Heartbeat, reply: Reply) -> None:
        node = self.node
        now = asyncio.get_running_loop().time()
        node.last_heartbeats[message.sender] = LastHeartbeat(
            message.config_number, now
        )
        if peer := node.hub.peers.get(message.sender):
            peer.heard = now
        if message.domain == node.settings.domain:
            node.lease.peer_last_heard_at = now
        if message.leaving:
            node.leaving.add(message.incarnation)
        if not message.reply:
            node.spawn(reply(heartbeat(node, reply=True)))
        if message.config_number > node.config.number:
            node.spawn(reply(ConfigAsk()))
