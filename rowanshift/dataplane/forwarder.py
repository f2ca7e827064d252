"""One request to its final answer: attempts at servers, until one has answered it or no more may be made."""

import re
from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

import trio
from loguru import logger

from rowanshift.dataplane.client_answer import ClientGone, Out, Refusal
from rowanshift.dataplane.drain import Drain
from rowanshift.dataplane.endpoints import Endpoint, Endpoints
from rowanshift.dataplane.forwarding import COME_AGAIN, LEAST_LEFT, Counts, Forwarding
from rowanshift.dataplane.kv_moves import KvMoves, source_of
from rowanshift.dataplane.load_index import DatagramKind, LoadIndex
from rowanshift.dataplane.request_outcomes import RequestOutcome
from rowanshift.dataplane.requests import Request, priority_of, written
from rowanshift.dataplane.retry_budget import RetryBudget
from rowanshift.dataplane.retry_decision import ClientResponse, Decision, ExchangeOutcome, decide
from rowanshift.dataplane.routing_table import Route, RoutingTable, Tenant
from rowanshift.dataplane.upstream import LOOK, Link, Outcome, SendFailed, Upstream
from rowanshift.placement.shadows import Pool, back_off, lighter
from rowanshift.transport.flow import LAST_CHUNK
from rowanshift.transport.http_connection import Message

T = TypeVar("T")

LEAVING = "this router is leaving"  # what a client is told that is sent elsewhere
KEYS_AGAIN = 0.3  # seconds until a client may come again that was refused for want of recent keys
UNSENT_MOST = 4  # servers that could not be reached, for one request
HOLD_PART, HOLD_MOST = 0.2, 0.3  # of the aim, and seconds, that a request waits for a server to be there
LOAD_HOLD, LOAD_PART = 2.0, 0.4  # seconds, and of what is left, where servers take new weights
SILENT_FOR = 1.5  # seconds without a byte from a server, after which a repeatable request goes elsewhere
FULL_FOR = 0.2  # seconds that a full server gets no more
WARN_EVERY = 0.2  # seconds between lines of requests that began on overdue weights
STALE_FOR = 0.3  # the same for one that has other weights than was known
EVENT_END = re.compile(rb"\r?\n\r?\n")
EVENT_ID = re.compile(rb"(?m)^id:[ ]?([^\r\n]*)")
ENDINGS = {
    Outcome.UNSENT: ExchangeOutcome.REQUEST_NOT_SENT,
    Outcome.BROKEN: ExchangeOutcome.NO_RESPONSE,
    Outcome.GARBLED: ExchangeOutcome.MALFORMED_RESPONSE,
    Outcome.MISMATCHED: ExchangeOutcome.MISMATCHED_REQUEST_ID,
    Outcome.LATE: ExchangeOutcome.TIMED_OUT,
    Outcome.SILENT: ExchangeOutcome.SERVER_SILENT,
}


VERDICT_OF = {  # what the ending of an attempt says of its server; all others say nothing
    ExchangeOutcome.SUCCESS: DatagramKind.DONE,
    ExchangeOutcome.REQUEST_NOT_SENT: DatagramKind.FAILED,
    ExchangeOutcome.NO_RESPONSE: DatagramKind.FAILED,
    ExchangeOutcome.MALFORMED_RESPONSE: DatagramKind.FAILED,
    ExchangeOutcome.SERVER_ERROR: DatagramKind.FAILED,
    ExchangeOutcome.TIMED_OUT: DatagramKind.FAILED,
    ExchangeOutcome.MISMATCHED_REQUEST_ID: DatagramKind.FAILED,
    ExchangeOutcome.UNCONFIRMED_REJECTION: DatagramKind.FAILED,
    ExchangeOutcome.LAST_SERVER_ERROR: DatagramKind.FAILED,
    ExchangeOutcome.SERVER_SILENT: DatagramKind.FAILED,
}


class Moved(Exception):
    """What was decided no longer holds; nothing was sent."""


class State(Protocol):
    """What is known of the configuration and of the servers."""

    routing_table: RoutingTable
    endpoints: Endpoints
    stored_block_hashes: set[int]  # of the prefix blocks that stores hold

    def required_version(self, model: str, now: float) -> int:
        """The least version of a model's weights that a server must have."""

    def seconds_overdue(self, model: str, version: int, now: float) -> float | None:
        """Seconds since the first name that weights of ``version`` lack, if their bound is near or over."""

    async def wait_until_fresh(self, timeout: float) -> None:
        """Wait, briefly, while what is known may be old."""

    async def wait_until_may_refuse(self, timeout: float) -> bool:
        """Wait until what is known is recent; whether it is."""

    def may_refuse(self) -> bool:
        """Whether a client may be refused for good by what is known."""

    def may_admit_key(self, came_at: float) -> bool:
        """Whether a request that came at that time may be let in by its key."""

    async def wait_for_update(self, timeout: float) -> None:
        """Wait until something was learnt, so many seconds at most."""


