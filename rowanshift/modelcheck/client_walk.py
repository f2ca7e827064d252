"""Drawn walks with operators and routers, over a network that loses, doubles and delays what they say."""

from __future__ import annotations

import heapq
import random
from itertools import count

from rowanshift.controlplane import replication
from rowanshift.modelcheck.client_invariants import ClientInvariants
from rowanshift.modelcheck.client_messages import ClientMessage, Poll, Redirect, Reply, Update
from rowanshift.modelcheck.control_service import ControlService
from rowanshift.modelcheck.operator_model import OperatorModel
from rowanshift.modelcheck.random_walk import RandomWalk
from rowanshift.modelcheck.router_model import RouterModel

OPERATORS = 3
ROUTERS = 3
FIRST_OPERATOR, FIRST_ROUTER = 1001, 2001  # addresses; machines are below
DELAYS = (0.0, 0.0, 0.005, 0.02, 0.1, 0.6, 3.0)  # seconds on the way
STANDSTILLS = (0.3, 1.0, 2.5, 5.0)  # seconds that a router stands still


class ClientWalk(RandomWalk):
    """A walk whose changes and reads come from operators, and whose committed states routers poll."""

    def __init__(
        self,
        seed: int,
        machine_count: int,
        max_failures: int,
        spares: int = 0,
        replica_class: type[replication.Replica] = replication.Replica,
        service_class: type[ControlService] = ControlService,
        router_class: type[RouterModel] = RouterModel,
        timing: replication.Timing | None = None,
    ) -> None:
        super().__init__(seed, machine_count, max_failures, spares, replica_class, timing)
        self.service_class = service_class
        self.client_random = random_source = random.Random(f"clients of {seed}")
        self.client_checks = ClientInvariants(self.cluster.invariants)
        numbers = count(1)
        self.operators = {
            n: OperatorModel(n, random_source, numbers) for n in range(FIRST_OPERATOR, FIRST_OPERATOR + OPERATORS)
        }
        routers = range(FIRST_ROUTER, FIRST_ROUTER + ROUTERS)
        self.routers = {number: router_class(number, self.client_checks) for number in routers}
        self.eagerness = random_source.choice([0.01, 0.03, 0.1])  # of an operator, a step
        self.client_loss = random_source.choice([0.0, 0.05, 0.3])
        self.on_the_way: list[tuple[float, int, int, int, ClientMessage]] = []  # due, serial, sender, to, message
        self.serials = count()

    def use(self, machine_id: int) -> None:
        """Only operators ask for something."""

    def step(self) -> None:
        """One step of the machines, then one of their clients."""
        super().step()
        self.client_checks.look()
        self._run_services()
        self._deliver_to_clients_and_machines()
        for number, operator in self.operators.items():
            if self.client_random.random() < self.eagerness:
                operator.ask(lambda message, sender=number: self._ask(sender, message))
        for number, router in self.routers.items():
            self._run_router(number, router)

    def _is_up(self, machine_id: int) -> bool:
        machine = self.cluster.machines.get(machine_id)
        return machine is not None and machine.replica is not None and self.cluster.now >= machine.paused_until

    def _run_services(self) -> None:
        for machine_id, machine in self.cluster.machines.items():
            if not self._is_up(machine_id):
                continue
            if machine.service is None:
                machine.service = self.service_class(machine_id, self.cluster, self.client_checks)
            machine.service.run(lambda: self.client_random.random() < 0.5)
            outbox, machine.service.outbox = machine.service.outbox, []
            for client, message in outbox:
                self._send(machine_id, client, message)

    def _run_router(self, number: int, router: RouterModel) -> None:
        now, random_source = self.cluster.now, self.client_random
        if now < router.paused_until:
            return
        if router.paused_until > router.stood_still_until:
            router.wake(now)
        if not self.calm and random_source.random() < 0.0005:
            router.paused_until = now + random_source.choice(STANDSTILLS)
        elif random_source.random() < 0.2 and (poll := router.next_poll(now)) is not None:
            self._ask(number, poll)

    def _ask(self, client: int, message: ClientMessage) -> None:
        """Ask a drawn machine, mostly one that is primary, once or twice."""
        random_source, machines = self.client_random, self.cluster.machines
        primaries = [m for m, h in machines.items() if h.replica is not None and h.replica.is_primary]
        for _ in range(2 if random_source.random() < 0.1 else 1):
            likely = primaries if primaries and random_source.random() < 0.7 else sorted(machines)
            self._send(client, random_source.choice(likely), message)

    def _send(self, sender: int, to: int, message: ClientMessage) -> None:
        random_source = self.client_random
        if not self.calm and random_source.random() < self.client_loss:
            return
        due = self.cluster.now + random_source.choice(DELAYS)
        heapq.heappush(self.on_the_way, (due, next(self.serials), sender, to, message))

    def _deliver_to_clients_and_machines(self) -> None:
        now = self.cluster.now
        while self.on_the_way and self.on_the_way[0][0] <= now:
            _, _, sender, to, message = heapq.heappop(self.on_the_way)
            if (until := self._paused_until(to)) > now:
                heapq.heappush(self.on_the_way, (until, next(self.serials), sender, to, message))
            elif isinstance(message, Reply):
                self.operators[to].receive(message)
            elif isinstance(message, Update | Redirect):
                self.routers[to].receive(message, now)
            elif self._is_up(to) and self.cluster.machines[to].service is not None:
                self.cluster.machines[to].service.receive(sender, message)
            elif isinstance(message, Poll):  # the connection is refused
                self._send(to, sender, Redirect(message))

    def _paused_until(self, to: int) -> float:
        """Seconds of the world until which an addressee stands still."""
        if to in self.routers:
            return self.routers[to].paused_until
        return self.cluster.machines[to].paused_until if to in self.cluster.machines else 0.0
