"""Every way in surplus_kind an exchange with a server can end, at every byte boundary, for each kind of request."""

import unittest
from enum import Enum
from pathlib import Path
from typing import Any
from unittest import mock

import test_exchange_attempts
import test_exchange_early_answers
import trio
from loguru import logger

from rowanshift.dataplane.retry_decision import (
    ClientResponse,
    Decision,
    ExchangeOutcome,
    RequestIdempotency,
    RequestProgress,
    decide,
)
from rowanshift.dataplane.server_exchange import ServerExchange
from tests.support.exchange_case import (
    CONNECTION_ENDINGS,
    IDEMPOTENCY_BY_KIND,
    Case,
    Exchange,
    breaches,
    exchange,
    expected,
    expected_outcome_of_cut,
    outcome,
)
from tests.support.exchange_rig import (
    EVENT_COUNT,
    KINDS,
    REPEATABLE,
    STREAM_KINDS,
    AfterCut,
    Behaviour,
    Client,
    Rig,
    ServerRequest,
    body_for,
    complete_response,
    head,
    plain,
    play,
    rejection,
)


def setUpModule():
    logger.disable("rowanshift")


def tearDownModule():
    logger.enable("rowanshift")


class AnswersBrokenOff(Case):
    """The response is truncated after each number of bytes in turn."""

    def sweep(self, kind: str, then: AfterCut) -> None:
        length = len(complete_response(ServerRequest("r1000", {}, b"", kind)))

        async def main(rig: Rig) -> list:
            rig.request_count = 1000  # so that all request ids have the same length
            return [(offset, await exchange(rig, kind, Behaviour(cut=offset, then=then))) for offset in range(length)]

        for offset, result in play(main):
            answer = complete_response(ServerRequest(result.id, {}, b"", kind))
            exchange_outcome, response_started = expected_outcome_of_cut(kind, answer, offset, then)
            self.compare_with_table(
                result, kind, exchange_outcome, f"{then} after {offset}", response_started=response_started
            )


def _sweeps() -> None:
    for kind in KINDS:
        for then in CONNECTION_ENDINGS:

            def test(self: AnswersBrokenOff, kind: str = kind, then: AfterCut = then) -> None:
                self.sweep(kind, then)

            setattr(AnswersBrokenOff, f"test_{then.name.lower()}_within_the_response_to_{kind}", test)


_sweeps()


class Written(Enum):
    """How much of a request the router handed to the operating system."""

    PART_OF_HEAD = 1
    HEAD = 2  # and not all of the body
    ALL = 3


class RequestsReadInPart(Case):
    """A server reads each number of bytes of the request in turn, then ends the connection or stays silent.

    It may have begun to work on the request from the last byte of the head on.
    """

    def sweep(self, kind: str, then: AfterCut, window: int) -> set[Written]:
        """Returns how much of the requests was written."""
        size = head_size = 0

        async def main(rig: Rig) -> list:
            nonlocal size, head_size
            size, head_size = await written_sizes(rig, kind)
            results = []
            for offset in range(1, size):
                rig.close_idle_connections()
                rig.partly_read.clear()
                await trio.sleep(5.0)  # unreachable servers are used again after this pause
                results.append(
                    (offset, await exchange(rig, kind, Behaviour(read=offset, then=then)), rig.partly_read[0].wrote)
                )
            return results

        seen = set()
        for offset, result, wrote in play(main, window=window):
            written = Written.ALL if wrote >= size else Written.HEAD if wrote >= head_size else Written.PART_OF_HEAD
            seen.add(written)
            may_have_begun = written is not Written.PART_OF_HEAD
            exchange_outcome = ExchangeOutcome.NO_RESPONSE if may_have_begun else ExchangeOutcome.REQUEST_NOT_SENT
            if then is AfterCut.SILENCE:
                if kind in REPEATABLE:
                    exchange_outcome = ExchangeOutcome.SERVER_SILENT
                elif may_have_begun:
                    exchange_outcome = ExchangeOutcome.TIMED_OUT
            decision = decide(IDEMPOTENCY_BY_KIND[kind], exchange_outcome)
            wanted = expected(decision, False, decision.may_have_run)
            if then is AfterCut.SILENCE and exchange_outcome is ExchangeOutcome.REQUEST_NOT_SENT:
                wanted = "own 503"  # no time remains for another server
            got = outcome(kind, result.id, result.got)
            if (got, result.breaches) != (wanted, []):
                self.mismatches.append(
                    f"{kind}, {exchange_outcome.name}, {offset} of {size} read, {wrote} written: got {result}, "
                    f"expected {wanted}"
                )
        return seen

    def test_the_request_was_written_completely(self) -> None:
        for kind in KINDS:
            for then in (AfterCut.RESET, AfterCut.CLOSE):
                self.assertEqual(self.sweep(kind, then, 1 << 16), {Written.ALL})

    def test_a_small_window_leaves_a_part_unwritten(self) -> None:
        for kind in KINDS:
            for then in (AfterCut.RESET, AfterCut.CLOSE):
                self.assertEqual(self.sweep(kind, then, 40), set(Written))

    def test_silence(self) -> None:
        for kind in ("idempotent", "non_idempotent"):
            self.assertEqual(self.sweep(kind, AfterCut.SILENCE, 100), set(Written))


