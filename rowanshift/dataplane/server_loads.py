"""The load of each server whose load index entry this router owns, from the reports of all routers. No I/O, no clock.

The load of a server is the number of prompt tokens in requests whose response has not begun. If too many requests fail
(``server_health``), the reported load is raised by ``AVOIDED_SERVER_TOKENS``, so that routers choose other servers.
Times are in seconds of any one clock. Servers are identified by the hash of their id.
"""

from collections import OrderedDict, deque
from typing import NamedTuple

from rowanshift.dataplane.load_datagrams import DatagramKind
from rowanshift.dataplane.server_health import ServerHealthTracker
from rowanshift.transport.streams import Address

AVOIDED_SERVER_TOKENS = 1_000_000  # added to the load of a failing server
PENDING_REQUEST_TTL_SECONDS = 4.0  # a request without a reported end expires after this time: datagrams may be lost
MAX_PENDING_REQUESTS = 20_000  # maximum over all routers; beyond it the oldest is dropped

RequestKey = tuple[Address, int]  # the router that sent the request, and that router's number of the request


class PendingRequest(NamedTuple):
    """A request whose response has not begun."""

    server: int
    tokens: int
    sent_at: float


class ServerLoads:
    """Pending requests, the tokens pending at each server, and the servers' health."""

    def __init__(self) -> None:
        self.pending: OrderedDict[RequestKey, PendingRequest] = OrderedDict()  # the oldest first
        self.tokens: dict[int, int] = {}  # pending tokens by server; servers with none have no entry
        self.health = ServerHealthTracker()
        # Requests that are not overdue yet, the oldest first. It includes ended requests, since removing one would need
        # a linear search.
        self.not_overdue: deque[tuple[RequestKey, PendingRequest]] = deque()
        self.overdue: dict[RequestKey, bool] = {}  # overdue pending requests, and whether each counted as a failure

    def add(self, router: Address, number: int, server: int, tokens: int, now: float) -> None:
        """A router sent a request to a server. A request reported twice counts once, as reported last."""
        key = router, number
        self.remove(router, number)
        while len(self.pending) >= MAX_PENDING_REQUESTS:
            self._remove_oldest()
        self._remove_expired(now)
        self._check_overdue(now)
        while len(self.not_overdue) >= MAX_PENDING_REQUESTS:
            self.not_overdue.popleft()
        self.pending[key] = request = PendingRequest(server, tokens, now)
        self.not_overdue.append((key, request))
        self.tokens[server] = self.tokens.get(server, 0) + tokens

    def remove(self, router: Address, number: int) -> PendingRequest | None:
        """Remove a pending request; returns it, or ``None`` if it is not pending."""
        key = router, number
        request = self.pending.pop(key, None)
        if request is None:
            return None
        self.overdue.pop(key, None)
        remaining = self.tokens.get(request.server, 0) - request.tokens
        if remaining > 0:
            self.tokens[request.server] = remaining
        else:
            self.tokens.pop(request.server, None)
        return request

    def end(self, router: Address, number: int, end_kind: DatagramKind, now: float) -> None:
        """A request ended in one of the ``REQUEST_END_KINDS``: remove it and update the server's health."""
        self._check_overdue(now)
        counted_as_failure = self.overdue.get((router, number))  # ``None`` if it is not overdue
        request = self.remove(router, number)
        if request is None:
            return
        if end_kind is DatagramKind.FIRST_BYTES_RECEIVED and counted_as_failure is None:
            self.health.record_success(request.server, request.tokens, now - request.sent_at, now)
        elif end_kind is DatagramKind.FIRST_BYTES_RECEIVED:
            self.health.record_late_response(request.server, now)
        elif end_kind is DatagramKind.REQUEST_FAILED and not counted_as_failure:
            self.health.record_failure(request.server, now)

    def pending_tokens(self, server: int, now: float) -> int:
        """The number of tokens pending at a server."""
        self._remove_expired(now)
        return self.tokens.get(server, 0)

    def reported_tokens(self, server: int, now: float, may_probe: bool) -> int:
        """The number of tokens pending at a server, plus ``AVOIDED_SERVER_TOKENS`` if it is to be avoided.

        ``may_probe`` says that the querying router would send its request to this server.
        """
        self._check_overdue(now)
        avoided = self.health.should_avoid(server, now, may_probe)
        return self.pending_tokens(server, now) + AVOIDED_SERVER_TOKENS * avoided

    def _remove_oldest(self) -> None:
        self.remove(*next(iter(self.pending)))

    def _remove_expired(self, now: float) -> None:
        while self.pending and next(iter(self.pending.values())).sent_at + PENDING_REQUEST_TTL_SECONDS < now:
            self._remove_oldest()

    def _check_overdue(self, now: float) -> None:
        """Record requests whose first bytes are overdue.

        The check stops at the first request that is not due, which bounds the work of a call. A request with a long
        prompt may thus delay the check of those behind it.
        """
        while self.not_overdue:
            key, request = self.not_overdue[0]
            if self.pending.get(key) is request:
                if now < request.sent_at + self.health.first_bytes_due_seconds(request.tokens):
                    return
                self.overdue[key] = self.health.record_overdue(request.server, request.sent_at, now)
            self.not_overdue.popleft()
