"""Messages between the control plane and its operators and routers in the model."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from rowanshift.controlplane.replication import StateVersion

CHANGE_ID_BYTES = 4  # length of a change id in the history of a state


class Status(Enum):
    """The HTTP statuses of ``PUT /config`` that the model distinguishes."""

    ACCEPTED = 200
    INVALID = 400
    PRECONDITION_FAILED = 412
    UNAVAILABLE = 503  # the outcome is unknown: the change may or may not be in force


@dataclass(frozen=True, slots=True)
class ConfigChange:
    """One configuration, based on a revision. ``number`` only serves to make its content unique."""

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
    """An answer to an operator. ``revision`` is the one in force, or 0 if the answer doesn't contain it."""

    status: Status
    revision: int = 0


@dataclass(frozen=True, slots=True)
class Poll:
    """A router's long poll.

    ``asked_at`` is the router's own record of when it sent the poll; the control plane doesn't use it. ``state`` takes
    the place of the state's fingerprint.
    """

    serial: int
    state: bytes
    asked_at: float  # seconds


@dataclass(frozen=True, slots=True)
class Update:
    """An answer to a poll: the state that was committed under the version."""

    poll: Poll
    version: StateVersion
    state: bytes


@dataclass(frozen=True, slots=True)
class Redirect:
    """An answer to a poll from a machine that holds no lease."""

    poll: Poll


ClientMessage = PutConfig | GetConfig | Reply | Poll | Update | Redirect


class ClientEnvelope(NamedTuple):
    """A message in flight between a client and a machine."""

    sender: int
    recipient: int
    message: ClientMessage
