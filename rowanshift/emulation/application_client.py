"""Client for the coordination API (locks, numbers and keys) that records each call and its answer.

Times are in seconds of the clock passed to the client.
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

REPEAT_SECONDS = 6.0  # how long a call without a conclusive answer is retried
RETRY_SECONDS = 0.1  # mean pause between two attempts of a call
RETRYABLE_STATUSES = (0, 307, 408, 429, 500, 502, 503, 504)  # 0: no response


@dataclass
class Application:
    """A client of the coordination API. ``controls`` are the current API addresses of the core machines; the caller
    may change the sequence."""

    host: Runtime
    name: str
    now: Callable[[], float]
    facts: list[Fact]
    controls: Sequence[Address]
    random_source: random.Random
    memory: MemoryBudget = field(default_factory=lambda: MemoryBudget(64))
    calls: int = 0
    answered_calls: int = 0
    unanswered_calls: list[Call] = field(default_factory=list)  # no conclusive answer within ``REPEAT_SECONDS``

    async def ask(self, call: Call) -> Answer | None:
        """Send a call, with retries for up to ``REPEAT_SECONDS``, and return its answer if there is one."""
        deadline = self.now() + REPEAT_SECONDS
        while True:
            status, answer = await self._send_once(call)
            if answer is not None or status not in RETRYABLE_STATUSES:
                self.answered_calls += 1
                return answer
            if self.now() >= deadline:
                self.unanswered_calls.append(call)
                return None
            await self.host.pause(RETRY_SECONDS * (0.5 + self.random_source.random()))

    async def _send_once(self, call: Call) -> tuple[int, Answer | None]:
        """Send a call once, following redirects. Returns the last status (0 without a response) and the answer."""
        self.calls += 1
        call_id = f"{self.name}-{self.calls}"
        address = self.random_source.choice(self.controls)
        self.facts.append(CoordinationAsked(self.now(), call_id, call))
        try:
            message = await follow_redirects(self.host, self.memory, address, http_call(call))
        except CallFailed:
            return 0, None
        answer = answer_of(call, message.status, message.body)
        self.facts.append(CoordinationAnswered(self.now(), call_id, message.status, answer))
        return message.status, answer
