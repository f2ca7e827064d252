"""The sheet, the ledger's replicated state: the configuration, the named versions, the changes taken lately.

A sheet is kept and sent whole, as bytes. What changes it are pure functions: they return the sheet that would
follow and raise typed errors, and know nothing of disks, epochs or time.

The bytes, big-endian: ``HEAD`` (magic, format, revision, length of the configuration, number of versions,
number of revisions taken), the configuration's body, each version as ``VERSION`` (length of the model's name,
revision) and the name in UTF-8, each revision taken as ``TAKEN`` (revision, digest). No bytes at all are the
empty sheet.
"""

from dataclasses import dataclass, field, replace
from struct import Struct
from struct import error as StructError
from typing import Any

from rowanshift.controlplane.configuration import (
    MOST_REVISION,
    Configuration,
    check_change,
    configuration_of,
    digest_of,
    load,
)

MAGIC = b"RSSH"
FORMAT = 1
HEAD = Struct(">4sHQIIH")
VERSION = Struct(">HQ")
TAKEN = Struct(">Q32s")
MOST_TAKEN = 64
MOST_NAME = 65535  # bytes


class BadControlState(ValueError):
    """Bytes that are no sheet; the text says why."""


class InvalidVersion(ValueError):
    """A named version that must be answered 400: ``place`` says which field, ``reason`` why."""

    status = 400

    def __init__(self, place: str, reason: str) -> None:
        super().__init__(f"{place}: {reason}")
        self.place = place
        self.reason = reason


@dataclass(frozen=True, slots=True)
class ControlState:
    """The control state. It and what it holds are never changed in place.

    ``config`` is the operator's body as it was sent, ``versions`` the newest named version of each model, and
    ``taken`` the revisions and digests of the newest ``MOST_TAKEN`` configurations taken, newest last.
    """

    revision: int = 0  # 0: no configuration yet
    config: bytes = b""
    versions: dict[str, int] = field(default_factory=dict)
    taken: tuple[tuple[int, bytes], ...] = ()

    def pack(self) -> bytes:
        """The sheet as bytes."""
        counts = len(self.config), len(self.versions), len(self.taken)
        parts = [HEAD.pack(MAGIC, FORMAT, self.revision, *counts), self.config]
        for model, revision in sorted(self.versions.items()):
            name = model.encode()
            parts += VERSION.pack(len(name), revision), name
        parts += [TAKEN.pack(revision, digest) for revision, digest in self.taken]
        return b"".join(parts)


def unpack(packed: bytes) -> ControlState:
    """The sheet in ``packed``. Raises ``BadControlState``."""
    if not packed:
        return ControlState()
    try:
        magic, version, revision, length, named, recent = HEAD.unpack_from(packed)
        if magic != MAGIC or version != FORMAT:
            raise BadControlState(f"magic {magic!r} and format {version}")
        at = HEAD.size + length
        if at > len(packed):
            raise BadControlState("the configuration is cut short")
        config, versions, taken = bytes(packed[HEAD.size : at]), {}, []
        for _ in range(named):
            size, number = VERSION.unpack_from(packed, at)
            at += VERSION.size + size
            if at > len(packed):
                raise BadControlState("a model's name is cut short")
            versions[bytes(packed[at - size : at]).decode()] = number
        for _ in range(recent):
            taken.append(TAKEN.unpack_from(packed, at))
            at += TAKEN.size
    except (StructError, UnicodeDecodeError) as error:
        raise BadControlState(f"{len(packed)} bytes: {error}") from error
    if at != len(packed):
        raise BadControlState(f"{len(packed) - at} bytes too many")
    if len(versions) != named:
        raise BadControlState("a model is named twice")
    if recent > MOST_TAKEN:
        raise BadControlState(f"{recent} configurations taken, {MOST_TAKEN} at most")
    return ControlState(revision, config, versions, tuple(taken))


def put_config(sheet: ControlState, if_match: str | None, body: bytes) -> tuple[ControlState, Configuration] | None:
    """The sheet with the configuration in ``body``, and that configuration; ``None`` if it was taken already.

    A retry of one that was taken is known by its digest, whatever its ``If-Match`` and whatever followed it.
    Raises ``InvalidConfiguration`` (400), then ``StaleMatch`` (412), then ``InvalidConfiguration`` if its
    revision is not above the current one.
    """
    raw = load(body)
    digest = digest_of(raw)
    if any(digest == known for _, known in sheet.taken):
        return None
    config = configuration_of(raw)
    check_change(sheet.revision, if_match, config)
    taken = (*sheet.taken, (config.revision, digest))[-MOST_TAKEN:]
    return replace(sheet, revision=config.revision, config=bytes(body), taken=taken), config


def put_version(sheet: ControlState, model: Any, revision: Any) -> ControlState | None:
    """The sheet with a ``revision`` named for ``model``; ``None`` if that or a newer one is named already.

    Raises ``InvalidVersion``.
    """
    if type(model) is not str:
        raise InvalidVersion("model", "text expected")
    try:
        size = len(model.encode())
    except UnicodeEncodeError as error:
        raise InvalidVersion("model", "text in Unicode expected") from error
    if not 0 < size <= MOST_NAME:
        raise InvalidVersion("model", f"a name of 1 to {MOST_NAME} bytes expected")
    if type(revision) is not int or not 1 <= revision <= MOST_REVISION:
        raise InvalidVersion("revision", f"a whole number from 1 to {MOST_REVISION} expected")
    if sheet.versions.get(model, 0) >= revision:
        return None
    return replace(sheet, versions=sheet.versions | {model: revision})
