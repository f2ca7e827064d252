"""What follows from the way in which one exchange with a server ended: another attempt or not, what the client is
told otherwise, and whether the connection to the server is kept. No I/O, no clock.

The table is ``DECISIONS``; docs/exchanges.md shows it. Whether another server is there, whether the retry budget
grants an attempt and whether there is time left is asked elsewhere, and only where a decision says ``again``.
"""

from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

PROMISES = frozenset([408, 421, 429, 503])  # statuses that say that a request has not run and never will


class RequestIdempotency(Enum):
    """Kinds of request, by what a second attempt may do."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    RESUMABLE_STREAM = "resumable stream"
    STREAM = "other stream"

    @property
    def repeatable(self) -> bool:
        """Whether a request of this kind may run more than once."""
        return self in (RequestIdempotency.IDEMPOTENT, RequestIdempotency.RESUMABLE_STREAM)


class ExchangeOutcome(Enum):
    """The ways in which one exchange with a server ends."""

    NOT_WRITTEN = "the last byte of the request was not handed to the system"
    NO_ANSWER = "written whole, and the connection ended without an answer"
    GARBLED = "what came is no answer"
    MISMATCHED = "the answer bears another Request-Id, or none"
    SILENT = "given up after a silence, for another server that is there"
    TIMED_OUT = "the request's time was up"
    MISDIRECTED = "421"
    NOT_EXECUTED = "any status that is no success, with Not-Executed"
    UNPROVEN_PROMISE = "408, 429 or 503 without Not-Executed"
    SERVER_ERROR = "another 5xx, and the route allows a further server"
    LAST_SERVER_ERROR = "another 5xx from the last server that the route allows"
    REFUSED = "another status that is no success"
    SUCCESS = "a whole success"
    SURPLUS = "a whole answer, with more bytes after it"
    BROKEN_UNSEEN = "a success broken off before any of it was passed on"
    BROKEN_MIDWAY = "a success broken off after bytes of it, but no event with an id, were passed on"
    BROKEN_AFTER_EVENT = "a stream broken off after an event with an id was passed on"
    NOT_TAKEN_UP = "a status that is no success, after a part of another server's stream was passed on"


class ClientResponse(Enum):
    """What a client gets if no further attempt is made."""

    ANSWER = "the server's answer"
    UNAVAILABLE = "503"
    BAD_GATEWAY = "502"
    GATEWAY_TIMEOUT = "504"
    CUT = "its connection closed"

    @property
    def status(self) -> int:
        """The status of this router's own answer; ``ValueError`` if there is none."""
        return int(self.value)


@dataclass(slots=True, frozen=True)
class Decision:
    """What follows from an ending."""

    again: bool  # another server may be tried
    told: ClientResponse  # else
    may_have_run: bool
    kept: bool  # the connection to the server


def _decisions(
    kept: bool,
    may_have_run: bool,
    repeatable: tuple[bool, ClientResponse],
    once: tuple[bool, ClientResponse],
    resumable: bool = False,
) -> dict[RequestIdempotency, Decision]:
    """One row: what holds for repeatable kinds, and for the others. With ``resumable``, only a resumable stream
    may go again of the repeatable kinds."""
    row = {}
    for kind in RequestIdempotency:
        again, told = repeatable if kind.repeatable else once
        if resumable and kind is not RequestIdempotency.RESUMABLE_STREAM:
            again = False
        row[kind] = Decision(again, told, may_have_run, kept)
    return row


_AGAIN_OR_503, _AGAIN_OR_502, _AGAIN_OR_504 = (
    (True, told) for told in (ClientResponse.UNAVAILABLE, ClientResponse.BAD_GATEWAY, ClientResponse.GATEWAY_TIMEOUT)
)
_502, _504, _ANSWER = (
    (False, told) for told in (ClientResponse.BAD_GATEWAY, ClientResponse.GATEWAY_TIMEOUT, ClientResponse.ANSWER)
)
_AGAIN_OR_CUT, _CUT = (True, ClientResponse.CUT), (False, ClientResponse.CUT)