async def written_sizes(rig: Rig, kind: str) -> tuple[int, int]:
    """The size in bytes of a request as sent to a server, and that of its head."""
    sizes = []
    original = ServerExchange.send

    def send(sent: ServerExchange, data: bytes, head_bytes: int) -> None:
        sizes.append((len(data), head_bytes))
        original(sent, data, head_bytes)

    rig.request_count = 1000
    with mock.patch.object(ServerExchange, "send", send):
        await exchange(rig, kind)
    return sizes[0]


class Statuses(Case):
    """Complete responses that are not a success, in two pieces split at each byte."""

    def answers(self, status: int, *more: bytes, runs: bool, step: int = 1) -> None:
        for kind in KINDS:

            async def main(rig: Rig, kind: str = kind) -> list:
                rig.request_count = 1000
                size = len(rejection(status, *more)(ServerRequest("r1000", {}, b"", kind)))
                results = []
                for offset in range(0, size, step):
                    results.append(
                        (offset, await exchange(rig, kind, Behaviour(rejection(status, *more), cut=offset, runs=runs)))
                    )
                    await trio.sleep(1.0)  # servers that were at capacity are used again after this pause
                return results

            exchange_outcome = RequestProgress(servers_left=2).outcome_of_status(status, bool(more))
            for offset, result in play(main):
                self.compare_with_table(result, kind, exchange_outcome, f"{status} {more} cut at {offset}", status)

    def test_not_executed(self) -> None:
        for status in (503, 429, 408, 400):
            self.answers(status, b"Not-Executed: 1", runs=False, step=1 if status == 503 else 7)

    def test_misdirected(self) -> None:
        self.answers(421, runs=False, step=3)

    def test_an_unconfirmed_rejection(self) -> None:
        for status in (503, 429, 408):
            self.answers(status, runs=True, step=1 if status == 503 else 7)

    def test_errors(self) -> None:
        for status in (500, 502, 504):
            self.answers(status, runs=True, step=1 if status == 500 else 7)

    def test_client_errors_and_redirects(self) -> None:
        for status in (302, 400, 404):
            self.answers(status, runs=True, step=1 if status == 400 else 7)


