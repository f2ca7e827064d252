"""The connections by which a replica sends its messages to the other core machines."""

from __future__ import annotations

from enum import Enum
from functools import partial

import trio

from rowanshift.controlplane.record_kinds import CODEC, CoordinationHello, Hello
from rowanshift.controlplane.replication import FailureDomainReport, Message, Store
from rowanshift.transport.record_links import MAX_QUEUED_RECORDS, WRITE_TIMEOUT_SECONDS, RecordSender
from rowanshift.transport.runtime import Nursery, Runtime
from rowanshift.wire.machine_ids import ip_from_machine_id

PEER_SILENCE_SECONDS = 0.9  # without a message from a machine, after which its connection is dialled anew
MAX_SENDERS = 64  # connections to other core machines, three a machine at most
LARGE_STATE_BYTES = 64 * 1024  # of a state; a larger one goes by a connection of its own
MAX_QUEUED_LARGE_STATES = 2  # that wait for one machine; the oldest is dropped
LARGE_STATE_WRITE_SECONDS = 5.0  # that writing a large state may take


class Channel(Enum):
    """The connections to another core machine, by what they carry.

    Large states have one of their own, so that heartbeats don't wait behind them; so have failure domains, which
    former programs can't read: they close the connection.
    """

    MESSAGES = "messages"
    LARGE_STATES = "large states"
    FAILURE_DOMAINS = "failure domains"


def channel_of(message: Message) -> Channel:
    """The connection by which a message goes."""
    if isinstance(message, Store) and len(message.state) > LARGE_STATE_BYTES:
        return Channel.LARGE_STATES
    return Channel.FAILURE_DOMAINS if isinstance(message, FailureDomainReport) else Channel.MESSAGES


class ReplicaConnections:
    """Sends messages to other core machines, on connections that are dialled as they are needed."""

    def __init__(self, runtime: Runtime, hello: Hello | CoordinationHello, port: int, nursery: Nursery) -> None:
        """``hello`` begins each connection, ``port`` is the internal port of all core machines."""
        self.runtime = runtime
        self.hello = hello
        self.port = port
        self.nursery = nursery
        self.senders: dict[tuple[int, Channel], RecordSender] = {}
        self.heard_at: dict[int, float] = {}  # by machine, trio's time of its last message

    def record_message_from(self, machine: int, now: float) -> None:
        """A message of another machine has come: the connections to it are worth keeping."""
        self.heard_at[machine] = now

    def send(self, machine: int, message: Message) -> None:
        """Queue a message for another machine; it may be lost."""
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
            partial(self._is_alive, machine, channel),
            MAX_QUEUED_LARGE_STATES if is_large else MAX_QUEUED_RECORDS,
            LARGE_STATE_WRITE_SECONDS if is_large else WRITE_TIMEOUT_SECONDS,
        )
        self.senders[machine, channel] = sender
        self.nursery.start_soon(sender.run)
        return sender

    def _is_alive(self, machine: int, channel: Channel) -> bool:
        """Whether a connection is worth keeping: the machine was heard since it was opened, or not long ago."""
        since = max(self.heard_at.get(machine, 0.0), self.senders[machine, channel].opened_at)
        return trio.current_time() - since < PEER_SILENCE_SECONDS
