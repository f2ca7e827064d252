"""Random walks with operators and routers, over a network that loses, duplicates and delays their messages."""

from __future__ import annotations

import heapq
import random
from functools import partial
from itertools import count
from typing import NamedTuple

from rowanshift.controlplane import replication
from rowanshift.modelcheck.client_invariants import ClientInvariants
from rowanshift.modelcheck.client_messages import ClientEnvelope, ClientMessage, Poll, Redirect, Reply, Update
from rowanshift.modelcheck.implementations import DEFAULT_IMPLEMENTATIONS, Implementations
from rowanshift.modelcheck.operator_model import OperatorModel
from rowanshift.modelcheck.random_walk import RandomWalk
from rowanshift.modelcheck.router_model import RouterModel

OPERATORS = 3
ROUTERS = 3
FIRST_OPERATOR, FIRST_ROUTER = 1001, 2001  # addresses; those of machines are below 1001
CLIENT_DELAYS_SECONDS = (0.0, 0.0, 0.005, 0.02, 0.1, 0.6, 3.0)
ROUTER_PAUSES_SECONDS = (0.3, 1.0, 2.5, 5.0)
ROUTER_PAUSE_PROBABILITY = 0.0005  # per step
POLL_PROBABILITY = 0.2  # per step, that a router polls if no poll of it is pending
SERVICE_PROBABILITY = 0.5  # per step, that a runnable task of a service continues
DUPLICATE_PROBABILITY = 0.1  # that a request is also sent to a second machine
PRIMARY_PROBABILITY = 0.7  # that the target is drawn from the primaries and not from all machines


class ScheduledEnvelope(NamedTuple):
    """A message to or from a client that is due for delivery at a given time."""

    due: float  # model time in seconds
    serial: int  # order among messages that are due at the same time
    envelope: ClientEnvelope


class ClientWalk(RandomWalk):
    """A walk in which operators make the changes and reads, and routers poll the committed states."""

    def __init__(
        self,
        seed: int,
        machine_count: int,
        max_failures: int,
        spares: int = 0,
        implementations: Implementations = DEFAULT_IMPLEMENTATIONS,
        timing: replication.Timing | None = None,
    ) -> None:
        super().__init__(seed, machine_count, max_failures, spares, implementations, timing)
        self.client_random = client_random = random.Random(f"clients of {seed}")
        self.client_invariants = ClientInvariants(self.cluster.invariants)
        numbers = count(1)
        operators = range(FIRST_OPERATOR, FIRST_OPERATOR + OPERATORS)
        self.operators = {address: OperatorModel(client_random, numbers) for address in operators}
        routers = range(FIRST_ROUTER, FIRST_ROUTER + ROUTERS)
        self.routers = {address: implementations.router(self.client_invariants) for address in routers}
        self.request_rate = client_random.choice([0.01, 0.03, 0.1])  # requests per step of each operator
        self.client_message_loss = client_random.choice([0.0, 0.05, 0.3])
        self.scheduled: list[ScheduledEnvelope] = []  # a heap
        self.serials = count()

    def issue_requests(self, machine_id: int) -> None:
        """Do nothing: in this walk only operators issue requests."""

    def step(self) -> None:
        """One step of the machines, then one of their clients."""
        super().step()
        self.client_invariants.check_new_commits()
        self._run_services()
        self._deliver_due_messages()
        for address, operator in self.operators.items():
            if self.client_random.random() < self.request_rate:
                operator.issue_request(partial(self._request, address))
        for address, router in self.routers.items():
            self._run_router(address, router)

    def _run_services(self) -> None:
        for machine_id, machine in self.cluster.machines.items():
            if not self.is_up(machine_id):
                continue
            if machine.service is None:
                machine.service = self.implementations.service(machine_id, self.cluster, self.client_invariants)
            machine.service.run(lambda: self.client_random.random() < SERVICE_PROBABILITY)
            outbox, machine.service.outbox = machine.service.outbox, []
            for envelope in outbox:
                self._send(envelope)

    def _run_router(self, address: int, router: RouterModel) -> None:
        now, client_random = self.cluster.now, self.client_random
        if now < router.paused_until:
            return
        if router.paused_until > router.resumed_at:
            router.resume(now)
        if not self.fault_free and client_random.random() < ROUTER_PAUSE_PROBABILITY:
            router.paused_until = now + client_random.choice(ROUTER_PAUSES_SECONDS)
        elif client_random.random() < POLL_PROBABILITY and (poll := router.next_poll(now)) is not None:
            self._request(address, poll)

    def _request(self, client: int, message: ClientMessage) -> None:
        """Send a client's request to a random machine, usually a primary, once or twice."""
        client_random = self.client_random
        primaries = self.cluster.primaries()
        for _ in range(2 if client_random.random() < DUPLICATE_PROBABILITY else 1):
            to_primary = primaries and client_random.random() < PRIMARY_PROBABILITY
            machine_id = client_random.choice(primaries if to_primary else sorted(self.cluster.machines))
            self._send(ClientEnvelope(client, machine_id, message))

    def _send(self, envelope: ClientEnvelope) -> None:
        if not self.fault_free and self.client_random.random() < self.client_message_loss:
            return
        self._schedule(self.cluster.now + self.client_random.choice(CLIENT_DELAYS_SECONDS), envelope)

    def _schedule(self, due: float, envelope: ClientEnvelope) -> None:
        heapq.heappush(self.scheduled, ScheduledEnvelope(due, next(self.serials), envelope))

    def _deliver_due_messages(self) -> None:
        now = self.cluster.now
        while self.scheduled and self.scheduled[0].due <= now:
            envelope = heapq.heappop(self.scheduled).envelope
            paused_until = self._paused_until(envelope.recipient)
            if paused_until > now:
                self._schedule(paused_until, envelope)
            else:
                self._deliver(envelope)

    def _deliver(self, envelope: ClientEnvelope) -> None:
        sender, recipient, message = envelope
        if isinstance(message, Reply):
            self.operators[recipient].receive(message)
        elif isinstance(message, Update | Redirect):
            self.routers[recipient].receive(message, self.cluster.now)
        elif self.is_up(recipient) and (service := self.cluster.machines[recipient].service) is not None:
            service.receive(sender, message)
        elif isinstance(message, Poll):  # the connection is refused
            self._send(ClientEnvelope(recipient, sender, Redirect(message)))

    def _paused_until(self, address: int) -> float:
        """The model time in seconds until which a router or machine is paused."""
        if address in self.routers:
            return self.routers[address].paused_until
        return self.cluster.machines[address].paused_until if address in self.cluster.machines else 0.0