class StatusesBrokenOff(Case):
    """Truncated responses that are not a success, after each byte: their status must not be relied on."""

    def sweep(self, then: AfterCut, status: int, *more: bytes) -> None:
        for kind in ("idempotent", "non_idempotent"):

            async def main(rig: Rig, kind: str = kind) -> list:
                rig.request_count = 1000
                size = len(rejection(status, *more)(ServerRequest("r1000", {}, b"", kind)))
                return [
                    (offset, await exchange(rig, kind, Behaviour(rejection(status, *more), cut=offset, then=then)))
                    for offset in range(size)
                ]

            exchange_outcome = ExchangeOutcome.NO_RESPONSE
            if then is AfterCut.SILENCE:
                exchange_outcome = ExchangeOutcome.SERVER_SILENT if kind in REPEATABLE else ExchangeOutcome.TIMED_OUT
            for offset, result in play(main):
                self.compare_with_table(result, kind, exchange_outcome, f"{status} {more}, {then} after {offset}")

    def test_not_executed(self) -> None:
        for then in CONNECTION_ENDINGS:
            self.sweep(then, 503, b"Not-Executed: 1")

    def test_misdirected(self) -> None:
        for then in CONNECTION_ENDINGS:
            self.sweep(then, 421)

    def test_errors(self) -> None:
        for then in CONNECTION_ENDINGS:
            self.sweep(then, 500)


class NoAnswers(Case):
    """The received bytes are not a response to the request."""

    def test_another_id_or_none(self) -> None:
        for kind in KINDS:
            for id in ("other", ""):

                async def main(rig: Rig, kind: str = kind, id: str = id) -> list:
                    rig.request_count = 1000
                    behaviours = [
                        Behaviour(lambda asked: complete_response(asked, id), cut=offset) for offset in range(60)
                    ]
                    return [await exchange(rig, kind, behaviour) for behaviour in behaviours]

                for offset, result in enumerate(play(main)):
                    self.compare_with_table(
                        result, kind, ExchangeOutcome.MISMATCHED_REQUEST_ID, f"id {id!r} cut at {offset}"
                    )

    def test_garbage(self) -> None:
        for kind in KINDS:
            for garbage in (
                b"\x00\xff\r\n\r\n",
                b"RTSP/1.0 200 OK\r\n\r\n",
                b"HTTP/3.9 200 OK\r\n\r\n",
                b"GET / HTTP/1.1\r\n",
            ):

                async def main(rig: Rig, kind: str = kind, garbage: bytes = garbage) -> list:
                    rig.request_count = 1000
                    behaviours = [Behaviour(lambda asked: garbage, cut=offset) for offset in range(len(garbage))]
                    return [await exchange(rig, kind, behaviour) for behaviour in behaviours]

                for offset, result in enumerate(play(main)):
                    self.compare_with_table(
                        result, kind, ExchangeOutcome.MALFORMED_RESPONSE, f"{garbage!r} cut at {offset}"
                    )

    def test_garbage_within_the_head(self) -> None:
        """After each byte of the head: the client gets neither a success nor a status that rules out execution."""
        for kind in KINDS:

            async def main(rig: Rig, kind: str = kind) -> list:
                rig.request_count = 1000
                size = complete_response(ServerRequest("r1000", {}, b"", kind)).index(b"\r\n\r\n")
                results = []
                for offset in range(size):

                    def corrupted(asked: ServerRequest, offset: int = offset) -> bytes:
                        return complete_response(asked)[:offset] + b"\x00\x01 \r\r\n\r\n"

                    results.append((offset, await exchange(rig, kind, Behaviour(corrupted, then=AfterCut.CLOSE))))
                return results

            for offset, result in play(main):
                got = outcome(kind, result.id, result.got)
                if result.breaches or got != ("success" if kind in REPEATABLE else "own 502"):
                    self.mismatches.append(f"{kind}, garbage after {offset} bytes: {got} {result}")


