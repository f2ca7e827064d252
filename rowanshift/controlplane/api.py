"""The operator's calls at a core machine, one handler object a resource."""

from __future__ import annotations

from collections.abc import Callable

import orjson

from rowanshift.controlplane.change_loader import ChangeLoader
from rowanshift.controlplane.control_state import put_version, unpack
from rowanshift.controlplane.errors import (
    InvalidConfiguration,
    InvalidVersion,
    NotConfirmed,
    OrderTooOld,
    OutcomeUnknown,
    StaleMatch,
)
from rowanshift.controlplane.replica_runner import ReplicaRunner
from rowanshift.controlplane.replication import STATE_LIMIT_BYTES, NotPrimary, StateTooLarge
from rowanshift.controlplane.status import ControlPlaneStatus
from rowanshift.transport.http_connection import Message
from rowanshift.transport.http_response import Response, error_body
from rowanshift.wire.machine_ids import ip_from_machine_id

CHANGE_TIMEOUT_SECONDS = 2.5  # for a change to be on all disks that are wanted
CHANGE_METHODS = (b"PUT", b"PATCH")
LOCATION = b"Location"
RETRY_SOON = [(b"Retry-After", b"0.3")]  # seconds
RETRY_LATER = [(b"Retry-After", b"1")]


class PrimaryResource:
    """A resource that only the primary serves; other machines redirect to it."""

    def __init__(self, replica_runner: ReplicaRunner, machine: int, port: int) -> None:
        """``machine`` is this one's id, ``port`` the port of this API on all core machines."""
        self.replica_runner = replica_runner
        self.machine = machine
        self.port = port

    async def call(self, message: Message) -> Response:
        """The resource's answer; 307, 413 or 503 where this machine can't serve it."""
        try:
            return await self.serve(message)
        except NotPrimary as error:
            return self._redirect(error.primary_hint, message.target)
        except (NotConfirmed, OutcomeUnknown) as error:
            return Response(503, error_body(str(error)), RETRY_SOON)
        except OrderTooOld as error:
            return Response(503, error_body(str(error)), RETRY_LATER)
        except StateTooLarge:
            return Response(413, error_body(f"with it the control state would be over {STATE_LIMIT_BYTES} bytes"))

    def _redirect(self, primary: int, target: bytes) -> Response:
        """307 to the primary, 503 where none is known."""
        if not primary or primary == self.machine:
            return Response(503, error_body("no primary is known"), RETRY_SOON)
        location = f"http://{ip_from_machine_id(primary)}:{self.port}".encode() + target
        return Response(307, b"", [(LOCATION, location)])

    async def serve(self, message: Message) -> Response:
        """The answer of this resource, as primary."""
        raise NotImplementedError


class ConfigResource(PrimaryResource):
    """``/config``: the operator's configuration, read, put as a whole, or patched by the names of its items."""

    def __init__(self, replica_runner: ReplicaRunner, machine: int, port: int, changes: ChangeLoader) -> None:
        super().__init__(replica_runner, machine, port)
        self.changes = changes

    async def serve(self, message: Message) -> Response:
        """200 with the configuration or the revision in force; 400, 404, 405 or 412 otherwise."""
        if message.method == b"GET":
            return await self._read()
        if message.method in CHANGE_METHODS:
            return await self._change(message)
        return Response(405, error_body("GET, PUT and PATCH"))

    async def _read(self) -> Response:
        state = unpack(await self.replica_runner.read())
        return Response(200, state.config) if state.revision else Response(404, error_body("no configuration yet"))

    async def _change(self, message: Message) -> Response:
        change_configuration = (await self.changes.load()).CHANGES[message.method]
        match_field = dict(message.fields).get(b"if-match")
        if_match = None if match_field is None else match_field.decode("latin-1")

        def make_next(packed: bytes) -> bytes | None:
            change = change_configuration(unpack(packed), if_match, message.body)
            return None if change is None else change.state.pack()

        try:
            state = unpack(await self.replica_runner.change(make_next, CHANGE_TIMEOUT_SECONDS))
        except InvalidConfiguration as error:
            return Response(400, error_body(str(error)))
        except StaleMatch as error:
            return Response(412, error_body(str(error)))
        return Response(200, b'{"revision":%d}' % state.revision)


class VersionResource(PrimaryResource):
    """``/version-put``: announces a version of a model's weights."""

    async def serve(self, message: Message) -> Response:
        """200 once that version, or a newer one, is announced; 400 or 405 otherwise."""
        if message.method != b"POST":
            return Response(405, error_body("POST"))
        try:
            data = orjson.loads(message.body)
            model, revision = data["model"], data["revision"]
        except (ValueError, KeyError, TypeError) as error:
            return Response(400, error_body(f"model and revision are wanted: {error!r}"))

        def make_next(packed: bytes) -> bytes | None:
            state = put_version(unpack(packed), model, revision)
            return None if state is None else state.pack()

        try:
            await self.replica_runner.change(make_next, CHANGE_TIMEOUT_SECONDS)
        except InvalidVersion as error:
            return Response(400, error_body(str(error)))
        return Response(200, b"{}")


class StatusResource:
    """``/status``: what this machine knows, for operators; it may be old."""

    def __init__(self, status: Callable[[], ControlPlaneStatus]) -> None:
        self.status = status

    async def call(self, message: Message) -> Response:
        """The status as JSON."""
        return Response(200, orjson.dumps(self.status().as_json()))
