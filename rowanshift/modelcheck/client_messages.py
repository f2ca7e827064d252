"""What operators and routers ask of the control plane in the model, and what it answers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

Version = tuple[int, int]  # epoch, sequence
NO_VERSION: Version = (0, 0)


class Status(Enum):
    """The answers of ``PUT /config`` that the model tells apart."""

    ACCEPTED = 200
    INVALID = 400
    PRECONDITION_FAILED = 412
    UNAVAILABLE = 503  # nobody knows: the order may or may not be in force


@dataclass(frozen=True, slots=True)
class ConfigChange:
    """One configuration. ``number`` is unknown to the control plane but as a field that tells contents apart."""

    number: int
    base: int
    revision: int

    @property
    def key(self) -> bytes:
        """Its id in the history of a state."""
        return self.number.to_bytes(4, "big")

    @property
    def body(self) -> bytes:
        """The body of its ``PUT /config``."""
        return b'{"revision":%d,"backends":[],"routes":[],"order":%d}' % (self.revision, self.number)


@dataclass(frozen=True, slots=True)
class PutConfig:
    """An operator's order."""

    order: ConfigChange


@dataclass(frozen=True, slots=True)
class GetConfig:
    """A reading of the configuration."""


@dataclass(frozen=True, slots=True)
class Reply:
    """``revision`` is the one in force, if the answer tells it."""

    status: Status
    revision: int = 0


@dataclass(frozen=True, slots=True)
class Poll:
    """``asked`` is the router's time, at which the machine doesn't look; ``state`` stands for a fingerprint of it."""

    serial: int
    state: bytes
    asked: float  # seconds


@dataclass(frozen=True, slots=True)
class Update:
    """A poll's answer: the state as it was committed under the version."""

    poll: Poll
    version: Version
    state: bytes


@dataclass(frozen=True, slots=True)
class Redirect:
    """The machine asked holds no lease."""

    poll: Poll


ClientMessage = PutConfig | GetConfig | Reply | Poll | Update | Redirect
