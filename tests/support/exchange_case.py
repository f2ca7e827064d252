"""What tests of exchanges have in common: one request through the rig, what rules it broke, and what the table says."""

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
    PROMISES,
    REPEATABLE,
    STREAMS,
    WITHIN,
    Behaviour,
    Client,
    Got,
    Rig,
    Then,
    event,
    seal_of,
    whole_body,
)

KIND_OF = {
    "idempotent": RequestIdempotency.IDEMPOTENT,
    "non_idempotent": RequestIdempotency.NON_IDEMPOTENT,
    "resumable": RequestIdempotency.RESUMABLE_STREAM,
    "stream": RequestIdempotency.STREAM,
}
ENDS = (Then.RESET, Then.CLOSE, Then.SILENCE)


def breaches(rig: Rig, kind: str, id: str, got: Got) -> list[str]:
    """The rules that one exchange broke, whatever was decided."""
    found = []
    if kind not in REPEATABLE and rig.runs[id] > 1:
        found.append(f"TWICE: {rig.runs[id]} runs")
    if got.status in PROMISES and rig.runs[id]:
        found.append(f"REFUSED: {got.status} after {rig.runs[id]} runs")
    expected = whole_body(kind, id)
    if 200 <= got.status < 300:
        if got.fields.get(b"response-seal") not in [seal_of(id, status) for status in (200, 204)]:
            found.append("MIXED: a success without the seal of its server")
        if got.whole and got.body != expected:
            found.append(f"MIXED: a whole success with {got.body!r}")
        if not expected.startswith(got.body):
            found.append(f"ORDER: {got.body!r}")
    elif b"response-seal" in got.fields and got.fields[b"response-seal"] != seal_of(id, got.status):
        found.append(f"MIXED: {got.status} with the seal {got.fields[b'response-seal']!r}")
    if got.rest:
        found.append(f"MIXED: {got.rest!r} after the answer")
    return found


def outcome(kind: str, id: str, got: Got) -> str:
    """What the client got, in the words of ``expected``."""
    if got.whole and 200 <= got.status < 300:
        return "success"
    if not got.whole:
        return "cut" if got.ended else "nothing"
    return f"{'server' if b'response-seal' in got.fields else 'own'} {got.status}"


def expected(decision: Decision, begun: bool, ran: bool, server_status: int = 0) -> str:
    if decision.retry:
        return "success"
    response = RequestProgress(may_have_run=ran, response_started=begun).client_response(decision)
    if response is ClientResponse.SERVER_RESPONSE:
        return "success" if server_status == 200 else f"server {server_status}"
    return "cut" if response is ClientResponse.CONNECTION_CLOSED else f"own {response.status}"


@dataclass(slots=True)
class Exchange:
    """One request whose first attempt went as a behaviour says, and a well one after it on the same connections."""

    id: str
    got: Got
    runs: int
    attempts: int
    kept: bool
    breaches: list[str]


async def exchange(rig: Rig, kind: str, *behaviours: Behaviour, within: float = WITHIN) -> Exchange:
    id, client = rig.next_id(), Client(rig)
    rig.behaviours[:] = behaviours
    got = await client.ask(kind, id, within=within)
    first = rig.arrivals[id][0] if rig.arrivals[id] else None
    kept = first is not None and first.peer.state == "up"
    rig.behaviours.clear()
    found = breaches(rig, kind, id, got)
    if not got.whole or b"close" in got.fields.get(b"connection", b""):
        client.close()
        client = Client(rig)
    elif surplus := await client.leftover(0.001):
        found.append(f"MIXED: {surplus!r} with no request waiting")
    after = rig.next_id()
    next_got = await client.ask("non_idempotent", after)
    found += [f"next: {breach}" for breach in breaches(rig, "non_idempotent", after, next_got)]
    if outcome("non_idempotent", after, next_got) != "success":
        found.append(f"next: {next_got}")
    client.close()
    return Exchange(id, got, rig.runs[id], len(rig.arrivals[id]), kept, found)


class Case(unittest.TestCase):
    maxDiff = None

    def setUp(self) -> None:
        self.wrong: list[str] = []

    def tearDown(self) -> None:
        self.assertEqual(self.wrong[:5], [], f"{len(self.wrong)} exchanges")

    def agrees(
        self,
        made: Exchange,
        kind: str,
        ending: ExchangeOutcome,
        where: str,
        server_status: int = 200,
        begun: bool = False,
    ) -> None:
        """Notes what the table does not say of a first attempt that ended so."""
        decision = decide(KIND_OF[kind], ending)
        got = (outcome(kind, made.id, made.got), made.attempts, made.kept, made.breaches)
        wanted = (
            expected(decision, begun, decision.may_have_run, server_status),
            1 + decision.retry,
            decision.keep_connection,
            [],
        )
        if got != wanted:
            self.wrong.append(f"{kind}, {ending.name}, {where}: {got}, not {wanted}: {made.got}")
        if ending is ExchangeOutcome.TIMED_OUT and made.got.at < WITHIN - 0.1:
            self.wrong.append(f"{kind}, {where}: ended after {made.got.at} s")


def ending_at(kind: str, answer: bytes, cut: int, then: Then) -> tuple[ExchangeOutcome, bool]:
    """The ending of an exchange whose answer, a success, stops after ``cut`` bytes, and whether it has begun."""
    seen, id = answer[:cut], answer.partition(b"Request-Id: ")[2].partition(b"\r\n")[0].decode()
    _, found, rest = seen.partition(b"\r\n\r\n")
    if cut == len(answer):
        return ExchangeOutcome.SUCCESS, True
    begun = bool(rest) if kind in ("idempotent", "non_idempotent") else event(id, 1) in rest
    if then is Then.SILENCE:
        resumes = kind == "resumable" or (kind == "idempotent" and not begun)
        return (ExchangeOutcome.SERVER_SILENT if resumes else ExchangeOutcome.TIMED_OUT), begun
    if not found:
        return ExchangeOutcome.NO_RESPONSE, False
    if not begun:
        return ExchangeOutcome.BROKEN_BEFORE_RELAY, False
    return (ExchangeOutcome.BROKEN_AFTER_EVENT if kind in STREAMS else ExchangeOutcome.BROKEN_AFTER_BYTES), True