class Surplus(Case):
    """Surplus bytes after a response, at every boundary."""

    def surplus_bytes(self, surplus_kind: str, asked: ServerRequest) -> bytes:
        return {
            "another's answer": plain(asked, id="other"),
            "the same answer": plain(asked),
            "an answer without an id": plain(asked, id=""),
            "garbage": b"\x00\x01\x02" * 9,
            "a line end": b"\r\n",
        }[surplus_kind]

    SURPLUS_KINDS = ("another's answer", "the same answer", "an answer without an id", "garbage", "a line end")

    def test_directly_after_the_response(self) -> None:
        for kind in KINDS:
            for surplus_kind in self.SURPLUS_KINDS[:-1]:  # the parser skips a line end, so that nothing remains of it

                async def main(rig: Rig, kind: str = kind, surplus_kind: str = surplus_kind) -> list:
                    rig.request_count, results = 1000, []
                    size = len(self.surplus_bytes(surplus_kind, ServerRequest("r1000", {}, b"", kind)))
                    for offset in range(1, size + 1):
                        surplus = self.surplus_bytes(
                            surplus_kind, ServerRequest(f"r{rig.request_count + 1}", {}, b"", kind)
                        )[:offset]
                        results.append(await exchange(rig, kind, Behaviour(surplus=surplus)))
                    return results

                for offset, result in enumerate(play(main)):
                    self.compare_with_table(
                        result,
                        kind,
                        ExchangeOutcome.SUCCESS_WITH_SURPLUS_BYTES,
                        f"{offset + 1} bytes of {surplus_kind}",
                    )

    def test_after_a_delay(self) -> None:
        """From directly after the response until the next response is due, on the only server's connection."""
        for surplus_kind in self.SURPLUS_KINDS:

            async def main(rig: Rig, surplus_kind: str = surplus_kind) -> list:
                results = []
                for step in range(1, 50):
                    id, after, client = rig.next_id(), rig.next_id(), Client(rig)
                    surplus = self.surplus_bytes(surplus_kind, ServerRequest(id, {}, b"", ""))
                    rig.behaviours[:] = [
                        Behaviour(surplus=surplus, surplus_after=step * 0.0001),
                        Behaviour(wait=0.004),
                    ]
                    first = await client.ask("non_idempotent", id)
                    second = await client.ask("non_idempotent", after)
                    for asked, got in ((id, first), (after, second)):
                        results += [
                            (surplus_kind, step, found) for found in breaches(rig, "non_idempotent", asked, got)
                        ]
                    if outcome("", id, first) != "success" or not second.complete:
                        results.append((surplus_kind, step, first, second))
                    client.close()
                    await trio.sleep(0.1)
                return results

            self.assertEqual(play(main, servers=1), [])


class Successes(Case):
    """Complete successes in two pieces split at each byte: relayed, and the connection is kept."""

    def test_cut_at_each_byte(self) -> None:
        for kind in KINDS:

            async def main(rig: Rig, kind: str = kind) -> list:
                rig.request_count = 1000
                size = len(complete_response(ServerRequest("r1000", {}, b"", kind)))
                return [await exchange(rig, kind, Behaviour(cut=offset, pause=0.001)) for offset in range(size)]

            for offset, result in enumerate(play(main)):
                self.compare_with_table(result, kind, ExchangeOutcome.SUCCESS, f"cut at {offset}")


class EndedByTheConnection(Case):
    """A success without a length ends when its connection is closed, but not when it is reset."""

    def test_closed_or_reset_after_each_byte_of_its_body(self) -> None:
        def answer(asked: ServerRequest) -> bytes:
            return head(asked) + body_for(asked.id)

        for kind in ("idempotent", "non_idempotent"):
            size = len(answer(ServerRequest("r1001", {}, b"", kind)))
            top = answer(ServerRequest("r1001", {}, b"", kind)).index(b"\r\n\r\n") + 4

            async def main(rig: Rig, kind: str = kind, top: int = top, size: int = size) -> list:
                rig.request_count = 1000
                closed = await exchange(
                    rig, kind, Behaviour(lambda asked: answer(asked) + b" ", cut=size, then=AfterCut.CLOSE)
                )
                cut = [Behaviour(answer, cut=offset, then=AfterCut.RESET) for offset in range(top + 1, size)]
                return [closed, *[await exchange(rig, kind, each) for each in cut]]

            closed, *reset = play(main)
            self.assertEqual((outcome(kind, closed.id, closed.got), closed.breaches), ("success", []))
            for offset, result in enumerate(reset):
                self.compare_with_table(
                    result,
                    kind,
                    ExchangeOutcome.BROKEN_AFTER_BYTES,
                    f"reset after {offset + 1} of its body",
                    response_started=True,
                )


