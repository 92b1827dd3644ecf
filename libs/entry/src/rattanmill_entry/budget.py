"""Token budget of a program: reserved before a call, settled by its usage."""

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
    """The fields by which two messages are compared."""

    role: Any = ""
    content: Any = ""


def check_limits(node: Node, program: Program, plan: Plan) -> Refusal | None:
    """Returns a refusal if a turn exceeds the limits of its program.

    Checks the number of turns, the time and the number of identical calls in
    a row.
    """
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
    """Returns how many of the last turns added the same messages as this one.

    A program in a loop repeats the same request, at growing cost, until its
    budget is spent.
    """
    added = _message_contents(plan.messages[plan.base :])
    same = itertools.takewhile(
        lambda turn: _message_contents(turn.record.messages) == added,
        reversed(program.turns),
    )
    return sum(1 for _ in same)


def _message_contents(messages: list[bytes]) -> list[_MessageContent]:
    """Returns role and content of messages, without ids that always differ."""
    return [msgspec.json.decode(m, type=_MessageContent) for m in messages]


async def reserve_tokens(
    shard: Shard, program: Program, plan: Plan
) -> Refusal | None:
    """Reserves the maximum tokens of a turn before it is sent.

    Lowers ``plan.max_tokens`` to what is left of the budget. While the
    reservation is being committed, a sub-agent may get part of the budget.
    Tokens held for the turn are excluded from that, and the reservation is
    checked again after the commit.

    Args:
        shard: Shard of the program.
        program: The program.
        plan: The turn.

    Returns:
        The refusal if the tokens cannot be reserved, else None.
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
    detail = "Budget cannot be reserved while the store is unavailable."
    return refuse(Reason.BUDGET_UNRESERVED, detail)


async def charge_lost_attempt(
    shard: Shard, program: Program, plan: Plan
) -> Refusal | None:
    """Charges an attempt without an answer and reserves tokens for another.

    The engine may have generated every token of the attempt. Without the
    charge, a program whose answers are always cut off would have no limit.

    Args:
        shard: Shard of the program.
        program: The program.
        plan: The turn.

    Returns:
        The refusal if the budget allows no other attempt, else None.
    """
    requested_tokens = plan.max_tokens
    record = BudgetSpent(program.made.program, program.held)
    program.held = 0
    # No need to wait for the commit: a new owner starts from the reserved
    # tokens, which include these.
    apply(shard.programs, record)
    shard.log.enqueue(record)
    refusal = await reserve_tokens(shard, program, plan)
    if refusal is None and plan.max_tokens < requested_tokens:
        # The next attempt needs as many tokens as the first.
        program.held = 0
        detail = "The budget does not allow another attempt."
        refusal = refuse(Reason.BUDGET_EXHAUSTED, detail)
    return refusal


def _prompt_bound(program: Program, plan: Plan) -> int:
    """Returns an upper bound of the prompt's tokens.

    For messages that no reported usage covers yet, each byte counts as a
    token.
    """
    covered, tokens = _reported_usage(program, plan)
    rest = prompt_bound(plan.messages[covered:])
    return tokens + rest + (_TEMPLATE_TOKENS if covered else 0)


def _reported_usage(program: Program, plan: Plan) -> tuple[int, int]:
    """Returns how much of the prompt is covered by an engine's usage.

    The engine counted the prompt of a stored turn. It did not count the
    answer as part of a prompt, where it may have more tokens than when it was
    generated.

    Returns:
        Number of leading messages that are covered, and their tokens.
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
