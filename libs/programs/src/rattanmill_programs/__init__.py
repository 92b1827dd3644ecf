"""Programs of a shard: turn order, history, budget and acts."""

from rattanmill_programs.compaction import compact, drop_ended, is_due
from rattanmill_programs.program import STANDALONE_TOKEN, Act, Program, Turn
from rattanmill_programs.receipts import sign_receipt, verify_receipt
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
    "STANDALONE_TOKEN",
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
    "recover",
    "sign_receipt",
    "verify_receipt",
]