class GarbageWithinAStream(Case):
    """Invalid bytes instead of each chunk."""

    def test_in_the_place_of_each_chunk(self) -> None:
        for kind in STREAM_KINDS:
            for garbage in (b"\x00\x01\x02\r\n", b"HTTP/1.1 200 OK\r\n\r\n", b"-1\r\n"):
                for events in range(EVENT_COUNT + 1):

                    def corrupted(asked: ServerRequest, events: int = events, garbage: bytes = garbage) -> bytes:
                        answer = complete_response(asked)
                        at = answer.index(b"\r\n\r\n") + 4
                        for _ in range(events):
                            at = answer.index(b"\n\n\r\n", at) + 4
                        return answer[:at] + garbage

                    async def main(rig: Rig, kind: str = kind, corrupted: object = corrupted) -> Exchange:
                        return await exchange(rig, kind, Behaviour(corrupted))

                    exchange_outcome = (
                        ExchangeOutcome.BROKEN_AFTER_EVENT if events else ExchangeOutcome.BROKEN_BEFORE_RELAY
                    )
                    result = play(main)
                    self.compare_with_table(
                        result,
                        kind,
                        exchange_outcome,
                        f"{garbage!r} after {events} events",
                        response_started=events > 0,
                    )


class SurplusBefore(Case):
    """A response that belongs to no request arrives before the correct one."""

    def test_before_the_correct_response(self) -> None:
        def preceded_by_other(id: str) -> object:
            return lambda asked: plain(asked, id=id) + complete_response(asked)

        for kind in KINDS:
            for id in ("other", ""):

                async def main(rig: Rig, kind: str = kind, id: str = id) -> list:
                    rig.request_count = 1000
                    size = len(preceded_by_other(id)(ServerRequest("r1001", {}, b"", kind)))
                    return [
                        await exchange(rig, kind, Behaviour(preceded_by_other(id), cut=offset))
                        for offset in range(0, size, 3)
                    ]

                for n, result in enumerate(play(main)):
                    self.compare_with_table(
                        result, kind, ExchangeOutcome.MISMATCHED_REQUEST_ID, f"id {id!r} cut at {3 * n}"
                    )


class PartsBefore(Case):
    """A truncated surplus response, of each length, arrives before the correct response."""

    def test_it_does_not_change_the_status_of_a_rejection(self) -> None:
        """The status line of the surplus response must be ignored: it would turn a rejection into a success."""
        for kind in KINDS:

            async def main(rig: Rig, kind: str = kind) -> list:
                results = []
                for offset in range(1, len(complete_response(ServerRequest("other", {}, b"", kind)))):

                    def concatenated(asked: ServerRequest, offset: int = offset) -> bytes:
                        surplus = complete_response(ServerRequest("other", {}, b"", asked.kind))
                        return surplus[:offset] + rejection(503, b"Not-Executed: 1")(asked)

                    results.append((offset, await exchange(rig, kind, Behaviour(concatenated, runs=False))))
                    await trio.sleep(1.0)
                return results

            for offset, result in play(main):
                got = outcome(kind, result.id, result.got)
                if result.breaches or b"other" in result.got.raw_head or got not in ("success", "own 502", "own 503"):
                    self.mismatches.append(f"{kind}, {offset}: {got} {result}")

    def test_no_byte_of_it_is_relayed(self) -> None:
        for kind in KINDS:
            for other in ("idempotent", "stream"):

                def concatenated(asked: ServerRequest, offset: int, other: str = other) -> bytes:
                    surplus = complete_response(ServerRequest("other", {}, b"", other))
                    return surplus[:offset] + complete_response(asked)

                async def main(
                    rig: Rig, kind: str = kind, other: str = other, concatenated: Any = concatenated
                ) -> list:
                    results = []
                    for offset in range(1, len(complete_response(ServerRequest("other", {}, b"", other)))):
                        behaviour = Behaviour(
                            lambda asked, offset=offset: concatenated(asked, offset), then=AfterCut.CLOSE
                        )
                        results.append((offset, await exchange(rig, kind, behaviour)))
                    return results

                for offset, result in play(main):
                    got = outcome(kind, result.id, result.got)
                    mixed = b"other" in result.got.raw_head + result.got.body
                    found = [breach for breach in result.breaches if not breach.startswith("next")]
                    if mixed or found or got not in ("success", "own 502"):
                        self.mismatches.append(f"{kind}, {offset} of a {other} answer: {got} {result}")


