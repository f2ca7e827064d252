"""The HTTP API for operators on a core machine, with one handler object per resource."""

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

CHANGE_TIMEOUT_SECONDS = 2.5  # maximum time until a change is stored on all required disks
CHANGE_METHODS = (b"PUT", b"PATCH")
LOCATION = b"Location"
RETRY_SOON = [(b"Retry-After", b"0.3")]  # in seconds
RETRY_LATER = [(b"Retry-After", b"1")]


class PrimaryResource:
    """A resource that only the primary serves; other machines redirect the client to the primary."""

    def __init__(self, replica_runner: ReplicaRunner, machine: int, port: int) -> None:
        """``machine`` is the id of this machine; ``port`` is the port of this API on every core machine."""
        self.replica_runner = replica_runner
        self.machine = machine
        self.port = port

    async def call(self, message: Message) -> Response:
        """Return the response of the resource, or 307, 413 or 503 if this machine cannot serve the request."""
        try:
            return await self.serve(message)
        except NotPrimary as error:
            return self._redirect(error.primary_hint, message.target)
        except (NotConfirmed, OutcomeUnknown) as error:
            return Response(503, error_body(str(error)), RETRY_SOON)
        except OrderTooOld as error:
            return Response(503, error_body(str(error)), RETRY_LATER)
        except StateTooLarge:
            return Response(
                413, error_body(f"the change would make the control state larger than {STATE_LIMIT_BYTES} bytes")
            )

    def _redirect(self, primary: int, target: bytes) -> Response:
        """Return 307 to the primary, or 503 if no primary is known."""
        if not primary or primary == self.machine:
            return Response(503, error_body("no primary is known"), RETRY_SOON)
        location = f"http://{ip_from_machine_id(primary)}:{self.port}".encode() + target
        return Response(307, b"", [(LOCATION, location)])

    async def serve(self, message: Message) -> Response:
        """Return the response of this resource; called only on the primary."""
        raise NotImplementedError


class ConfigResource(PrimaryResource):
    """``/config``: reads, replaces or patches the configuration; a patch addresses items by name."""

    def __init__(self, replica_runner: ReplicaRunner, machine: int, port: int, change_loader: ChangeLoader) -> None:
        super().__init__(replica_runner, machine, port)
        self.change_loader = change_loader

    async def serve(self, message: Message) -> Response:
        """Return 200 with the configuration or the current revision, or else 400, 404, 405 or 412."""
        if message.method == b"GET":
            return await self._read()
        if message.method in CHANGE_METHODS:
            return await self._change(message)
        return Response(405, error_body("method not allowed, expected GET, PUT or PATCH"))

    async def _read(self) -> Response:
        state = unpack(await self.replica_runner.read())
        return Response(200, state.config) if state.revision else Response(404, error_body("no configuration yet"))

    async def _change(self, message: Message) -> Response:
        change_configuration = (await self.change_loader.load()).CHANGES[message.method]
        match_field = dict(message.fields).get(b"if-match")
        if_match = None if match_field is None else match_field.decode("latin-1")

        def compute_next_state(packed: bytes) -> bytes | None:
            change = change_configuration(unpack(packed), if_match, message.body)
            return None if change is None else change.state.pack()

        try:
            state = unpack(await self.replica_runner.change(compute_next_state, CHANGE_TIMEOUT_SECONDS))
        except InvalidConfiguration as error:
            return Response(400, error_body(str(error)))
        except StaleMatch as error:
            return Response(412, error_body(str(error)))
        return Response(200, b'{"revision":%d}' % state.revision)


class VersionResource(PrimaryResource):
    """``/version-put``: announces a new version of a model's weights."""

    async def serve(self, message: Message) -> Response:
        """Return 200 once this version or a newer one is announced, or else 400 or 405."""
        if message.method != b"POST":
            return Response(405, error_body("method not allowed, expected POST"))
        try:
            announcement = orjson.loads(message.body)
            model, revision = announcement["model"], announcement["revision"]
        except (ValueError, KeyError, TypeError) as error:
            return Response(400, error_body(f"body: expected a JSON object with model and revision: {error!r}"))

        def compute_next_state(packed: bytes) -> bytes | None:
            state = put_version(unpack(packed), model, revision)
            return None if state is None else state.pack()

        try:
            await self.replica_runner.change(compute_next_state, CHANGE_TIMEOUT_SECONDS)
        except InvalidVersion as error:
            return Response(400, error_body(str(error)))
        return Response(200, b"{}")


class StatusResource:
    """``/status``: the state of this machine for operators; it may be out of date."""

    def __init__(self, status: Callable[[], ControlPlaneStatus]) -> None:
        self.status = status

    async def call(self, message: Message) -> Response:
        """Return the status as JSON."""
        return Response(200, orjson.dumps(self.status().as_json()))
