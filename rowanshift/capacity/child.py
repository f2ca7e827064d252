"""The measured process of a step: told what to do over a pipe, it answers with its figures."""

import os
import resource
import time
from multiprocessing.connection import Connection
from typing import Any

import trio
from loguru import logger

from rowanshift.capacity.hollow import HollowLedger, real_channel
from rowanshift.capacity.meter import Loopback, rss
from rowanshift.transport.streams import Address

COMMANDS = ("change_config", "change_roster", "read_list", "nothing")
WITHIN = 30.0  # seconds for a router to know what it is told to know


def figures(host: Loopback) -> dict[str, Any]:
    """What this process has used: CPU seconds, bytes of memory now and at most, bytes received and sent."""
    return {
        "cpu_s": time.process_time(),
        "rss": rss(),
        "rss_most": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss << 10,
        "received": host.count.received,
        "sent": host.count.sent,
    }


async def told(pipe: Connection) -> Any:
    return await trio.to_thread.run_sync(pipe.recv, abandon_on_cancel=True)


async def ledger(pipe: Connection, plan: dict[str, int]) -> None:
    host = Loopback()
    async with trio.open_nursery() as nursery:
        hollow = HollowLedger(host, **plan)
        await hollow.start(nursery)
        pipe.send(figures(host) | {"address": hollow.address})
        while (command := await told(pipe)) != "stop":
            if command not in COMMANDS:
                raise ValueError(command)
            at = time.process_time()
            await getattr(hollow, command)()
            own = time.process_time() - at
            pipe.send(figures(host) | hollow.state() | {"own_cpu_s": own})
        nursery.cancel_scope.cancel()


async def router(pipe: Connection, address: Address) -> None:
    host = Loopback()
    async with trio.open_nursery() as nursery:
        pipe.send(figures(host))
        channel = real_channel(host, address)
        nursery.start_soon(channel.run)
        while (command := await told(pipe)) != "stop":
            registry, mark = command
            with trio.fail_after(WITHIN):
                while channel.cache.registry_version < registry or channel.cache.fingerprint != mark:
                    await channel.cache.wait_for_update(0.5)
            pipe.send(figures(host))
        nursery.cancel_scope.cancel()


def main(role: str, pipe: Connection, given: Any) -> None:
    """A spawned process; it ends when the pipe does."""
    logger.remove()
    try:
        trio.run({"ledger": ledger, "router": router}[role], pipe, given)
    except* (EOFError, BrokenPipeError):
        os._exit(1)
