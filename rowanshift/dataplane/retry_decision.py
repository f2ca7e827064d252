"""Retry decisions: whether a request is retried after one exchange with a server, and what the client gets otherwise.

A pure module: no I/O, no clock. The whole policy is the table ``DECISIONS``, shown in docs/exchanges.md. A decision
says only whether a retry is allowed; the forwarder then checks that the route allows a further server, that one is
available, that the retry budget grants the attempt and that there is time left.
"""

from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

NOT_EXECUTED_STATUSES = frozenset([408, 421, 429, 503])  # statuses that guarantee that the request is never executed


class RequestIdempotency(Enum):
    """Whether a request may be executed a second time, and whether its response is a stream."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    RESUMABLE_STREAM = "resumable stream"
    STREAM = "other stream"

    @property
    def repeatable(self) -> bool:
        """Whether such a request may be executed more than once."""
        return self in (RequestIdempotency.IDEMPOTENT, RequestIdempotency.RESUMABLE_STREAM)


class ExchangeOutcome(Enum):
    """How one exchange with a server ended."""

    REQUEST_NOT_SENT = "no server can have got the complete head of the request"
    NO_RESPONSE = "the head of the request was sent, and the connection ended before a response"
    MALFORMED_RESPONSE = "the bytes received are no HTTP response"
    MISMATCHED_REQUEST_ID = "the response has another Request-Id, or none"
    SERVER_SILENT = "abandoned after a silence, because another server is available"
    TIMED_OUT = "the request's deadline or the route's timeout passed"
    MISDIRECTED = "421"
    NOT_EXECUTED = "an unsuccessful status with Not-Executed"
    UNCONFIRMED_REJECTION = "408, 429 or 503 without Not-Executed"
    SERVER_ERROR = "another 5xx, and the route allows a further server"
    LAST_SERVER_ERROR = "another 5xx from the last server that the route allows"
    OTHER_STATUS = "another unsuccessful status"
    SUCCESS = "a complete successful response"
    SUCCESS_WITH_SURPLUS_BYTES = "a complete successful response, with more bytes after it"
    BROKEN_BEFORE_RELAY = "a success that broke off before any of it was relayed"
    BROKEN_AFTER_BYTES = "a success that broke off after bytes of it, but no event with an id, were relayed"
    BROKEN_AFTER_EVENT = "a stream that broke off after an event with an id was relayed"
    RESUME_REJECTED = "an unsuccessful status after a part of another server's stream was relayed"


class ClientResponse(Enum):
    """What the client gets if there is no further attempt."""

    SERVER_RESPONSE = "the server's response"
    UNAVAILABLE = "503"
    BAD_GATEWAY = "502"
    GATEWAY_TIMEOUT = "504"
    CONNECTION_CLOSED = "connection closed"

    @property
    def status(self) -> int:
        """The HTTP status of the router's own response; ``ValueError`` where there is none."""
        return int(self.value)


@dataclass(slots=True, frozen=True)
class Decision:
    """What follows from the outcome of one exchange."""

    retry: bool  # the request may be sent to another server
    client_response: ClientResponse  # without a further attempt
    may_have_run: bool  # the server may have executed the request
    keep_connection: bool  # the connection to the server goes back to the pool


@dataclass(slots=True, frozen=True)
class _RetryRule:
    """Whether requests of some idempotency are retried after an outcome, and the client's response otherwise."""

    retry: bool
    otherwise: ClientResponse


_RETRY_OR_503 = _RetryRule(True, ClientResponse.UNAVAILABLE)
_RETRY_OR_502 = _RetryRule(True, ClientResponse.BAD_GATEWAY)
_RETRY_OR_504 = _RetryRule(True, ClientResponse.GATEWAY_TIMEOUT)
_RETRY_OR_CLOSE = _RetryRule(True, ClientResponse.CONNECTION_CLOSED)
_502 = _RetryRule(False, ClientResponse.BAD_GATEWAY)
_504 = _RetryRule(False, ClientResponse.GATEWAY_TIMEOUT)
_RELAY = _RetryRule(False, ClientResponse.SERVER_RESPONSE)
_CLOSE = _RetryRule(False, ClientResponse.CONNECTION_CLOSED)


def _decisions(
    repeatable: _RetryRule,
    not_repeatable: _RetryRule,
    *,
    may_have_run: bool,
    keep_connection: bool,
    only_resumable_retries: bool = False,
) -> dict[RequestIdempotency, Decision]:
    """One row of the table: a rule for repeatable requests and one for the others. With ``only_resumable_retries``,
    of the repeatable requests only a resumable stream is retried."""
    row = {}
    for idempotency in RequestIdempotency:
        rule = repeatable if idempotency.repeatable else not_repeatable
        excluded = only_resumable_retries and idempotency is not RequestIdempotency.RESUMABLE_STREAM
        row[idempotency] = Decision(rule.retry and not excluded, rule.otherwise, may_have_run, keep_connection)
    return row


def _not_run(keep_connection: bool) -> dict[RequestIdempotency, Decision]:
    """A row for outcomes that prove that the server did not execute the request."""
    return _decisions(_RETRY_OR_503, _RETRY_OR_503, may_have_run=False, keep_connection=keep_connection)


