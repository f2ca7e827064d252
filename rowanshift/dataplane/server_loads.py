"""The load of each server that this router owns, by the reports of all routers. No I/O, no clock.

The load of a server is the number of prompt tokens in requests that have no first bytes of a response yet. Where too
many requests fail (``server_health``), the reported load is higher by ``AVOIDED_SERVER_TOKENS``, so that routers choose
other servers. Times are in seconds of any one clock. Servers are named by the hash of their id.
"""

from collections import OrderedDict, deque
from typing import NamedTuple

from rowanshift.dataplane.load_datagrams import DatagramKind
from rowanshift.dataplane.server_health import ServerHealthTracker
from rowanshift.transport.streams import Address

AVOIDED_SERVER_TOKENS = 1_000_000  # added to the load of a failing server
PENDING_REQUEST_TTL_SECONDS = 4.0  # for which a request counts if its end is not reported: a datagram may be lost
MAX_PENDING_REQUESTS = 20_000  # of all routers; beyond it the oldest counts no more

RequestKey = tuple[Address, int]  # the router that sent the request, and the request's number there


class PendingRequest(NamedTuple):
    """A request that a server has not begun to answer."""

    server: int
    tokens: int
    sent_at: float


class ServerLoads:
    """Pending requests, the tokens pending at each server, and the servers' health."""

    def __init__(self) -> None:
        self.pending: OrderedDict[RequestKey, PendingRequest] = OrderedDict()  # the oldest first
        self.tokens: dict[int, int] = {}  # pending, by server; no entry is 0
        self.health = ServerHealthTracker()
        # Requests that are not overdue yet, the oldest first. Some have ended: taking those out would be a search.
        self.not_overdue: deque[tuple[RequestKey, PendingRequest]] = deque()
        self.overdue: dict[RequestKey, bool] = {}  # pending ones, and whether that counted as a failure

    def add(self, router: Address, number: int, server: int, tokens: int, now: float) -> None:
        """A router sent a request with so many tokens to a server. One reported twice counts once, as reported last."""
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
        """Stop counting a request; returns it, or ``None`` if it is not pending."""
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
        """A request ended in one of the ``REQUEST_END_KINDS``: it counts no more, but for the server's health."""
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
        """Tokens pending at a server."""
        self._remove_expired(now)
        return self.tokens.get(server, 0)

    def reported_tokens(self, server: int, now: float, may_probe: bool) -> int:
        """Tokens pending at a server, and ``AVOIDED_SERVER_TOKENS`` more if it is to be avoided.

        ``may_probe``: the asking router would send its request there.
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
        """Count requests whose first bytes should have come.

        The first that is not due ends the search. One with a long prompt so delays those behind it, which bounds the
        work of a call.
        """
        while self.not_overdue:
            key, request = self.not_overdue[0]
            if self.pending.get(key) is request:
                if now < request.sent_at + self.health.first_bytes_due_seconds(request.tokens):
                    return
                self.overdue[key] = self.health.record_overdue(request.server, request.sent_at, now)
            self.not_overdue.popleft()
