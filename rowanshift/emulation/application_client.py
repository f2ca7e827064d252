"""A caller of the core machines for locks, numbers and keys, which records each call with its answer.

Times are in seconds by the clock that it is given.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from rowanshift.controlplane.coordination.calls import Answer, Call
from rowanshift.coordination.http_calls import answer_of, http_call
from rowanshift.coordination.redirects import follow_redirects
from rowanshift.invariants.coordination_facts import CoordinationAnswered, CoordinationAsked
from rowanshift.invariants.facts import Fact
from rowanshift.transport.call_client import CallFailed
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import Runtime
from rowanshift.transport.streams import Address

REPEAT_SECONDS = 6.0  # for which a call without a clear answer is sent again
RETRY_SECONDS = 0.1  # between two calls
UNSETTLED = (0, 307, 408, 429, 500, 502, 503, 504)


@dataclass
class Application:
    """One caller. ``controls`` are the addresses of the core machines' API, as they are at any time."""

    host: Runtime
    name: str
    now: Callable[[], float]
    facts: list[Fact]
    controls: Sequence[Address]
    random_source: random.Random
    memory: MemoryBudget = field(default_factory=lambda: MemoryBudget(64))
    calls: int = 0
    settled: int = 0  # calls that got an answer
    given_up: list[Call] = field(default_factory=list)  # that got no clear answer in time

    async def ask(self, asked: Call) -> Answer | None:
        """The answer to a call, which is sent again until it is settled or ``REPEAT_SECONDS`` are over."""
        until = self.now() + REPEAT_SECONDS
        while True:
            status, answer = await self._ask_once(asked)
            if answer is not None or status not in UNSETTLED:
                self.settled += 1
                return answer
            if self.now() >= until:
                self.given_up.append(asked)
                return None
            await self.host.pause(RETRY_SECONDS * (0.5 + self.random_source.random()))

    async def _ask_once(self, asked: Call) -> tuple[int, Answer | None]:
        """One call, with its redirects: the last status, 0 for none, and the answer."""
        self.calls += 1
        id = f"{self.name}-{self.calls}"
        address = self.random_source.choice(self.controls)
        self.facts.append(CoordinationAsked(self.now(), id, asked))
        try:
            message = await follow_redirects(self.host, self.memory, address, http_call(asked))
        except CallFailed:
            return 0, None
        answer = answer_of(asked, message.status, message.body)
        self.facts.append(CoordinationAnswered(self.now(), id, message.status, answer))
        return message.status, answer