class Forwarder:
    """Sends requests to servers and passes their answers on."""

    def __init__(
        self,
        state: State,
        upstream: Upstream,
        retries: Callable[[str], RetryBudget],
        draw: Callable[[], float],
        loads: LoadIndex,
        drain: Drain,
    ) -> None:
        self.state, self.upstream, self.retries, self.draw, self.loads = state, upstream, retries, draw, loads
        self.drain = drain
        self.counts = Counts()
        self.moves = KvMoves(state)
        self.warned_at = float("-inf")  # when a begin on older weights was last logged

    def allowed(self, request: Request) -> tuple[Route, Tenant | None]:
        """Its route and tenant by the configuration that is in force now; ``Refusal`` otherwise."""
        routing_table = self.state.routing_table
        if not routing_table.revision:
            raise Refusal(503, "no configuration yet", 0.5)
        route = routing_table.find_route(request.host, request.path)
        if route is None:
            raise Refusal(404, "no route")
        tenant = None
        if routing_table.tenants is not None:
            tenant = routing_table.tenants.get(request.key) if request.key is not None else None
            if tenant is None and not route.public:
                raise Refusal(401, "the key is not known")
            if not route.public and not self.state.may_admit_key(request.came_at):
                raise Refusal(503, "the keys in force could not be confirmed", KEYS_AGAIN)
        return route, tenant

    def refuse_if_leaving(self, request: Request, out: Out) -> None:
        """``Refusal`` if this router leaves and could not surely finish the request."""
        if self.drain.finished:  # no time is left to find out anything
            raise Refusal(503, LEAVING, COME_AGAIN)
        try:
            route, tenant = self.allowed(request)
        except Refusal:  # whether it stands is found out first, as for any request
            return
        self._before_the_end(Forwarding(request, out, self.draw(), route, tenant), trio.current_time())

    async def forward(self, request: Request, out: Out) -> None:
        """Sends a request to servers until one has answered it, or ``Refusal``."""
        route, tenant = self.allowed(request)
        forwarding = Forwarding(request, out, self.draw(), route, tenant)
        self._in_time(forwarding, trio.current_time())
        self.retries(forwarding.service).record_request(trio.current_time())
        try:
            await self._attempts(forwarding)
            self._finished(forwarding, trio.current_time())
            out.ending = RequestOutcome.WHOLE_ANSWER
        except Refusal:
            if out.begun:
                out.ending = forwarding.ending_once_begun(trio.current_time())
            raise
        except trio.Cancelled:  # it is given up, perhaps after its time, where its client takes nothing
            if out.begun and trio.current_time() >= forwarding.until:
                out.ending = RequestOutcome.TIME_UP
            raise
        finally:
            if forwarding.spare is not None:
                self.upstream.keep(forwarding.spare, trio.current_time())

    def _finished(self, forwarding: Forwarding, now: float) -> None:
        """Remembers how long a request took that got its whole answer."""
        self.drain.durations.finished(forwarding.request_kind, now - forwarding.request.came_at, now)

    async def _attempts(self, forwarding: Forwarding) -> None:
        """One attempt after another; returns once one has answered."""
        while True:
            endpoint = await self._choose(forwarding)
            try:
                ending = await self._attempt(forwarding, endpoint)
            except Moved:
                continue
            decision = decide(forwarding.kind, ending)
            if decision.client_response is ClientResponse.SERVER_RESPONSE and not decision.retry:
                return
            if ending is ExchangeOutcome.REQUEST_NOT_SENT:
                self._unreached(forwarding, endpoint)
                continue
            forwarding.note(ending, decision)
            if not decision.retry:
                raise forwarding.last

    # the choice of a server -------------------------------

    def _in_time(self, forwarding: Forwarding, now: float) -> None:
        """``Refusal`` if there is no time left for an attempt."""
        if forwarding.until - now < LEAST_LEFT:
            raise Refusal(504, "its time was up") if forwarding.may_have_run else forwarding.last

    def _before_the_end(self, forwarding: Forwarding, now: float) -> None:
        """``Refusal`` if this router leaves and could not surely finish it; an answer that has begun goes on."""
        if self._may_be_sent(forwarding, now):
            return
        if forwarding.may_have_run:
            raise forwarding.last
        raise Refusal(503, LEAVING, COME_AGAIN)

    def _may_be_sent(self, forwarding: Forwarding, now: float) -> bool:
        """Whether a leaving router may still make an attempt; where an answer has begun it may."""
        came_at, until = forwarding.request.came_at, forwarding.until
        return forwarding.out.begun or self.drain.may_send(now, came_at, until, forwarding.request_kind)

    async def _choose(self, forwarding: Forwarding) -> Endpoint:
        """The server for the next attempt; ``Refusal`` if there is none, or none is granted."""
        request = forwarding.request
        while True:
            now = trio.current_time()
            if not (forwarding.may_have_run or forwarding.out.begun):  # else it goes on as it began
                forwarding.route, forwarding.tenant = self.allowed(request)
            self._in_time(forwarding, now)
            self._before_the_end(forwarding, now)
            if forwarding.spare is not None:
                forwarding.granted = False
                return forwarding.spare.engine
            pool = self.state.endpoints.pool(forwarding.service)
            if not forwarding.excluded:
                pool.sample(forwarding.mark, now)
            endpoint = self._pick(forwarding, pool, now)
            if endpoint is None:
                await self._hold(forwarding, pool, now)
                continue
            if forwarding.arrived and not self._granted(forwarding, now):
                raise forwarding.last
            forwarding.granted = False
            return await self._lightest(forwarding, pool, endpoint)

    def _pick(self, forwarding: Forwarding, pool: Pool, now: float) -> Endpoint | None:
        request = forwarding.request
        version = self.state.required_version(request.model, now)
        return pool.pick(forwarding.mark, now, request.model, version, forwarding.excluded)

    def _granted(self, forwarding: Forwarding, now: float) -> bool:
        """Whether the route and the retry budget allow one more attempt; the budget is drawn on if so."""
        if len(forwarding.request.tried) >= forwarding.route.max_attempts:
            return False
        if not forwarding.granted:
            forwarding.granted = self.retries(forwarding.service).try_withdraw(now)
        return forwarding.granted

    async def _hold(self, forwarding: Forwarding, pool: Pool, now: float) -> None:
        """Waits for a server to be there; ``Refusal`` once that has taken too long, or one was tried."""
        if not forwarding.held_until:
            hold = min(HOLD_MOST, HOLD_PART * forwarding.route.target_latency)
            if any(endpoint.loading for endpoint in pool.engines):  # it will soon be back
                hold = min(LOAD_HOLD, LOAD_PART * (forwarding.until - now))
            forwarding.held_until = now + hold
        if forwarding.request.tried or now >= forwarding.held_until:
            raise forwarding.last
        await self.state.wait_for_update(min(forwarding.held_until, forwarding.until) - now)

    async def _lightest(self, forwarding: Forwarding, pool: Pool, first: Endpoint) -> Endpoint:
        """The server picked, or another that serves as well and has far less to read, over all routers."""
        request, now = forwarding.request, trio.current_time()
        others = pool.others(forwarding.mark, now, request.model, first, forwarding.excluded)
        if not others:
            return first
        waiting = await self.loads.ask([first.id, *(endpoint.id for endpoint in others)])
        return lighter(first, others, waiting, request.shared)

    def _unreached(self, forwarding: Forwarding, endpoint: Endpoint) -> None:
        """A request was not written whole; ``Refusal`` if that was so at too many servers."""
        back_off(endpoint, trio.current_time())
        forwarding.unsent.add(endpoint.id)
        if len(forwarding.unsent) >= UNSENT_MOST:
            raise forwarding.last

    # one attempt ------------------------------------------

    async def _attempt(self, forwarding: Forwarding, endpoint: Endpoint) -> ExchangeOutcome:
        """One send to one server, and what came of it; an answer that is the client's has been passed on."""
        request = forwarding.request
        version = endpoint.versions.get(request.model, 0)
        data = self._written(forwarding, endpoint, version)
        self.counts.repeats += forwarding.arrived
        endpoint.on_request_sent(trio.current_time())
        load = await self.loads.add(endpoint.id, max(1, request.tokens[0]))
        verdict = DatagramKind.DROPPED
        link, forwarding.spare = forwarding.spare, None
        try:
            link = link or await self._connected(endpoint, forwarding.until)
            if self._moved(forwarding, endpoint, version):
                self.upstream.keep(link, trio.current_time())
                raise Moved
            await self.upstream.send(link, data, forwarding.until)
            request.tried.append(endpoint.id)
            ending = await self._take(forwarding, link, load, version)
            verdict = VERDICT_OF.get(ending, DatagramKind.DROPPED)
            return ending
        except SendFailed as failure:
            ending = self._ending_of(forwarding, endpoint, link, failure)
            verdict = VERDICT_OF.get(ending, DatagramKind.DROPPED)
            return ending
        finally:
            if link is not None and not link.pooled:
                self.upstream.close(link)
            endpoint.on_request_ended()
            await self.loads.ended(load, verdict)

    async def _connected(self, endpoint: Endpoint, until: float) -> Link:
        """An idle connection or a new one; ``SendFailed`` if none comes up."""
        return self.upstream.kept(endpoint, trio.current_time()) or await self.upstream.dial(endpoint, until)

    def _written(self, forwarding: Forwarding, endpoint: Endpoint, version: int) -> bytes:
        """The request as it goes to a server."""
        request, tenant, now = forwarding.request, forwarding.tenant, trio.current_time()
        pool = self.state.endpoints.pool(forwarding.service)
        near = source_of(pool, request, forwarding.mark, version, endpoint, now)
        fetch, save = self.moves.choose(request, tenant, version, near, now)
        return written(
            request,
            tenant,
            endpoint.id.encode(),
            forwarding.until - now,
            version,
            forwarding.out.last or request.after,
            fetch,
            save,
            priority_of(forwarding.route, tenant),
        )

    def _moved(self, forwarding: Forwarding, endpoint: Endpoint, version: int) -> bool:
        """Whether what was decided no longer holds once the connection is up."""
        request = forwarding.request
        if not endpoint.listed or endpoint.draining or endpoint.loading:
            return True
        if endpoint.versions.get(request.model, 0) != version:
            return True
        if version < self.state.required_version(request.model, trio.current_time()):
            return True
        if forwarding.may_have_run or forwarding.out.begun:
            return False
        return self.allowed(request) != (forwarding.route, forwarding.tenant)

    def _ending_of(
        self, forwarding: Forwarding, endpoint: Endpoint, link: Link | None, failure: SendFailed
    ) -> ExchangeOutcome:
        """The ending that a failure stands for; ``ClientGone`` if nobody waits for the answer any more."""
        if failure.outcome is Outcome.CLIENT_GONE:
            raise ClientGone from failure
        if failure.outcome is Outcome.UNSENT:
            return ExchangeOutcome.REQUEST_NOT_SENT
        logger.info(
            "event=send_failed server={} request={} outcome={} why={!r}",
            endpoint.id,
            forwarding.request.id.decode("latin-1"),
            failure.outcome.value,
            str(failure),
        )
        self.counts.resumed += forwarding.out.begun
        in_body = link is not None and link.message is not None
        if in_body and failure.outcome in (Outcome.BROKEN, Outcome.GARBLED):
            return forwarding.progress.outcome_of_broken_success()
        return ENDINGS[failure.outcome]

    # the answer -------------------------------------------

    def _look(self, forwarding: Forwarding, link: Link, version: int) -> Outcome | None:
        """Why an answer is waited for no longer, if that is so: its server is silent, or has not begun and would begin
        on weights of a version whose bound is near or over."""
        if forwarding.out.left():
            return Outcome.CLIENT_GONE
        if not forwarding.kind.repeatable:
            return None
        now = trio.current_time()
        silent = now - link.engine.last_received_at > SILENT_FOR
        begun = link.message is not None
        overdue = not begun and self.state.seconds_overdue(forwarding.request.model, version, now) is not None
        if not (silent or overdue):
            return None
        return Outcome.SILENT if self._sure_of_another(forwarding, now) else None

    def _sure_of_another(self, forwarding: Forwarding, now: float) -> bool:
        """Whether a further attempt has a server and is granted; else a silent server is waited for."""
        if forwarding.out.begun and not forwarding.out.last:  # it could not be taken up
            return False
        if not self._may_be_sent(forwarding, now):
            return False
        pool = self.state.endpoints.pool(forwarding.service)
        return self._pick(forwarding, pool, now) is not None and self._granted(forwarding, now)

    async def _patiently(self, forwarding: Forwarding, link: Link, wait: Callable[[], Awaitable[T]]) -> T:
        """What is waited for; a silent server is left only once a connection to another is up."""
        while True:
            try:
                return await wait()
            except SendFailed as failure:
                if failure.outcome is not Outcome.SILENT or await self._other_is_up(forwarding, link):
                    raise

    async def _other_is_up(self, forwarding: Forwarding, link: Link) -> bool:
        """Whether there is a connection for the next attempt, and the silent server has still said nothing."""
        pool = self.state.endpoints.pool(forwarding.service)
        endpoint = self._pick(forwarding, pool, trio.current_time())
        if endpoint is None:
            await trio.sleep(LOOK)  # never a loop without a wait
            return False
        try:
            spare = await self._connected(endpoint, forwarding.until)
        except SendFailed:
            back_off(endpoint, trio.current_time())
            forwarding.unsent.add(endpoint.id)
            return False
        now = trio.current_time()
        if link.connection.stream.readable() or not self._may_be_sent(forwarding, now):
            self.upstream.keep(spare, now)
            return False
        forwarding.spare = spare
        return True

    async def _take(self, forwarding: Forwarding, link: Link, load: tuple[str, int], version: int) -> ExchangeOutcome:
        """Takes the answer of one attempt at weights of a version in, and passes it on if it is the client's."""
        endpoint = link.engine

        def look() -> Outcome | None:
            return self._look(forwarding, link, version)

        message = await self._patiently(
            forwarding, link, lambda: self.upstream.head(link, forwarding.request.id, forwarding.until, look)
        )
        endpoint.on_bytes_received(trio.current_time())
        if 200 <= message.status < 300 and message.flow is not None:
            self._warn_if_overdue(forwarding, endpoint, version)
            await self.loads.ended(load, DatagramKind.DONE)
            await self._stream(forwarding, link, look)
            ending = ExchangeOutcome.SUCCESS if link.connection.clean() else ExchangeOutcome.SUCCESS_WITH_SURPLUS_BYTES
            self._release(link, decide(forwarding.kind, ending))
            return ending
        ending = forwarding.progress.outcome_of_status(message.status, b"not-executed" in dict(message.fields))
        decision = decide(forwarding.kind, ending)
        self._release(link, decision)
        self._mark(endpoint, message, ending)
        if decision.client_response is ClientResponse.SERVER_RESPONSE and not decision.retry:
            await forwarding.out.whole(message, message.body)
        return ending

    def _warn_if_overdue(self, forwarding: Forwarding, endpoint: Endpoint, version: int) -> None:
        """A line, a few a second at most, for a request that began on weights whose bound is near or over."""
        now, model = trio.current_time(), forwarding.request.model
        overdue = self.state.seconds_overdue(model, version, now)
        if overdue is None or now < self.warned_at + WARN_EVERY:
            return
        self.warned_at = now
        logger.warning(
            "event=begun_on_older_weights request={} server={} model={} version={} lacks_for={:.3f}",
            forwarding.request.id.decode("latin-1"),
            endpoint.id,
            model,
            version,
            overdue,
        )

    def _release(self, link: Link, decision: Decision) -> None:
        """An answer was read whole: its connection is kept if it may be, and nothing is left on it."""
        if decision.keep_connection:
            self.upstream.done(link, trio.current_time())
        else:
            self.upstream.close(link)

    def _mark(self, endpoint: Endpoint, message: Message, ending: ExchangeOutcome) -> None:
        """Gives a server that rejected a request no more for a while."""
        now = trio.current_time()
        if ending is ExchangeOutcome.MISDIRECTED:
            instance = dict(message.fields).get(b"instance-id", endpoint.id.encode()).decode("latin-1")
            if instance != endpoint.id:
                back_off(endpoint, now)
                self.upstream.leave(endpoint)
            endpoint.backed_off_until = max(endpoint.backed_off_until, now + STALE_FOR)
        elif ending is ExchangeOutcome.NOT_EXECUTED and message.status in (429, 503):
            endpoint.backed_off_until = max(endpoint.backed_off_until, now + FULL_FOR)

    async def _stream(self, forwarding: Forwarding, link: Link, look: Callable[[], Outcome | None]) -> None:
        """Passes a stream on in whole events; what came of one that broke off is dropped."""
        out, streaming, message, held = forwarding.out, forwarding.route.is_streaming, link.message, b""
        length = message.length if not streaming else None
        while data := await self._patiently(forwarding, link, lambda: self.upstream.body(link, forwarding.until, look)):
            link.engine.on_bytes_received(trio.current_time())
            held += data
            cut = end_of_events(held) if streaming else len(held)
            if not cut:
                continue
            events, held = held[:cut], held[cut:]
            if streaming and (ids := EVENT_ID.findall(events)):
                out.last = ids[-1]
            head = b"" if out.begun else out.head(message, length)
            await out.send(head + out.piece(events))
        link.engine.on_bytes_received(trio.current_time())
        head = b"" if out.begun else out.head(message, length)
        rest = out.piece(held) if held else b""
        await out.send(head + rest + (LAST_CHUNK if out.chunked else b""))
        out.connection.resets = False


def end_of_events(data: bytes) -> int:
    """The bytes of the whole events at the start of a part of a stream."""
    end = 0
    for match in EVENT_END.finditer(data):
        end = match.end()
    return end
