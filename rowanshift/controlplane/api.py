"""The operator's calls, one handler object a resource."""

from collections.abc import Callable

import orjson

from rowanshift.controlplane.change_loader import ChangeLoader
from rowanshift.controlplane.control_state import ControlState, put_version, unpack
from rowanshift.controlplane.errors import (
    InvalidConfiguration,
    InvalidVersion,
    NotConfirmed,
    OrderTooOld,
    OutcomeUnknown,
    StaleMatch,
)
from rowanshift.controlplane.replica_runner import ReplicaRunner
from rowanshift.controlplane.replication import STATE_LIMIT, NotPrimary, StateTooLarge
from rowanshift.transport.calls import Answer, said
from rowanshift.transport.http_connection import Message
from rowanshift.wire.machine_ids import ip_from_machine_id

WITHIN = 2.5  # seconds for a change to be on all disks that are wanted
LOCATION = b"Location"
CHANGING = (b"PUT", b"PATCH")  # methods


class OnPrimary:
    """A resource that only the primary serves; others say where it is."""

    def __init__(self, node: ReplicaRunner, port: int) -> None:
        self.replica_runner, self.port = node, port

    async def call(self, message: Message) -> Answer:
        try:
            return await self.served(message)
        except NotPrimary as error:
            if error.hint and error.hint != self.replica_runner.machine:
                at = f"http://{ip_from_machine_id(error.hint)}:{self.port}".encode() + message.target
                return Answer(307, b"", [(LOCATION, at)])
            return Answer(503, said("no primary is known"), [(b"Retry-After", b"0.3")])
        except NotConfirmed:
            return Answer(
                503, said("this machine could not confirm that it is the primary"), [(b"Retry-After", b"0.3")]
            )
        except OrderTooOld as error:
            return Answer(503, said(str(error)), [(b"Retry-After", b"1")])
        except OutcomeUnknown:
            return Answer(
                503, said("not on enough disks in time: it may or may not be in force"), [(b"Retry-After", b"0.3")]
            )
        except StateTooLarge:
            return Answer(413, said(f"with it the control state would be over {STATE_LIMIT} bytes"))

    async def served(self, message: Message) -> Answer:
        raise NotImplementedError


class ConfigResource(OnPrimary):
    """``/config``: the operator's configuration, read, put whole, or patched by the names of its items."""

    def __init__(self, node: ReplicaRunner, port: int, changes: ChangeLoader) -> None:
        super().__init__(node, port)
        self.changes = changes

    async def served(self, message: Message) -> Answer:
        """200 with the configuration or the revision taken; 400, 404, 405 or 412 otherwise."""
        if message.method == b"GET":
            state = unpack(await self.replica_runner.read())
            return Answer(200, state.config) if state.revision else Answer(404, said("no configuration yet"))
        if message.method not in CHANGING:
            return Answer(405, said("GET, PUT and PATCH"))
        change = (await self.changes.load()).CHANGES[message.method]
        match = dict(message.fields).get(b"if-match")

        def made(packed: bytes) -> bytes | None:
            changed = change(unpack(packed), None if match is None else match.decode("latin-1"), message.body)
            return None if changed is None else changed[0].pack()

        try:
            state = unpack(await self.replica_runner.change(made, WITHIN))
        except InvalidConfiguration as error:
            return Answer(400, said(str(error)))
        except StaleMatch as error:
            return Answer(412, said(str(error)))
        return Answer(200, b'{"revision":%d}' % state.revision)


class VersionResource(OnPrimary):
    """``/version-put``: names a version of a model's weights."""

    async def served(self, message: Message) -> Answer:
        """200 once that version, or a newer one, is named; 400 or 405 otherwise."""
        if message.method != b"POST":
            return Answer(405, said("POST"))
        try:
            data = orjson.loads(message.body)
            model, revision = data["model"], data["revision"]
        except (ValueError, KeyError, TypeError) as error:
            return Answer(400, said(f"model and revision are wanted: {error!r}"))

        def made(sheet: bytes) -> bytes | None:
            changed = put_version(unpack(sheet), model, revision)
            return None if changed is None else changed.pack()

        try:
            await self.replica_runner.change(made, WITHIN)
        except InvalidVersion as error:
            return Answer(400, said(str(error)))
        return Answer(200, b"{}")


class StatusResource:
    """What this machine knows, for staff; it may be old."""

    def __init__(self, status: Callable[[], dict]) -> None:
        self.status = status

    async def call(self, message: Message) -> Answer:
        """The status as JSON."""
        return Answer(200, orjson.dumps(self.status()))


__all__ = ["ConfigResource", "ControlState", "StatusResource", "VersionResource"]
