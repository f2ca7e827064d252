"""The measured process of a step: receives commands over a pipe and answers with its resource usage."""

import os
import resource
import time
from multiprocessing.connection import Connection
from typing import Any

import trio
from loguru import logger

from rowanshift.capacity.hollow import HollowLedger, real_channel
from rowanshift.capacity.meter import LoopbackRuntime, rss
from rowanshift.transport.streams import Address

COMMANDS = ("change_config", "change_roster", "read_list", "nothing")
CONVERGENCE_TIMEOUT_SECONDS = 30.0


def resource_usage(host: LoopbackRuntime) -> dict[str, Any]:
    """CPU seconds, current and peak resident memory in bytes, and bytes received and sent by this process."""
    return {
        "cpu_s": time.process_time(),
        "rss": rss(),
        "rss_most": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss << 10,
        "received": host.count.received,
        "sent": host.count.sent,
    }


async def receive_command(pipe: Connection) -> Any:
    return await trio.to_thread.run_sync(pipe.recv, abandon_on_cancel=True)


async def run_ledger(pipe: Connection, sizes: dict[str, int]) -> None:
    host = LoopbackRuntime()
    async with trio.open_nursery() as nursery:
        hollow = HollowLedger(host, **sizes)
        await hollow.start(nursery)
        pipe.send(resource_usage(host) | {"address": hollow.address})
        while (command := await receive_command(pipe)) != "stop":
            if command not in COMMANDS:
                raise ValueError(command)
            cpu_before = time.process_time()
            await getattr(hollow, command)()
            command_cpu_seconds = time.process_time() - cpu_before
            pipe.send(resource_usage(host) | hollow.state() | {"own_cpu_s": command_cpu_seconds})
        nursery.cancel_scope.cancel()


async def run_router(pipe: Connection, address: Address) -> None:
    host = LoopbackRuntime()
    async with trio.open_nursery() as nursery:
        pipe.send(resource_usage(host))
        channel = real_channel(host, address)
        nursery.start_soon(channel.run)
        while (command := await receive_command(pipe)) != "stop":
            registry_version, fingerprint = command
            with trio.fail_after(CONVERGENCE_TIMEOUT_SECONDS):
                while channel.cache.registry_version < registry_version or channel.cache.fingerprint != fingerprint:
                    await channel.cache.wait_for_update(0.5)
            pipe.send(resource_usage(host))
        nursery.cancel_scope.cancel()


def main(role: str, pipe: Connection, argument: Any) -> None:
    """Entry point of the spawned process, which exits when the pipe is closed."""
    logger.remove()
    try:
        trio.run({"ledger": run_ledger, "router": run_router}[role], pipe, argument)
    except* (EOFError, BrokenPipeError):
        os._exit(1)
