"""The connections over which a replica sends messages to other core machines."""

from __future__ import annotations

from enum import Enum
from functools import partial

import trio

from rowanshift.controlplane.record_kinds import CODEC, CoordinationHello, Hello
from rowanshift.controlplane.replication import FailureDomainReport, Message, Store
from rowanshift.transport.record_links import MAX_QUEUED_RECORDS, WRITE_TIMEOUT_SECONDS, RecordSender
from rowanshift.transport.runtime import Nursery, Runtime
from rowanshift.wire.machine_ids import ip_from_machine_id

PEER_SILENCE_SECONDS = 0.9  # a connection is redialled after this time without a message from the machine
MAX_SENDERS = 64  # limit for connections to other core machines, of which each has up to three
LARGE_STATE_BYTES = 64 * 1024  # larger states are sent over a separate connection
MAX_QUEUED_LARGE_STATES = 2  # per machine; beyond this the oldest is dropped
LARGE_STATE_WRITE_SECONDS = 5.0  # timeout for writing a large state


class Channel(Enum):
    """The connections to another core machine, by the messages that they carry.

    Large states have a separate connection so that heartbeats don't queue behind them. So do failure domain reports,
    because older releases can't decode them and close the connection.
    """

    MESSAGES = "messages"
    LARGE_STATES = "large states"
    FAILURE_DOMAINS = "failure domains"


def channel_of(message: Message) -> Channel:
    """The connection over which a message is sent."""
    if isinstance(message, Store) and len(message.state) > LARGE_STATE_BYTES:
        return Channel.LARGE_STATES
    return Channel.FAILURE_DOMAINS if isinstance(message, FailureDomainReport) else Channel.MESSAGES


class ReplicaConnections:
    """Sends messages to other core machines over connections that are opened on demand."""

    def __init__(self, runtime: Runtime, hello: Hello | CoordinationHello, port: int, nursery: Nursery) -> None:
        """``hello`` is the first record on each connection, ``port`` the internal port of all core machines."""
        self.runtime = runtime
        self.hello = hello
        self.port = port
        self.nursery = nursery
        self.senders: dict[tuple[int, Channel], RecordSender] = {}
        self.heard_at: dict[int, float] = {}  # time of each machine's last message, by trio's clock

    def mark_heard(self, machine: int, now: float) -> None:
        """Record the arrival of a message from another machine, which keeps the connections to it open."""
        self.heard_at[machine] = now

    def send(self, machine: int, message: Message) -> None:
        """Queue a message for another machine. Delivery is not guaranteed."""
        channel = channel_of(message)
        sender = self.senders.get((machine, channel))
        if sender is None:
            sender = self._open_sender(machine, channel)
        sender.put(message)

    def _open_sender(self, machine: int, channel: Channel) -> RecordSender:
        if len(self.senders) >= MAX_SENDERS:
            longest_silent = min(self.senders, key=lambda key: self.heard_at.get(key[0], 0.0))
            self.senders.pop(longest_silent).stop()
        is_large = channel is Channel.LARGE_STATES
        sender = RecordSender(
            self.runtime,
            CODEC,
            (ip_from_machine_id(machine), self.port),
            self.hello,
            partial(self._should_keep, machine, channel),
            MAX_QUEUED_LARGE_STATES if is_large else MAX_QUEUED_RECORDS,
            LARGE_STATE_WRITE_SECONDS if is_large else WRITE_TIMEOUT_SECONDS,
        )
        self.senders[machine, channel] = sender
        self.nursery.start_soon(sender.run)
        return sender

    def _should_keep(self, machine: int, channel: Channel) -> bool:
        """Whether to keep a connection: it was opened, or a message from the machine arrived, a short time ago."""
        since = max(self.heard_at.get(machine, 0.0), self.senders[machine, channel].opened_at)
        return trio.current_time() - since < PEER_SILENCE_SECONDS
