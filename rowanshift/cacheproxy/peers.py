"""Datagrams between routers. The sender's address identifies its ordinal."""

from collections.abc import Callable

import trio
from loguru import logger

from rowanshift.transport.streams import Address, Port

MAX_DATAGRAM_BYTES = 256


class Peers:
    """Sends messages to the other routers, and passes on those that they send."""

    def __init__(
        self,
        port: Port,
        addresses: list[Address],
        broadcast_address: Address | None,
        on_message: Callable[[int, bytes], None],
    ) -> None:
        self.port, self.addresses, self.broadcast_address, self.on_message = (
            port,
            addresses,
            broadcast_address,
            on_message,
        )
        self.ordinals = {address: n for n, address in enumerate(addresses)}
        self.receiving, self.receive_scope = trio.Event(), trio.CancelScope()
        self.receiving.set()
        self.outbox, self.inbox = trio.open_memory_channel[tuple[int | None, bytes]](16)

    def enqueue(self, ordinal: int | None, payload: bytes) -> None:
        """Queues a message to one router, or to all for None. Delivery is best effort: a full queue drops it."""
        if ordinal is not None and ordinal >= len(self.addresses):  # The settings count more routers than are listed.
            return
        try:
            self.outbox.send_nowait((ordinal, payload))
        except trio.WouldBlock:
            logger.debug("event=peer_message_dropped reason=queue_full")

    async def run_sender(self) -> None:
        """Sends queued messages until cancelled."""
        async for ordinal, payload in self.inbox:
            address = self.broadcast_address if ordinal is None else self.addresses[ordinal]
            if address is None or len(payload) > MAX_DATAGRAM_BYTES:
                continue
            try:
                await self.port.send(payload, address)
            except OSError as error:
                logger.debug("event=peer_send_failed peer={} error={!r}", ordinal, error)

    async def run_receiver(self) -> None:
        """Receives messages until cancelled, while receiving is enabled; closes the port at the end."""
        try:
            while True:
                await self.receiving.wait()
                with trio.CancelScope() as self.receive_scope:
                    await self._receive()
        finally:
            self.port.close()

    def set_receiving(self, enabled: bool) -> None:
        """Disables receiving while a newer process reads from the same port."""
        if enabled:
            self.receiving.set()
        elif self.receiving.is_set():
            self.receiving = trio.Event()
            self.receive_scope.cancel()

    async def _receive(self) -> None:
        while True:
            try:
                payload, sender = await self.port.receive(MAX_DATAGRAM_BYTES + 1)
            except OSError as error:  # An earlier datagram could not be delivered.
                logger.debug("event=peer_receive_failed error={!r}", error)
                await trio.sleep(0.01)
                continue
            ordinal = self.ordinals.get(sender)
            if ordinal is not None and len(payload) <= MAX_DATAGRAM_BYTES:
                try:
                    self.on_message(ordinal, payload)
                except Exception:
                    logger.exception("event=peer_message_failed peer={}", ordinal)
