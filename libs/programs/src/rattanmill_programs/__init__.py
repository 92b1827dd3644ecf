"""Programs: their order, history, budget and acts, owned shard by shard."""

from rattanmill_programs.compaction import compact, drop_ended, is_due
from rattanmill_programs.program import LOOSE_TOKEN, Act, Program, Turn
from rattanmill_programs.receipts import open_receipt, seal_receipt
from rattanmill_programs.records import (
    ActIntended,
    ActSettled,
    ActWithdrawn,
    BudgetReserved,
    BudgetSpent,
    EpochOpened,
    ProgramCreated,
    ProgramEnded,
    ProgramRestored,
    Record,
    Segment,
    TurnKept,
)
from rattanmill_programs.recovery import (
    Broken,
    Fenced,
    Recovered,
    recover,
)
from rattanmill_programs.shard import Shard
from rattanmill_programs.shardlog import Committed, Deferred, ShardLog

__all__ = [
    "LOOSE_TOKEN",
    "Act",
    "ActIntended",
    "ActSettled",
    "ActWithdrawn",
    "Broken",
    "BudgetReserved",
    "BudgetSpent",
    "Committed",
    "Deferred",
    "EpochOpened",
    "Fenced",
    "Program",
    "ProgramCreated",
    "ProgramEnded",
    "ProgramRestored",
    "Record",
    "Recovered",
    "Segment",
    "Shard",
    "ShardLog",
    "Turn",
    "TurnKept",
    "compact",
    "drop_ended",
    "is_due",
    "open_receipt",
    "recover",
    "seal_receipt",
]
