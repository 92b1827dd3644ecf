"""Budget of a program's turns: reserved before sending, settled by usage."""

import itertools
import time
from typing import Any

import msgspec

from rattanmill_core import Ran, Reason, Refusal, WorkClass, refuse
from rattanmill_entry.chatbody import prompt_bound
from rattanmill_entry.node import Node
from rattanmill_entry.plan import Plan
from rattanmill_programs import (
    BudgetReserved,
    BudgetSpent,
    Committed,
    Fenced,
    Program,
    Shard,
)
from rattanmill_programs.program import apply

_RESERVE_AHEAD_DIVISOR = 8
_TEMPLATE_TOKENS = 16


class _MessageContent(msgspec.Struct):
    """What makes a message the same as another."""

    role: Any = ""
    content: Any = ""


def check_limits(node: Node, program: Program, plan: Plan) -> Refusal | None:
    """Refuses a turn beyond the program's turns, time or patience."""
    made = program.made
    if len(program.turns) >= made.turns:
        detail = f"All {made.turns} turns of the budget are used."
        return refuse(Reason.BUDGET_EXHAUSTED, detail)
    if time.time() > made.created + made.seconds:
        detail = f"The budget of {made.seconds:.0f} s has run out."
        return refuse(Reason.BUDGET_EXHAUSTED, detail)
    klass = node.config.classes.get(made.klass) or WorkClass()
    if _count_repeats(program, plan) >= klass.max_repeats:
        detail = f"The same call was made {klass.max_repeats} times in a row."
        return refuse(Reason.LOOP_SUSPECTED, detail)
    return None


def _count_repeats(program: Program, plan: Plan) -> int:
    """Returns how many turns in a row added what this one adds.

    A program that loops asks the same again and again, at growing cost, until
    its budget is gone.
    """
    added = _message_contents(plan.messages[plan.base :])
    same = itertools.takewhile(
        lambda turn: _message_contents(turn.record.messages) == added,
        reversed(program.turns),
    )
    return sum(1 for _ in same)


def _message_contents(messages: list[bytes]) -> list[_MessageContent]:
    """Returns what messages say, without the ids that differ each time."""
    return [msgspec.json.decode(m, type=_MessageContent) for m in messages]


async def reserve_tokens(
    shard: Shard, program: Program, plan: Plan
) -> Refusal | None:
    """Reserves the most the turn can cost, ahead of sending it.

    While the reservation is being committed, a sub-agent may be given part of
    the budget. What the turn holds is kept from it, and the reservation is
    looked at again.
    """
    prompt = _prompt_bound(program, plan)
    while True:
        program.held = 0
        left = program.tokens_left - prompt
        if left < 1:
            detail = f"{program.tokens_left} tokens are left of the budget."
            return refuse(Reason.BUDGET_EXHAUSTED, detail)
        plan.max_tokens = min(plan.max_tokens, left)
        program.held = prompt + plan.max_tokens
        needed_tokens = program.spent + program.held
        if needed_tokens <= program.reserved:
            return None
        refusal = await _commit_reservation(shard, program, needed_tokens)
        if refusal:
            return refusal


async def _commit_reservation(
    shard: Shard, program: Program, needed_tokens: int
) -> Refusal | None:
    ahead = program.made.tokens // _RESERVE_AHEAD_DIVISOR
    record = BudgetReserved(
        program.made.program, min(program.made.tokens, needed_tokens + ahead)
    )
    appended = await shard.commit(record)
    if isinstance(appended, Committed):
        return None
    if isinstance(appended, Fenced):
        detail = "Another instance owns the program now."
        return refuse(Reason.OWNERSHIP_LOST, detail, ran=Ran.NO)
    detail = "Budget cannot be reserved while the store is away."
    return refuse(Reason.BUDGET_UNRESERVED, detail)


async def charge_lost_attempt(
    shard: Shard, program: Program, plan: Plan
) -> Refusal | None:
    """Counts an attempt without an answer, and reserves another.

    The engine may have made every token of it. Uncounted, a program whose
    answers are cut again and again would spend without end.
    """
    requested_tokens = plan.max_tokens
    record = BudgetSpent(program.made.program, program.held)
    program.held = 0
    # Not waited for: a new owner starts from what was reserved, which covers
    # this.
    apply(shard.programs, record)
    shard.log.enqueue(record)
    refusal = await reserve_tokens(shard, program, plan)
    if refusal is None and plan.max_tokens < requested_tokens:
        # The next attempt asks for as much as the first.
        program.held = 0
        detail = "The budget does not allow another attempt."
        refusal = refuse(Reason.BUDGET_EXHAUSTED, detail)
    return refusal


def _prompt_bound(program: Program, plan: Plan) -> int:
    """Returns the most tokens the prompt can have.

    Messages whose tokens no usage has told yet are counted by their bytes.
    """
    known, tokens = _reported_usage(program, plan)
    rest = prompt_bound(plan.messages[known:])
    return tokens + rest + (_TEMPLATE_TOKENS if known else 0)


def _reported_usage(program: Program, plan: Plan) -> tuple[int, int]:
    """Returns how many messages of the prompt usage has counted, and tokens.

    The prompt of a kept turn was counted by the engine. Its answer was not:
    read as part of a prompt, it may have more tokens than it was made of.
    """
    counted = [(0, 0)]
    for turn in program.turns:
        record = turn.record
        while counted[-1][0] > record.base:
            counted.pop()
        if record.model == plan.chat.model:
            count = record.base + len(record.messages)
            counted.append((count, record.prompt_tokens))
    return next(pair for pair in reversed(counted) if pair[0] <= plan.base)