def _complete(repeatable: _RetryRule, not_repeatable: _RetryRule) -> dict[RequestIdempotency, Decision]:
    """A row for responses that were read to their end, with nothing after them."""
    return _decisions(repeatable, not_repeatable, may_have_run=True, keep_connection=True)


def _failed(repeatable: _RetryRule, not_repeatable: _RetryRule) -> dict[RequestIdempotency, Decision]:
    """A row for exchanges after which the connection to the server is unusable."""
    return _decisions(repeatable, not_repeatable, may_have_run=True, keep_connection=False)


def _resumable(keep_connection: bool) -> dict[RequestIdempotency, Decision]:
    """A row for streams of which an event was relayed: resumed at another server, or cut off."""
    return _decisions(
        _RETRY_OR_CLOSE, _CLOSE, may_have_run=True, keep_connection=keep_connection, only_resumable_retries=True
    )


DECISIONS: dict[ExchangeOutcome, dict[RequestIdempotency, Decision]] = {
    ExchangeOutcome.REQUEST_NOT_SENT: _not_run(keep_connection=False),
    ExchangeOutcome.NO_RESPONSE: _failed(_RETRY_OR_502, _502),
    ExchangeOutcome.MALFORMED_RESPONSE: _failed(_RETRY_OR_502, _502),
    ExchangeOutcome.MISMATCHED_REQUEST_ID: _failed(_RETRY_OR_502, _502),
    ExchangeOutcome.SERVER_SILENT: _failed(_RETRY_OR_504, _504),
    ExchangeOutcome.TIMED_OUT: _failed(_504, _504),
    ExchangeOutcome.MISDIRECTED: _not_run(keep_connection=True),
    ExchangeOutcome.NOT_EXECUTED: _not_run(keep_connection=True),
    ExchangeOutcome.UNCONFIRMED_REJECTION: _complete(_RETRY_OR_502, _502),
    ExchangeOutcome.SERVER_ERROR: _complete(_RETRY_OR_502, _RELAY),
    ExchangeOutcome.LAST_SERVER_ERROR: _complete(_RELAY, _RELAY),
    ExchangeOutcome.OTHER_STATUS: _complete(_RELAY, _RELAY),
    ExchangeOutcome.SUCCESS: _complete(_RELAY, _RELAY),
    ExchangeOutcome.SUCCESS_WITH_SURPLUS_BYTES: _failed(_RELAY, _RELAY),
    ExchangeOutcome.BROKEN_BEFORE_RELAY: _failed(_RETRY_OR_502, _502),
    ExchangeOutcome.BROKEN_AFTER_BYTES: _failed(_CLOSE, _CLOSE),
    ExchangeOutcome.BROKEN_AFTER_EVENT: _resumable(keep_connection=False),
    ExchangeOutcome.RESUME_REJECTED: _resumable(keep_connection=True),
}


def idempotency_of(streaming: bool, repeatable: bool) -> RequestIdempotency:
    """The idempotency of a route's requests, from the route's two settings."""
    if streaming:
        return RequestIdempotency.RESUMABLE_STREAM if repeatable else RequestIdempotency.STREAM
    return RequestIdempotency.IDEMPOTENT if repeatable else RequestIdempotency.NON_IDEMPOTENT


def decide(idempotency: RequestIdempotency, outcome: ExchangeOutcome) -> Decision:
    """The decision for one outcome of one exchange."""
    return DECISIONS[outcome][idempotency]


@dataclass(slots=True)
class RequestProgress:
    """The combined progress of all attempts of one request."""

    may_have_run: bool = False  # some server may have executed the request
    response_started: bool = False  # a part of a response was relayed to the client
    event_relayed: bool = False  # that part contains an event with an id
    servers_left: int = 0  # further servers that the route allows

    def outcome_of_status(self, status: int, not_executed: bool) -> ExchangeOutcome:
        """The outcome of an exchange whose response was complete and unsuccessful; ``not_executed`` is whether it
        has a Not-Executed header."""
        if status == HTTPStatus.MISDIRECTED_REQUEST:
            return ExchangeOutcome.MISDIRECTED
        if not_executed:
            return ExchangeOutcome.NOT_EXECUTED
        if self.response_started:
            return ExchangeOutcome.RESUME_REJECTED
        if status in NOT_EXECUTED_STATUSES:
            return ExchangeOutcome.UNCONFIRMED_REJECTION
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return ExchangeOutcome.SERVER_ERROR if self.servers_left > 0 else ExchangeOutcome.LAST_SERVER_ERROR
        return ExchangeOutcome.OTHER_STATUS

    def outcome_of_broken_success(self) -> ExchangeOutcome:
        """The outcome of an exchange whose successful response broke off."""
        if not self.response_started:
            return ExchangeOutcome.BROKEN_BEFORE_RELAY
        return ExchangeOutcome.BROKEN_AFTER_EVENT if self.event_relayed else ExchangeOutcome.BROKEN_AFTER_BYTES

    def client_response(self, decision: Decision) -> ClientResponse:
        """What the client gets if there is no further attempt: no 503 where a server may have executed the request,
        and no status where a response has started."""
        if self.response_started:
            return ClientResponse.CONNECTION_CLOSED
        if decision.client_response is ClientResponse.UNAVAILABLE and self.may_have_run:
            return ClientResponse.BAD_GATEWAY
        return decision.client_response
