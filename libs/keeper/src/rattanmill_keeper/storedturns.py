"""Fetches turns from the platform store, see ``storecopies``."""

import asyncio
from typing import Self

import msgspec

from rattanmill_core import (
    DECODE_ERRORS,
    log_event,
    wall_seconds,
    warn_event,
)
from rattanmill_keeper.keeper import Keeper
from rattanmill_keeper.messages import KeptTurn
from rattanmill_keeper.storecopies import TURNS_PREFIX
from rattanmill_platform import KeyValue, PrefixWatch

_WATCH_SECONDS = 25.0


class StoredTurns:
    """Fetches turns from the store to the disk of a storage instance.

    Attributes:
        pending: Writes of turns to the disk that are in progress.

    Args:
        keeper: The storage instance.
        kv: The platform store.
    """

    def __init__(self, keeper: Keeper, kv: KeyValue) -> None:
        self.keeper = keeper
        self.pending: set[asyncio.Task] = set()
        self.watch = PrefixWatch(
            kv, TURNS_PREFIX, _WATCH_SECONDS, self._on_written, lambda key: None
        )

    async def __aenter__(self) -> Self:
        await self.watch.__aenter__()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.watch.__aexit__(*exc_info)
        for task in self.pending:
            task.cancel()

    def has_all(self) -> bool:
        """Whether all turns that the store had at the start are on disk."""
        return self.watch.synced and not self.pending

    def _on_written(self, key: str, value: bytes) -> None:
        try:
            kept = msgspec.msgpack.decode(value, type=KeptTurn)
        except DECODE_ERRORS as error:
            warn_event("stored_turn_undecodable", key=key, why=str(error))
            return
        if kept.turn in self.keeper.table.held:
            return
        if kept.expires < wall_seconds():
            return
        log_event("stored_turn_fetched", turn=kept.turn)
        task = asyncio.create_task(self.keeper.keep(kept))
        self.pending.add(task)
        task.add_done_callback(self.pending.discard)
