"""A naive version of the product: one process, one call at a time, no faults.

What callers see of the real system must not differ from this, except where a
promise allows it.
"""

import msgspec

from standins.engine import message_blocks

MODEL = "commentary"


class Said(msgspec.Struct, frozen=True):
    """A call that is answered with this text."""

    text: str


class Refused(msgspec.Struct, frozen=True):
    """A call that is refused for this reason."""

    reason: str


class NaiveProgram(msgspec.Struct):
    """A program: its turns as (request, answer), budget and parent."""

    tokens: int
    parent: "NaiveProgram | None" = None
    turns: list[tuple[str, str]] = msgspec.field(default_factory=list)
    messages: list[dict] = msgspec.field(default_factory=list)
    acts: dict[str, str] = msgspec.field(default_factory=dict)
    spent: int = 0
    ended: bool = False


def create(tokens: int, parent: NaiveProgram | None) -> NaiveProgram | Refused:
    """Makes a program, or a sub-agent from its parent's budget."""
    if parent:
        if parent.ended:
            return Refused("program_ended")
        parent.spent += tokens
    return NaiveProgram(tokens, parent)


def turn(
    program: NaiveProgram, number: int, text: str, tokens: int
) -> Said | Refused:
    """Runs turn ``number``, or repeats it."""
    if program.ended:
        return Refused("program_ended")
    if number > len(program.turns) + 1:
        return Refused("turn_gap")
    if number <= len(program.turns):
        asked, answered = program.turns[number - 1]
        return Said(answered) if asked == text else Refused("turn_conflict")
    program.messages.append({"role": "user", "content": text})
    blocks = message_blocks(MODEL, program.messages)
    seed = blocks[-1][0]
    answer = "".join(f"{seed[:6]}-{i} " for i in range(tokens))
    program.messages.append({"role": "assistant", "content": answer})
    program.turns.append((text, answer))
    program.spent += sum(count for _, count in blocks) + tokens
    return Said(answer)


def act(program: NaiveProgram, key: str, body: str) -> Said | Refused:
    """Runs an act once, or tells its outcome again."""
    if key not in program.acts:
        if program.ended:
            return Refused("program_ended")
        program.acts[key] = body
    known = program.acts[key]
    return Said(body) if known == body else Refused("act_conflict")


def end(program: NaiveProgram) -> None:
    """Ends a program; what is left goes back to its parent."""
    if not program.ended:
        program.ended = True
        if program.parent and not program.parent.ended:
            program.parent.spent -= program.tokens - program.spent
