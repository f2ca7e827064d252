"""Moves a request away from a server that is silent, or whose weights are overdue, once another server is available.

Only a repeatable request is moved, and only after the retry budget has granted the attempt and a connection to the
other server is established. Until then the router waits for the silent server, up to the request's deadline.
"""

from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

from rowanshift.dataplane.control_state import ControlState
from rowanshift.dataplane.forwarded_request import ForwardedRequest
from rowanshift.dataplane.request_admission import RequestAdmission
from rowanshift.dataplane.server_exchange import (
    ABANDON_CHECK_SECONDS,
    ExchangeFailed,
    ExchangeFailure,
    ServerConnection,
)
from rowanshift.dataplane.server_selection import ServerSelection
from rowanshift.dataplane.upstream import UpstreamPool
from rowanshift.placement.shadows import back_off

T = TypeVar("T")

SERVER_SILENCE_SECONDS = 1.5  # a repeatable request may be moved after this time without a byte from its server


class SilenceMonitor:
    """Decides when a request is moved to another server; keeps no state between calls."""

    def __init__(
        self,
        state: ControlState,
        upstream: UpstreamPool,
        admission: RequestAdmission,
        selection: ServerSelection,
    ) -> None:
        self.state = state
        self.upstream = upstream
        self.admission = admission
        self.selection = selection

    def check(self, forwarded: ForwardedRequest, connection: ServerConnection, version: int) -> ExchangeFailure | None:
        """Why to stop waiting for a response; None to wait on. ``version`` is that of the server's weights."""
        if forwarded.writer.client_disconnected():
            return ExchangeFailure.CLIENT_DISCONNECTED
        if not forwarded.idempotency.repeatable:
            return None
        now = trio.current_time()
        last_progress_at = max(connection.endpoint.last_received_at, connection.written_on_at)
        silent = now - last_progress_at > SERVER_SILENCE_SECONDS
        if not silent and not self._is_overdue(forwarded, connection, version, now):
            return None
        return ExchangeFailure.SERVER_SILENT if self.may_move(forwarded, now) else None

    def _is_overdue(self, forwarded: ForwardedRequest, connection: ServerConnection, version: int, now: float) -> bool:
        """Whether the response has not begun, and the server's weights are near or past their deadline."""
        if connection.response is not None:
            return False
        return self.state.seconds_overdue(forwarded.request.model, version, now) is not None

    def may_move(self, forwarded: ForwardedRequest, now: float) -> bool:
        """Whether a server is available for a further attempt, and the attempt is granted."""
        writer = forwarded.writer
        if writer.started and not writer.last_event_id:  # the response can't be resumed elsewhere
            return False
        if not self.admission.may_send(forwarded, now):
            return False
        endpoint = self.selection.pick(forwarded, self.selection.pool(forwarded), now)
        return endpoint is not None and self.selection.grant_retry(forwarded, now)

    async def wait(
        self, forwarded: ForwardedRequest, connection: ServerConnection, read: Callable[[], Awaitable[T]]
    ) -> T:
        """Return the result of ``read``, which is called again after each silence of the server.

        Raises ``ExchangeFailed`` with SERVER_SILENT if the request is to be moved to another server.
        """
        while True:
            try:
                return await read()
            except ExchangeFailed as error:
                if error.failure is not ExchangeFailure.SERVER_SILENT:
                    raise
                if await self.reserve_connection(forwarded, connection):
                    raise

    async def reserve_connection(self, forwarded: ForwardedRequest, silent: ServerConnection) -> bool:
        """Connect to another server for the next attempt; False if that fails or the server is no longer silent."""
        endpoint = self.selection.pick(forwarded, self.selection.pool(forwarded), trio.current_time())
        if endpoint is None:
            await trio.sleep(ABANDON_CHECK_SECONDS)  # keeps the caller's loop from spinning
            return False
        try:
            reserved = await self.upstream.acquire(endpoint, forwarded.deadline)
        except ExchangeFailed:
            back_off(endpoint, trio.current_time())
            forwarded.unreachable.add(endpoint.id)
            return False
        now = trio.current_time()
        if silent.http.stream.readable() or not self.admission.may_send(forwarded, now):
            self.upstream.put_idle(reserved, now)
            return False
        forwarded.reserved_connection = reserved
        return True
