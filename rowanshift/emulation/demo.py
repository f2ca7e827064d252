"""``rowanshift demo --router``: emulated servers and a cache router on loopback in one process, and a few requests."""

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
from rowanshift.emulation.discovery import DiscoveryAgent, server_row
from rowanshift.emulation.http import SharedState, field_of
from rowanshift.emulation.servers import Cache, CacheServerTraits, Origin
from rowanshift.invariants.events import EventStream
from rowanshift.process.error_groups import first_of
from rowanshift.transport.http_connection import Connection, Message
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import SYSTEM_RUNTIME
from rowanshift.transport.streams import Address, connect, send_all

CACHE_PORTS, ORIGIN_PORT = (9001, 9002, 9003), 9000
READ_KEYS = ("hello", "hello", "perfume", "hello", "perfume", "lamp")

say = partial(print, flush=True)  # flushed so that a pipe shows the progress


class EmulatedServers:
    """Three caches, an origin and a discovery agent on loopback sockets.

    ``works`` is the mean work of a cache by category, ``origin_seconds`` that of the origin."""

    def __init__(
        self, discovery: Address, works: dict[str, float], origin_seconds: float = 0.2, host: str = "127.0.0.1"
    ) -> None:
        self.events, shared_state = EventStream(time.monotonic), SharedState()
        caches = {f"cache-{port}": (host, port) for port in CACHE_PORTS}
        rows = [server_row(name, address, "here", "cache") for name, address in caches.items()]
        rows.append(server_row("origin", (host, ORIGIN_PORT), "here", "origin"))
        common = time.monotonic, self.events
        self.servers = [
            Cache(SYSTEM_RUNTIME, address, *common, name, CacheServerTraits(works), shared_state, random.Random(name))
            for name, address in caches.items()
        ]
        self.servers.append(
            Origin(
                SYSTEM_RUNTIME,
                (host, ORIGIN_PORT),
                *common,
                "origin",
                CacheServerTraits(dict.fromkeys(works, origin_seconds)),
                shared_state,
                random.Random(0),
            )
        )
        self.agent = DiscoveryAgent(SYSTEM_RUNTIME, discovery, *common, "demo", rows)

    async def run(self) -> None:
        async with trio.open_nursery() as nursery:
            for server in (*self.servers, self.agent):
                nursery.start_soon(server.run)


async def ask(address: Address, method: str, target: str, txn: str, body: bytes = b"") -> Message:
    """Send one request on a new connection."""
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
                raise ConnectionResetError("the router closed the connection before the end of its response")
        return message
    finally:
        connection.close()


async def show(address: Address, service: Service) -> None:
    while service.phase is not Phase.SERVING or not service.driver.router.ready:
        await trio.sleep(0.02)
    for index, key in enumerate(READ_KEYS):
        started_at = trio.current_time()
        message = await ask(address, "GET", f"/read/{key}", f"demo-{index}")
        source = field_of(message, b"x-found") or "from the origin"
        took = 1000 * (trio.current_time() - started_at)
        say(f"GET /read/{key:8} {message.status}  {took:6.1f} ms  {source:16}{message.body.decode().strip()}")
    message = await ask(address, "PUT", "/write/hello", "demo-put", b"new")
    say(f"PUT /write/hello   {message.status}  {message.body.decode().strip()}")
    message = await ask(address, "GET", "/read/hello", "demo-again")
    say(f"GET /read/hello    {message.status}  {message.body.decode().strip()}")


async def run_servers_only(config_path: Path) -> None:
    """Run the emulated servers without a router."""
    config = load(config_path)
    say(
        "Stand-ins for three caches, an origin and discovery; Ctrl-C stops them. To start a router for them:\n"
        f"  rowanshift serve -c {config_path}"
    )
    await EmulatedServers(config.discovery, {name.decode(): 0.002 for name in config.names.categories}).run()


async def play(config_path: Path, stay: bool) -> None:
    config = load(config_path)
    fleet = EmulatedServers(config.discovery, {name.decode(): 0.002 for name in config.names.categories})
    service = Service(config, config_path)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.run)
        await trio.sleep(0.05)
        nursery.start_soon(service.run)
        await show(config.listen, service)
        if stay:
            host, port = config.listen
            say(
                "The router keeps running until Ctrl-C. To send a request:\n  curl -i -H 'X-Txn: 1' -H "
                f"'X-Org: demo' -H 'X-Remaining-Ms: 2000' http://{host}:{port}/read/hello"
            )
        else:
            service.shutdown_requested.set()
        while service.phase is not Phase.STOPPED:
            await trio.sleep(0.05)
        nursery.cancel_scope.cancel()


def demo(config: Path, stay: bool, router: bool) -> int:
    """Show requests through a router to emulated servers, or run only the servers. Returns the exit status."""
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
            trio.run(run_servers_only, config)
    except* KeyboardInterrupt:
        pass
    except* OSError as group:
        print(f"rowanshift: {first_of(group)}", file=sys.stderr)
        status = 1
    return status
