"""Datagrams between routers; a sender's address tells its ordinal."""

from collections.abc import Callable

import trio
from loguru import logger

from rowanshift.transport.streams import Address, Port

LARGEST = 256


class Peers:
    def __init__(
        self, port: Port, addresses: list[Address], everyone: Address | None, heard: Callable[[int, bytes], None]
    ) -> None:
        self.port, self.addresses, self.everyone, self.heard = port, addresses, everyone, heard
        self.ordinals = {address: n for n, address in enumerate(addresses)}
        self.ours, self.hearing = trio.Event(), trio.CancelScope()
        self.ours.set()
        self.outbox, self.inbox = trio.open_memory_channel[tuple[int | None, bytes]](16)

    def tell(self, ordinal: int | None, payload: bytes) -> None:
        """Sends to one router, or to all; a message may be lost, so a full outbox loses it."""
        if ordinal is not None and ordinal >= len(self.addresses):  # the settings count more than are here
            return
        try:
            self.outbox.send_nowait((ordinal, payload))
        except trio.WouldBlock:
            logger.debug("a message to a peer is lost")

    async def send(self) -> None:
        async for ordinal, payload in self.inbox:
            address = self.everyone if ordinal is None else self.addresses[ordinal]
            if address is None or len(payload) > LARGEST:
                continue
            try:
                await self.port.send(payload, address)
            except OSError as error:
                logger.debug("to peer {}: {}", ordinal, error)

    async def listen(self) -> None:
        try:
            while True:
                await self.ours.wait()
                with trio.CancelScope() as self.hearing:
                    await self._listen()
        finally:
            self.port.close()

    def hear(self, ours: bool) -> None:
        """Whether what comes in is for this process, and not for a newer one at the same port."""
        if ours:
            self.ours.set()
        elif self.ours.is_set():
            self.ours = trio.Event()
            self.hearing.cancel()

    async def _listen(self) -> None:
        while True:
            try:
                payload, sender = await self.port.receive(LARGEST + 1)
            except OSError as error:  # an earlier datagram came back undelivered
                logger.debug("from peers: {}", error)
                await trio.sleep(0.01)
                continue
            ordinal = self.ordinals.get(sender)
            if ordinal is not None and len(payload) <= LARGEST:
                try:
                    self.heard(ordinal, payload)
                except Exception:
                    logger.exception("a message of peer {} failed", ordinal)