def table_rows(page: str, heading: str) -> tuple[tuple[str, ...], ...]:
    """The cells of the table below a heading of the page, without its first line."""
    return tuple(
        tuple(cell.strip() for cell in line.strip("|").split("|"))
        for line in page.split(heading)[1].split("\n## ")[0].splitlines()
        if line.startswith("| ") and not line.startswith(("| how it ended ", "| --- "))
    )


class Page(unittest.TestCase):
    """``docs/exchanges.md`` against the table in the code, and against the tests above."""

    text = (Path(__file__).parents[2] / "docs" / "exchanges.md").read_text()
    rows = table_rows(text, "## The table")

    def cell(self, decision: Decision) -> str:
        otherwise = decision.client_response.value
        return f"retry, else {otherwise}" if decision.retry else otherwise

    def test_each_row_matches_the_code(self) -> None:
        for row_title, name, *cells, may_have_run, connection, _ in self.rows:
            decisions = [decide(kind, ExchangeOutcome[name.strip("`")]) for kind in RequestIdempotency]
            self.assertEqual(cells, [self.cell(decision) for decision in decisions], row_title)
            self.assertEqual({"may": True, "no": False}[may_have_run], decisions[0].may_have_run, row_title)
            self.assertEqual({"kept": True, "closed": False}[connection], decisions[0].keep_connection, row_title)

    def test_each_outcome_has_a_row_and_each_row_its_own_title(self) -> None:
        self.assertEqual(
            {row[1].strip("`") for row in self.rows}, {exchange_outcome.name for exchange_outcome in ExchangeOutcome}
        )
        self.assertEqual(len({row[0] for row in self.rows}), len(self.rows))

    def test_each_row_names_existing_tests(self) -> None:
        modules = vars(test_exchange_attempts) | vars(test_exchange_early_answers) | globals()
        for row in (*self.rows, *table_rows(self.text, "## A request that is written in part")):
            for name in row[-1].split(", "):
                self.assertTrue(issubclass(modules[name], Case), row)


class Table(unittest.TestCase):
    """Invariants of the decision table."""

    def test_a_request_that_may_have_run_is_retried_only_if_repeatable(self) -> None:
        for exchange_outcome in ExchangeOutcome:
            for kind in RequestIdempotency:
                decision = decide(kind, exchange_outcome)
                if decision.may_have_run and not kind.repeatable:
                    self.assertFalse(decision.retry, (exchange_outcome, kind))

    def test_a_503_is_sent_only_for_a_request_that_has_not_run(self) -> None:
        for exchange_outcome in ExchangeOutcome:
            for kind in RequestIdempotency:
                for ran in (False, True):
                    decision = decide(kind, exchange_outcome)
                    progress = RequestProgress(may_have_run=ran or decision.may_have_run)
                    if progress.client_response(decision) is ClientResponse.UNAVAILABLE:
                        self.assertFalse(ran or decision.may_have_run, (exchange_outcome, kind))

    def test_a_response_that_has_started_gets_no_other_status(self) -> None:
        for exchange_outcome in ExchangeOutcome:
            for kind in RequestIdempotency:
                response = RequestProgress(response_started=True).client_response(decide(kind, exchange_outcome))
                self.assertIs(response, ClientResponse.CONNECTION_CLOSED)

    def test_run_and_connection_do_not_depend_on_the_kind(self) -> None:
        for exchange_outcome in ExchangeOutcome:
            decisions = [decide(kind, exchange_outcome) for kind in RequestIdempotency]
            self.assertEqual(len({(decision.may_have_run, decision.keep_connection) for decision in decisions}), 1)


if __name__ == "__main__":
    unittest.main()
