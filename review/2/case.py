"""A server answers long requests before it has read them and reads on later; clients get a 503 for requests that ran.

The check is the rule REFUSED: no request that isn't idempotent and has run gets a 429 or 503 (or a 408, 421).
With MODE=close the server closes the connection behind its early answer instead, and the check is the rule TWICE.
"""

import asyncio
import os
import sys
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig import FRONT, LIMITS, SERVER, Deployment, main, read_head, read_message

BODY_BYTES = 4_000_000  # under maxBodyBytes
ROUTE_TIMEOUT_MS, DEADLINE_MS = 2000, 5000
LATER_SECONDS = 3.0  # after its early answer the server reads on so much later
CLIENTS, ORDERS = 8, 30  # each client sends so many orders, one after the other
EARLY = (50, 100)  # which of the long requests at one of the two servers are answered early: never over 2 in 100
PROMISES = (408, 421, 429, 503)
NEW_TRY = "-again"


@dataclass
class Facts:
    """What the servers ran and which requests they answered early."""

    runs: Counter[str] = field(default_factory=Counter)  # by request id
    order_runs: Counter[str] = field(default_factory=Counter)  # by the client's order
    early: set[str] = field(default_factory=set)
    long_requests: int = 0  # at server 1
    refused_though_run: list[str] = field(default_factory=list)


CONFIGURATION: dict[str, Any] = {
    "revision": 5,
    "routes": [{"name": "r-4efe699", "hostname": "jepu9.example", "pathPrefix": "/defi252/",
                "routeType": "non_idempotent", "timeoutMs": ROUTE_TIMEOUT_MS, "targetLatencyMs": 274, "priority": 0,
                "backend": "kafi81c", "retries": 2, "public": False, "sticky": False, "resumable": False}],
    "backends": [{"name": "kafi81c", "healthCheck": "/health", "maxConnections": 560, "protocol": "h1", "tls": False}],
    "limits": LIMITS,
}  # fmt: skip


class Server:
    """A stand-in for an application server; server 1 answers some long requests early if there is trouble."""

    def __init__(self, deployment: Deployment, number: int, facts: Facts, early: tuple[int, ...]) -> None:
        self.deployment, self.number, self.facts, self.early = deployment, number, facts, early
        self.closes = os.environ.get("MODE") == "close"

    async def handle(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of one connection."""
        while True:
            head = await read_head(reader)
            request, order = head.fields["request-id"], head.fields["order-number"]
            length = int(head.fields["content-length"])
            is_early = False
            if self.number == 1:
                self.facts.long_requests += 1
                is_early = self.facts.long_requests in self.early
            if not is_early:
                await reader.readexactly(length)
            self.facts.runs[request] += 1
            self.facts.order_runs[order] += 1
            self.deployment.record(f"server {self.number}: runs {request} of order {order}")
            await asyncio.sleep(0.02)
            answer = f"HTTP/1.1 200 OK\r\nRequest-Id: {request}\r\nResponse-Seal: {request}.{self.number}\r\n"
            closing = "Connection: close\r\n" if is_early and self.closes else ""
            writer.write(f"{answer}{closing}Content-Length: 5\r\n\r\ndone\n".encode())
            await writer.drain()
            if not is_early:
                continue
            self.facts.early.add(request)
            self.deployment.record(f"server {self.number}: has answered {request} with 200, and has not read its body")
            if self.closes:
                await asyncio.sleep(0.05)
                return
            await asyncio.sleep(LATER_SECONDS)
            await reader.readexactly(length)
            self.deployment.record(f"server {self.number}: has read the body of {request}")


class Client:
    """A stand-in for a client of a non-idempotent route: it tries again only after a promise, as the pages say."""

    def __init__(self, deployment: Deployment, number: int, facts: Facts) -> None:
        self.deployment, self.number, self.facts = deployment, number, facts

    async def send_orders(self) -> None:
        """Send one order after the other."""
        for count in range(ORDERS):
            order = f"{self.number}.{count}"
            request = f"{self.number:08x}{count:08x}"
            if await self.send(order, request) in PROMISES:
                await asyncio.sleep(0.1)  # Retry-After
                await self.send(order, request + NEW_TRY)

    async def send(self, order: str, request: str) -> int:
        """Make one try on a connection of its own; returns the status of the answer, 0 without one."""
        routers = list(self.deployment.routers.values())
        ip, status, note = routers[self.number % len(routers)], 0, ""
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000):
                reader, writer = await asyncio.open_connection(ip, FRONT)
                writer.write(
                    f"POST /defi252/2f HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: {request}\r\n"
                    f"Order-Number: {order}\r\nDeadline-Remaining: {DEADLINE_MS}\r\n"
                    f"Content-Length: {BODY_BYTES}\r\n\r\n".encode()
                )
                writer.write(bytes(BODY_BYTES))
                answer = await read_message(reader)
                status, note = answer.status, answer.body.decode().strip()
                writer.close()
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            note = repr(error)
        self.deployment.record(f"client {self.number}: {request} of order {order} gets {status} {note}")
        if status in PROMISES:
            self.facts.refused_though_run += [request] * (self.facts.runs[request] > 0)
        return status


async def run(deployment: Deployment, trouble: bool) -> bool:
    """Have clients send orders with long bodies to two servers."""
    facts = Facts()
    for number in (1, 2):
        ip = f"{deployment.net}{80 + number}"
        server = Server(deployment, number, facts, EARLY if trouble else ())
        # the window of a connection is small, so that a server that does not read holds the writer up
        await deployment.serve(ip, SERVER, server.handle, receive_buffer=4096)
        deployment.entries.append(
            {"id": f"i-{number}", "backend": "kafi81c", "address": f"{ip}:{SERVER}", "zone": f"zone-{number}",
             "revision": "v1", "slots": 64, "state": "up", "warmupLeftMs": 0}
        )  # fmt: skip
    await deployment.start()
    await deployment.operate("PUT", "/config", CONFIGURATION, 0)
    await deployment.wait_ready()
    await asyncio.gather(*(Client(deployment, number, facts).send_orders() for number in range(CLIENTS)))
    await asyncio.sleep(LATER_SECONDS + 0.5)
    twice = [request for request, count in facts.runs.items() if count > 1]
    doubled = [order for order, count in facts.order_runs.items() if count > 1]
    deployment.record(f"answered early: {sorted(facts.early)}, of {facts.long_requests} long requests at server 1")
    deployment.record(f"refused although they ran: {facts.refused_though_run}; requests that ran twice: {twice}")
    deployment.record(f"orders that were carried out twice: {doubled}")
    if trouble and not facts.early:
        raise RuntimeError("no request was answered early")
    return not (twice if os.environ.get("MODE") == "close" else facts.refused_though_run)


if __name__ == "__main__":
    main(run, str(Path(__file__).resolve().parent), contracts=["base", "drain", "config", "cost", "retry", "recover"])
