"""Callers of streams that may be resumed."""

import asyncio
import random

from soak.callers import Callers
from soak.record import TURN_TOKENS

_TRIES = 4
_BODY = b"plan"


class Resumers:
    """Runs programs of streams that may be resumed.

    Attributes:
        callers: Who know the fronts and record what is sent.
        rng: Draws for these programs alone, so that the other callers draw as
            they would without them.
    """

    def __init__(self, callers: Callers, seed: int) -> None:
        self.callers = callers
        self.rng = random.Random(f"{seed}/resumers")

    async def programs(self) -> None:
        """Runs one program after the other."""
        while not self.callers.stopped:
            await self.program()

    async def program(self) -> None:
        """Runs a program of a few streams on one budget."""
        name = f"q{next(self.callers.numbers)}"
        budget = TURN_TOKENS * self.rng.choice((2, 5, 20))
        for _ in range(self.rng.randint(1, 6)):
            if not await self.stream(name, budget) or self.callers.stopped:
                break
            await asyncio.sleep(self.rng.uniform(0.0, 0.2))

    async def stream(self, program: str, budget: int) -> bool:
        """Gets a stream, in several requests if it breaks.

        Returns:
            Whether all of it came.
        """
        after, front = 0, ""
        for _ in range(_TRIES):
            sent = self.callers.request("plan", _BODY, _BODY)
            sent.program, sent.budget, sent.after = program, budget, after
            leaves = self.rng.random() < 0.05
            await self.callers.send(sent, self.rng, leaves, avoided=front)
            answer, front = sent.answer, sent.front
            if answer and answer.is_served:
                return True
            if answer and answer.status == 402:
                return False
            if answer and answer.status == 200:
                after += len(answer.data)
            if self.rng.random() < 0.3:
                after = 0
            await asyncio.sleep(self.rng.uniform(0.0, 0.2))
        return False