DECISIONS: dict[ExchangeOutcome, dict[RequestIdempotency, Decision]] = {
    ExchangeOutcome.NOT_WRITTEN: _decisions(False, False, _AGAIN_OR_503, _AGAIN_OR_503),
    ExchangeOutcome.NO_ANSWER: _decisions(False, True, _AGAIN_OR_502, _502),
    ExchangeOutcome.GARBLED: _decisions(False, True, _AGAIN_OR_502, _502),
    ExchangeOutcome.MISMATCHED: _decisions(False, True, _AGAIN_OR_502, _502),
    ExchangeOutcome.SILENT: _decisions(False, True, _AGAIN_OR_504, _504),
    ExchangeOutcome.TIMED_OUT: _decisions(False, True, _504, _504),
    ExchangeOutcome.MISDIRECTED: _decisions(True, False, _AGAIN_OR_503, _AGAIN_OR_503),
    ExchangeOutcome.NOT_EXECUTED: _decisions(True, False, _AGAIN_OR_503, _AGAIN_OR_503),
    ExchangeOutcome.UNPROVEN_PROMISE: _decisions(True, True, _AGAIN_OR_502, _502),
    ExchangeOutcome.SERVER_ERROR: _decisions(True, True, _AGAIN_OR_502, _ANSWER),
    ExchangeOutcome.LAST_SERVER_ERROR: _decisions(True, True, _ANSWER, _ANSWER),
    ExchangeOutcome.REFUSED: _decisions(True, True, _ANSWER, _ANSWER),
    ExchangeOutcome.SUCCESS: _decisions(True, True, _ANSWER, _ANSWER),
    ExchangeOutcome.SURPLUS: _decisions(False, True, _ANSWER, _ANSWER),
    ExchangeOutcome.BROKEN_UNSEEN: _decisions(False, True, _AGAIN_OR_502, _502),
    ExchangeOutcome.BROKEN_MIDWAY: _decisions(False, True, _CUT, _CUT),
    ExchangeOutcome.BROKEN_AFTER_EVENT: _decisions(False, True, _AGAIN_OR_CUT, _CUT, resumable=True),
    ExchangeOutcome.NOT_TAKEN_UP: _decisions(True, True, _AGAIN_OR_CUT, _CUT, resumable=True),
}


def kind_of(streaming: bool, repeatable: bool) -> RequestIdempotency:
    """The kind of a route's requests."""
    if streaming:
        return RequestIdempotency.RESUMABLE_STREAM if repeatable else RequestIdempotency.STREAM
    return RequestIdempotency.IDEMPOTENT if repeatable else RequestIdempotency.NON_IDEMPOTENT


def decide(kind: RequestIdempotency, ending: ExchangeOutcome) -> Decision:
    """The decision for one ending of one exchange."""
    return DECISIONS[ending][kind]


@dataclass(slots=True)
class Progress:
    """How far the attempts of one request have come together."""

    may_have_run: bool = False  # at any server
    begun: bool = False  # a part of an answer was passed on to the client
    event_passed: bool = False  # among it an event with an id
    servers_left: int = 0  # that the route still allows

    def ending_of_status(self, status: int, not_executed: bool) -> ExchangeOutcome:
        """The ending of an exchange whose answer was whole and no success."""
        if status == HTTPStatus.MISDIRECTED_REQUEST:
            return ExchangeOutcome.MISDIRECTED
        if not_executed:
            return ExchangeOutcome.NOT_EXECUTED
        if self.begun:
            return ExchangeOutcome.NOT_TAKEN_UP
        if status in PROMISES:
            return ExchangeOutcome.UNPROVEN_PROMISE
        if status >= 500:
            return ExchangeOutcome.SERVER_ERROR if self.servers_left > 0 else ExchangeOutcome.LAST_SERVER_ERROR
        return ExchangeOutcome.REFUSED

    def ending_of_break(self) -> ExchangeOutcome:
        """The ending of an exchange whose success broke off."""
        if not self.begun:
            return ExchangeOutcome.BROKEN_UNSEEN
        return ExchangeOutcome.BROKEN_AFTER_EVENT if self.event_passed else ExchangeOutcome.BROKEN_MIDWAY

    def told(self, decision: Decision) -> ClientResponse:
        """What the client is told at the end: no promise where a server may have run the request, and no status
        where an answer has begun."""
        if self.begun:
            return ClientResponse.CUT
        if decision.told is ClientResponse.UNAVAILABLE and self.may_have_run:
            return ClientResponse.BAD_GATEWAY
        return decision.told
