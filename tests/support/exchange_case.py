"""Common code of the exchange tests: one request through the rig, the rules it broke, and the expected decision."""

import unittest
from dataclasses import dataclass

from rowanshift.dataplane.retry_decision import (
    ClientResponse,
    Decision,
    ExchangeOutcome,
    RequestIdempotency,
    RequestProgress,
    decide,
)
from tests.support.exchange_rig import (
    CLIENT_DEADLINE_SECONDS,
    NOT_EXECUTED_STATUSES,
    REPEATABLE,
    STREAM_KINDS,
    AfterCut,
    Behaviour,
    Client,
    ReceivedResponse,
    Rig,
    complete_body,
    event,
    response_seal,
)

IDEMPOTENCY_BY_KIND = {
    "idempotent": RequestIdempotency.IDEMPOTENT,
    "non_idempotent": RequestIdempotency.NON_IDEMPOTENT,
    "resumable": RequestIdempotency.RESUMABLE_STREAM,
    "stream": RequestIdempotency.STREAM,
}
CONNECTION_ENDINGS = (AfterCut.RESET, AfterCut.CLOSE, AfterCut.SILENCE)


def breaches(rig: Rig, kind: str, id: str, got: ReceivedResponse) -> list[str]:
    """The rules that one exchange broke, independent of the expected decision."""
    found = []
    if kind not in REPEATABLE and rig.runs[id] > 1:
        found.append(f"TWICE: {rig.runs[id]} runs")
    if got.status in NOT_EXECUTED_STATUSES and rig.runs[id]:
        found.append(f"REFUSED: {got.status} after {rig.runs[id]} runs")
    expected = complete_body(kind, id)
    if 200 <= got.status < 300:
        if got.fields.get(b"response-seal") not in [response_seal(id, status) for status in (200, 204)]:
            found.append("MIXED: a success without the server's seal")
        if got.complete and got.body != expected:
            found.append(f"MIXED: a complete success with {got.body!r}")
        if not expected.startswith(got.body):
            found.append(f"ORDER: {got.body!r}")
    elif b"response-seal" in got.fields and got.fields[b"response-seal"] != response_seal(id, got.status):
        found.append(f"MIXED: {got.status} with the seal {got.fields[b'response-seal']!r}")
    if got.trailing:
        found.append(f"MIXED: {got.trailing!r} after the response")
    return found


def outcome(kind: str, id: str, got: ReceivedResponse) -> str:
    """A summary of what the client received, in the same form as ``expected``."""
    if got.complete and 200 <= got.status < 300:
        return "success"
    if not got.complete:
        return "cut" if got.closed else "nothing"
    return f"{'server' if b'response-seal' in got.fields else 'own'} {got.status}"


def expected(decision: Decision, response_started: bool, may_have_run: bool, server_status: int = 0) -> str:
    if decision.retry:
        return "success"
    response = RequestProgress(may_have_run=may_have_run, response_started=response_started).client_response(decision)
    if response is ClientResponse.SERVER_RESPONSE:
        return "success" if server_status == 200 else f"server {server_status}"
    return "cut" if response is ClientResponse.CONNECTION_CLOSED else f"own {response.status}"


@dataclass(slots=True)
class Exchange:
    """The result of a request with scripted attempts, and of a normal request after it on the same connections."""

    id: str
    got: ReceivedResponse
    runs: int
    attempts: int
    connection_kept: bool
    breaches: list[str]


async def exchange(
    rig: Rig, kind: str, *behaviours: Behaviour, within: float = CLIENT_DEADLINE_SECONDS, body: str = ""
) -> Exchange:
    id, client = rig.next_id(), Client(rig)
    rig.behaviours[:] = behaviours
    got = await client.ask(kind, id, within=within, body=body)
    first = rig.arrivals[id][0] if rig.arrivals[id] else None
    connection_kept = first is not None and first.peer.state == "up"
    rig.behaviours.clear()
    found = breaches(rig, kind, id, got)
    if not got.complete or b"close" in got.fields.get(b"connection", b""):
        client.close()
        client = Client(rig)
    elif surplus := await client.read_unrequested(0.001):
        found.append(f"MIXED: {surplus!r} without an open request")
    following_id = rig.next_id()
    next_response = await client.ask("non_idempotent", following_id)
    found += [f"next: {breach}" for breach in breaches(rig, "non_idempotent", following_id, next_response)]
    if outcome("non_idempotent", following_id, next_response) != "success":
        found.append(f"next: {next_response}")
    client.close()
    return Exchange(id, got, rig.runs[id], len(rig.arrivals[id]), connection_kept, found)


class Case(unittest.TestCase):
    maxDiff = None

    def setUp(self) -> None:
        self.mismatches: list[str] = []

    def tearDown(self) -> None:
        self.assertEqual(self.mismatches[:5], [], f"{len(self.mismatches)} mismatching exchanges")

    def compare_with_table(
        self,
        exchange_result: Exchange,
        kind: str,
        exchange_outcome: ExchangeOutcome,
        where: str,
        server_status: int = 200,
        response_started: bool = False,
    ) -> None:
        """Record a mismatch with the decision table for a request whose first attempt had this outcome."""
        decision = decide(IDEMPOTENCY_BY_KIND[kind], exchange_outcome)
        got = (
            outcome(kind, exchange_result.id, exchange_result.got),
            exchange_result.attempts,
            exchange_result.connection_kept,
            exchange_result.breaches,
        )
        wanted = (
            expected(decision, response_started, decision.may_have_run, server_status),
            1 + decision.retry,
            decision.keep_connection,
            [],
        )
        if got != wanted:
            self.mismatches.append(
                f"{kind}, {exchange_outcome.name}, {where}: got {got}, expected {wanted}: {exchange_result.got}"
            )
        if exchange_outcome is ExchangeOutcome.TIMED_OUT and exchange_result.got.at < CLIENT_DEADLINE_SECONDS - 0.1:
            self.mismatches.append(f"{kind}, {where}: ended after {exchange_result.got.at} s")


def expected_outcome_of_cut(kind: str, answer: bytes, cut: int, then: AfterCut) -> tuple[ExchangeOutcome, bool]:
    """The outcome of an exchange whose successful response stops after ``cut`` bytes, and whether its relay began."""
    received, id = answer[:cut], answer.partition(b"Request-Id: ")[2].partition(b"\r\n")[0].decode()
    _, found, rest = received.partition(b"\r\n\r\n")
    if cut == len(answer):
        return ExchangeOutcome.SUCCESS, True
    response_started = bool(rest) if kind in ("idempotent", "non_idempotent") else event(id, 1) in rest
    if then is AfterCut.SILENCE:
        resumes = kind == "resumable" or (kind == "idempotent" and not response_started)
        return (ExchangeOutcome.SERVER_SILENT if resumes else ExchangeOutcome.TIMED_OUT), response_started
    if not found:
        return ExchangeOutcome.NO_RESPONSE, False
    if not response_started:
        return ExchangeOutcome.BROKEN_BEFORE_RELAY, False
    return (ExchangeOutcome.BROKEN_AFTER_EVENT if kind in STREAM_KINDS else ExchangeOutcome.BROKEN_AFTER_BYTES), True
