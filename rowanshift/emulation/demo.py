"""``rowanshift demo``: stand-ins and a router on loopback in one process, and some reads shown."""

import random
import signal
import sys
import time
from functools import partial
from pathlib import Path

import httptools
import trio

from rowanshift.cacheproxy.config import ConfigError, load
from rowanshift.cacheproxy.service import Phase, Service
from rowanshift.emulation.discovery import Agent, row_of
from rowanshift.emulation.http import Ledger, field_of
from rowanshift.emulation.servers import Cache, Kind, Origin
from rowanshift.invariants.events import Events
from rowanshift.process.error_groups import first_of
from rowanshift.transport.http_connection import Connection, Message
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import SYSTEM_RUNTIME
from rowanshift.transport.streams import Address, connect, send_all

CACHES, ORIGIN = (9001, 9002, 9003), 9000
KEYS = ("hello", "hello", "perfume", "hello", "perfume", "lamp")

say = partial(print, flush=True)  # also into a pipe, while it goes on


class Fleet:
    """Stand-ins on real loopback sockets, as the router's configuration expects them."""

    def __init__(
        self, discovery: Address, works: dict[str, float], fetch: float = 0.2, host: str = "127.0.0.1"
    ) -> None:
        self.events, ledger = Events(time.monotonic), Ledger()
        caches = {f"cache-{port}": (host, port) for port in CACHES}
        rows = [row_of(name, address, "here", "cache") for name, address in caches.items()]
        rows.append(row_of("origin", (host, ORIGIN), "here", "origin"))
        common = time.monotonic, self.events
        self.servers = [
            Cache(SYSTEM_RUNTIME, address, *common, name, Kind(works), ledger, random.Random(name))
            for name, address in caches.items()
        ]
        self.servers.append(
            Origin(
                SYSTEM_RUNTIME,
                (host, ORIGIN),
                *common,
                "origin",
                Kind(dict.fromkeys(works, fetch)),
                ledger,
                random.Random(0),
            )
        )
        self.agent = Agent(SYSTEM_RUNTIME, discovery, *common, "demo", rows)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            for server in (*self.servers, self.agent):
                nursery.start_soon(server.run)


async def ask(address: Address, method: str, target: str, txn: str, body: bytes = b"") -> Message:
    """One request on a connection of its own."""
    connection = Connection(SYSTEM_RUNTIME.stream(), httptools.HttpResponseParser, MemoryBudget(64))
    try:
        await connect(connection.stream, address)
        head = (
            f"{method} {target} HTTP/1.1\r\nHost: demo\r\nX-Txn: {txn}\r\nX-Org: demo\r\n"
            f"X-Remaining-Ms: 2000\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        await send_all(connection.stream, head.encode() + body)
        while (message := connection.next()) is None:
            await connection.stream.wait_readable()
            if not connection.receive():
                raise ConnectionResetError("the router ended the connection")
        return message
    finally:
        connection.close()


async def show(address: Address, service: Service) -> None:
    while service.phase is not Phase.SERVING or not service.driver.router.ready:
        await trio.sleep(0.02)
    for n, key in enumerate(KEYS):
        began = trio.current_time()
        message = await ask(address, "GET", f"/read/{key}", f"demo-{n}")
        found = field_of(message, b"x-found") or "from the origin"
        took = 1000 * (trio.current_time() - began)
        say(f"GET /read/{key:8} {message.status}  {took:6.1f} ms  {found:16}{message.body.decode().strip()}")
    message = await ask(address, "PUT", "/write/hello", "demo-put", b"new")
    say(f"PUT /write/hello   {message.status}  {message.body.decode().strip()}")
    message = await ask(address, "GET", "/read/hello", "demo-again")
    say(f"GET /read/hello    {message.status}  {message.body.decode().strip()}")


async def stand_by(config_path: Path) -> None:
    """The stand-ins alone, for routers that are started beside them."""
    config = load(config_path)
    say(
        "Stand-ins of three caches, an origin and discovery; Ctrl-C ends them. A router for them:\n"
        f"  rowanshift serve -c {config_path}"
    )
    await Fleet(config.discovery, {name.decode(): 0.002 for name in config.names.categories}).run()


async def play(config_path: Path, stay: bool) -> None:
    config = load(config_path)
    fleet = Fleet(config.discovery, {name.decode(): 0.002 for name in config.names.categories})
    service = Service(config, config_path)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        await trio.sleep(0.05)
        nursery.start_soon(service.run)
        await show(config.listen, service)
        if stay:
            host, port = config.listen
            say(
                "The router goes on; Ctrl-C ends it. To ask it yourself:\n  curl -i -H 'X-Txn: 1' -H "
                f"'X-Org: demo' -H 'X-Remaining-Ms: 2000' http://{host}:{port}/read/hello"
            )
        else:
            service.shutdown_requested.set()
        while service.phase is not Phase.STOPPED:
            await trio.sleep(0.05)
        nursery.cancel_scope.cancel()


def demo(config: Path, stay: bool, router: bool) -> int:
    """Shows some reads of a router between stand-ins, or runs the stand-ins alone; the exit status."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        load(config)
    except ConfigError as error:
        print(f"rowanshift: {error}", file=sys.stderr)
        return 2
    status = 0
    try:
        if router:
            trio.run(play, config, stay)
        else:
            trio.run(stand_by, config)
    except* KeyboardInterrupt:
        pass
    except* OSError as group:
        print(f"rowanshift: {first_of(group)}", file=sys.stderr)
        status = 1
    return status
