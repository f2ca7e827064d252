"""Drawn walks with operators and routers, over a network that loses, doubles and delays what they say."""

from __future__ import annotations

import heapq
import random
from itertools import count

from rowanshift.controlplane import replication as p
from rowanshift.modelcheck.client_invariants import ClientInvariants
from rowanshift.modelcheck.client_messages import ClientMessage, Poll, Redirect, Reply, Update
from rowanshift.modelcheck.control_service import ControlService
from rowanshift.modelcheck.operators import Operator
from rowanshift.modelcheck.routers import Router
from rowanshift.modelcheck.walk import Walk

OPERATORS = 3
ROUTERS = 3
FIRST_OPERATOR, FIRST_ROUTER = 1001, 2001  # addresses; machines are below
DELAYS = (0.0, 0.0, 0.005, 0.02, 0.1, 0.6, 3.0)  # seconds on the way
STANDSTILLS = (0.3, 1.0, 2.5, 5.0)  # seconds that a router stands still


class ClientWalk(Walk):
    """A walk whose changes and reads come from operators, and whose committed states routers poll."""

    def __init__(
        self,
        seed: int,
        machines: int,
        f: int,
        spares: int = 0,
        replica_class: type[p.Replica] = p.Replica,
        service_class: type[ControlService] = ControlService,
        router_class: type[Router] = Router,
        timing: p.Timing | None = None,
    ) -> None:
        super().__init__(seed, machines, f, spares, replica_class, timing)
        self.service_class = service_class
        self.client_draw = draw = random.Random(f"clients of {seed}")
        self.client_checks = ClientInvariants(self.world.checks)
        numbers = count(1)
        self.operators = {n: Operator(n, draw, numbers) for n in range(FIRST_OPERATOR, FIRST_OPERATOR + OPERATORS)}
        routers = range(FIRST_ROUTER, FIRST_ROUTER + ROUTERS)
        self.routers = {number: router_class(number, self.client_checks) for number in routers}
        self.eagerness = draw.choice([0.01, 0.03, 0.1])  # of an operator, a step
        self.client_loss = draw.choice([0.0, 0.05, 0.3])
        self.on_the_way: list[tuple[float, int, int, int, ClientMessage]] = []  # due, serial, sender, to, message
        self.serials = count()

    def use(self, me: int) -> None:
        """Only operators ask for something."""

    def step(self) -> None:
        """One step of the machines, then one of their clients."""
        super().step()
        self.client_checks.look()
        self._run_services()
        self._deliver_to_clients_and_machines()
        for number, operator in self.operators.items():
            if self.client_draw.random() < self.eagerness:
                operator.ask(lambda message, sender=number: self._ask(sender, message))
        for number, router in self.routers.items():
            self._run_router(number, router)

    def _is_up(self, me: int) -> bool:
        host = self.world.hosts.get(me)
        return host is not None and host.replica is not None and self.world.now >= host.paused_until

    def _run_services(self) -> None:
        for me, host in self.world.hosts.items():
            if not self._is_up(me):
                continue
            if host.service is None:
                host.service = self.service_class(me, self.world, self.client_checks)
            host.service.run(lambda: self.client_draw.random() < 0.5)
            outbox, host.service.outbox = host.service.outbox, []
            for client, message in outbox:
                self._send(me, client, message)

    def _run_router(self, number: int, router: Router) -> None:
        now, draw = self.world.now, self.client_draw
        if now < router.paused_until:
            return
        if router.paused_until > router.stood_still_until:
            router.wake(now)
        if not self.calm and draw.random() < 0.0005:
            router.paused_until = now + draw.choice(STANDSTILLS)
        elif draw.random() < 0.2 and (poll := router.next_poll(now)) is not None:
            self._ask(number, poll)

    def _ask(self, client: int, message: ClientMessage) -> None:
        """Ask a drawn machine, mostly one that is primary, once or twice."""
        draw, hosts = self.client_draw, self.world.hosts
        primaries = [m for m, h in hosts.items() if h.replica is not None and h.replica.is_primary]
        for _ in range(2 if draw.random() < 0.1 else 1):
            likely = primaries if primaries and draw.random() < 0.7 else sorted(hosts)
            self._send(client, draw.choice(likely), message)

    def _send(self, sender: int, to: int, message: ClientMessage) -> None:
        draw = self.client_draw
        if not self.calm and draw.random() < self.client_loss:
            return
        due = self.world.now + draw.choice(DELAYS)
        heapq.heappush(self.on_the_way, (due, next(self.serials), sender, to, message))

    def _deliver_to_clients_and_machines(self) -> None:
        now = self.world.now
        while self.on_the_way and self.on_the_way[0][0] <= now:
            _, _, sender, to, message = heapq.heappop(self.on_the_way)
            if (until := self._paused_until(to)) > now:
                heapq.heappush(self.on_the_way, (until, next(self.serials), sender, to, message))
            elif isinstance(message, Reply):
                self.operators[to].receive(message)
            elif isinstance(message, Update | Redirect):
                self.routers[to].receive(message, now)
            elif self._is_up(to) and self.world.hosts[to].service is not None:
                self.world.hosts[to].service.receive(sender, message)
            elif isinstance(message, Poll):  # the connection is refused
                self._send(to, sender, Redirect(message))

    def _paused_until(self, to: int) -> float:
        """Seconds of the world until which an addressee stands still."""
        if to in self.routers:
            return self.routers[to].paused_until
        return self.world.hosts[to].paused_until if to in self.world.hosts else 0.0
