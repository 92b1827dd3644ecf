"""Programs: their order, history, budget and acts, owned shard by shard."""

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
    Record,
    Segment,
    TurnKept,
)
from rattanmill_programs.shard import Shard
from rattanmill_programs.shardlog import (
    Committed,
    Deferred,
    Fenced,
    ShardLog,
    recover,
)

__all__ = [
    "LOOSE_TOKEN",
    "Act",
    "ActIntended",
    "ActSettled",
    "ActWithdrawn",
    "BudgetReserved",
    "BudgetSpent",
    "Committed",
    "Deferred",
    "EpochOpened",
    "Fenced",
    "Program",
    "ProgramCreated",
    "ProgramEnded",
    "Record",
    "Segment",
    "Shard",
    "ShardLog",
    "Turn",
    "TurnKept",
    "open_receipt",
    "recover",
    "seal_receipt",
]
