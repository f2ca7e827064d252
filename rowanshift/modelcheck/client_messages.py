"""What operators and routers ask of the control plane in the model, and what it answers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from rowanshift.controlplane.replication import StateVersion

CHANGE_ID_BYTES = 4  # of a change in the history of a state


class Status(Enum):
    """The answers of ``PUT /config`` that the model tells apart, by their HTTP status."""

    ACCEPTED = 200
    INVALID = 400
    PRECONDITION_FAILED = 412
    UNAVAILABLE = 503  # the outcome is unknown: the change may or may not be in force


@dataclass(frozen=True, slots=True)
class ConfigChange:
    """One configuration, based on a revision. ``number`` only makes its content differ from that of any other."""

    number: int
    base: int
    revision: int

    @property
    def change_id(self) -> bytes:
        """Its id in the history of a state."""
        return self.number.to_bytes(CHANGE_ID_BYTES, "big")

    @property
    def body(self) -> bytes:
        """The body of its ``PUT /config``."""
        return b'{"revision":%d,"backends":[],"routes":[],"order":%d}' % (self.revision, self.number)


@dataclass(frozen=True, slots=True)
class PutConfig:
    """An operator's ``PUT /config``."""

    change: ConfigChange


@dataclass(frozen=True, slots=True)
class GetConfig:
    """An operator's ``GET /config``."""


@dataclass(frozen=True, slots=True)
class Reply:
    """An answer to an operator. ``revision`` is the one in force, if the answer says so."""

    status: Status
    revision: int = 0


@dataclass(frozen=True, slots=True)
class Poll:
    """A router's long poll.

    ``asked_at`` is the router's time, which the machine asked doesn't use; ``state`` stands for a fingerprint of it.
    """

    serial: int
    state: bytes
    asked_at: float  # seconds


@dataclass(frozen=True, slots=True)
class Update:
    """A poll's answer: the state as it was committed under the version."""

    poll: Poll
    version: StateVersion
    state: bytes


@dataclass(frozen=True, slots=True)
class Redirect:
    """A poll's answer from a machine that holds no lease."""

    poll: Poll


ClientMessage = PutConfig | GetConfig | Reply | Poll | Update | Redirect


class ClientEnvelope(NamedTuple):
    """A message on its way between a client and a machine."""

    sender: int
    recipient: int
    message: ClientMessage
