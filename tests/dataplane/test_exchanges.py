"""Each way in which an exchange with a server can end, at every byte boundary, for each kind of request."""

import unittest
from pathlib import Path
from typing import Any

import test_exchange_attempts
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
from tests.support.exchange_case import ENDS, KIND_OF, Case, Exchange, breaches, ending_at, exchange, expected, outcome
from tests.support.exchange_rig import (
    EVENTS,
    KINDS,
    REPEATABLE,
    STREAMS,
    Asked,
    Behaviour,
    Client,
    Rig,
    Then,
    body_of,
    head,
    plain,
    play,
    rejection,
    whole_answer,
)


def setUpModule():
    logger.disable("rowanshift")


def tearDownModule():
    logger.enable("rowanshift")


class AnswersBrokenOff(Case):
    """The answer stops after each number of bytes in turn."""

    def sweep(self, kind: str, then: Then) -> None:
        length = len(whole_answer(Asked("r1000", {}, b"", kind)))

        async def main(rig: Rig) -> list:
            rig.asked = 1000  # all ids are as long
            return [(k, await exchange(rig, kind, Behaviour(cut=k, then=then))) for k in range(length)]

        for k, made in play(main):
            answer = whole_answer(Asked(made.id, {}, b"", kind))
            ending, begun = ending_at(kind, answer, k, then)
            self.agrees(made, kind, ending, f"{then} after {k}", begun=begun)


def _sweeps() -> None:
    for kind in KINDS:
        for then in ENDS:

            def test(self: AnswersBrokenOff, kind: str = kind, then: Then = then) -> None:
                self.sweep(kind, then)

            setattr(AnswersBrokenOff, f"test_{then.name.lower()}_in_the_answer_to_{kind}", test)


_sweeps()


class RequestsReadInPart(Case):
    """A server reads each number of bytes of the request in turn, and ends."""

    def sweep(self, kind: str, then: Then, window: int) -> set[bool]:
        """Whether the last byte was handed to the system, of each exchange."""
        size = 0

        async def main(rig: Rig) -> list:
            nonlocal size
            size = await written_size(rig, kind)
            made = []
            for k in range(1, size):
                rig.drop_kept()
                rig.handed.clear()
                await trio.sleep(5.0)  # servers that could not be reached are used again
                made.append((k, await exchange(rig, kind, Behaviour(read=k, then=then)), rig.handed[0].wrote))
            return made

        seen = set()
        for k, made, wrote in play(main, window=window):
            handed = wrote >= size
            seen.add(handed)
            ending = ExchangeOutcome.NO_RESPONSE if handed else ExchangeOutcome.REQUEST_NOT_SENT
            if then is Then.SILENCE and handed:
                ending = ExchangeOutcome.SERVER_SILENT if kind in REPEATABLE else ExchangeOutcome.TIMED_OUT
            decision = decide(KIND_OF[kind], ending)
            wanted = expected(decision, False, decision.may_have_run)
            if then is Then.SILENCE and not handed:  # no time is left for another server
                wanted = "own 503"
            got = outcome(kind, made.id, made.got)
            if (got, made.breaches) != (wanted, []):
                self.wrong.append(f"{kind}, {ending.name}, {k} of {size} read, {wrote} handed: {made}, not {wanted}")
        return seen

    def test_all_of_it_was_handed_to_the_system(self) -> None:
        for kind in KINDS:
            for then in (Then.RESET, Then.CLOSE):
                self.assertEqual(self.sweep(kind, then, 1 << 16), {True})

    def test_a_narrow_window_keeps_a_part_of_it_back(self) -> None:
        for kind in KINDS:
            for then in (Then.RESET, Then.CLOSE):
                self.assertEqual(self.sweep(kind, then, 40), {True, False})

    def test_silence(self) -> None:
        for kind in ("idempotent", "non_idempotent"):
            self.assertEqual(self.sweep(kind, Then.SILENCE, 100), {True, False})


async def written_size(rig: Rig, kind: str) -> int:
    """The bytes of a request as a server gets it."""
    sizes = []
    real = rig.upstream.send_request

    async def send(connection, data: bytes, until: float) -> None:
        sizes.append(len(data))
        await real(connection, data, until)

    rig.asked = 1000
    rig.upstream.send_request = send
    await exchange(rig, kind)
    del rig.upstream.send_request
    return sizes[0]


class Statuses(Case):
    """Whole answers that are no success, in two pieces cut at each byte."""

    def answers(self, status: int, *more: bytes, runs: bool, step: int = 1) -> None:
        for kind in KINDS:

            async def main(rig: Rig, kind: str = kind) -> list:
                rig.asked = 1000
                size = len(rejection(status, *more)(Asked("r1000", {}, b"", kind)))
                made = []
                for k in range(0, size, step):
                    made.append((k, await exchange(rig, kind, Behaviour(rejection(status, *more), cut=k, runs=runs))))
                    await trio.sleep(1.0)  # servers that were full are used again
                return made

            ending = RequestProgress(servers_left=2).outcome_of_status(status, bool(more))
            for k, made in play(main):
                self.agrees(made, kind, ending, f"{status} {more} cut at {k}", status)

    def test_not_executed(self) -> None:
        for status in (503, 429, 408, 400):
            self.answers(status, b"Not-Executed: 1", runs=False, step=1 if status == 503 else 7)

    def test_misdirected(self) -> None:
        self.answers(421, runs=False, step=3)

    def test_a_promise_without_proof(self) -> None:
        for status in (503, 429, 408):
            self.answers(status, runs=True, step=1 if status == 503 else 7)

    def test_errors(self) -> None:
        for status in (500, 502, 504):
            self.answers(status, runs=True, step=1 if status == 500 else 7)

    def test_refusals_of_the_server(self) -> None:
        for status in (302, 400, 404):
            self.answers(status, runs=True, step=1 if status == 400 else 7)


class StatusesBrokenOff(Case):
    """Answers that are no success stop after each byte: nothing they say is believed."""

    def sweep(self, then: Then, status: int, *more: bytes) -> None:
        for kind in ("idempotent", "non_idempotent"):

            async def main(rig: Rig, kind: str = kind) -> list:
                rig.asked = 1000
                size = len(rejection(status, *more)(Asked("r1000", {}, b"", kind)))
                return [
                    (k, await exchange(rig, kind, Behaviour(rejection(status, *more), cut=k, then=then)))
                    for k in range(size)
                ]

            ending = ExchangeOutcome.NO_RESPONSE
            if then is Then.SILENCE:
                ending = ExchangeOutcome.SERVER_SILENT if kind in REPEATABLE else ExchangeOutcome.TIMED_OUT
            for k, made in play(main):
                self.agrees(made, kind, ending, f"{status} {more}, {then} after {k}")

    def test_not_executed(self) -> None:
        for then in ENDS:
            self.sweep(then, 503, b"Not-Executed: 1")

    def test_misdirected(self) -> None:
        for then in ENDS:
            self.sweep(then, 421)

    def test_errors(self) -> None:
        for then in ENDS:
            self.sweep(then, 500)


class NoAnswers(Case):
    """What comes is no answer to the request."""

    def test_another_id_or_none(self) -> None:
        for kind in KINDS:
            for id in ("other", ""):

                async def main(rig: Rig, kind: str = kind, id: str = id) -> list:
                    rig.asked = 1000
                    behaviours = [Behaviour(lambda asked: whole_answer(asked, id), cut=k) for k in range(60)]
                    return [await exchange(rig, kind, behaviour) for behaviour in behaviours]

                for k, made in enumerate(play(main)):
                    self.agrees(made, kind, ExchangeOutcome.MISMATCHED_REQUEST_ID, f"id {id!r} cut at {k}")

    def test_garbage(self) -> None:
        for kind in KINDS:
            for junk in (
                b"\x00\xff\r\n\r\n",
                b"RTSP/1.0 200 OK\r\n\r\n",
                b"HTTP/3.9 200 OK\r\n\r\n",
                b"GET / HTTP/1.1\r\n",
            ):

                async def main(rig: Rig, kind: str = kind, junk: bytes = junk) -> list:
                    rig.asked = 1000
                    behaviours = [Behaviour(lambda asked: junk, cut=k) for k in range(len(junk))]
                    return [await exchange(rig, kind, behaviour) for behaviour in behaviours]

                for k, made in enumerate(play(main)):
                    self.agrees(made, kind, ExchangeOutcome.MALFORMED_RESPONSE, f"{junk!r} cut at {k}")

    def test_garbage_within_the_head(self) -> None:
        """After each byte of the head: no success comes of it, and no promise."""
        for kind in KINDS:

            async def main(rig: Rig, kind: str = kind) -> list:
                rig.asked = 1000
                size = whole_answer(Asked("r1000", {}, b"", kind)).index(b"\r\n\r\n")
                made = []
                for k in range(size):

                    def spoilt(asked: Asked, k: int = k) -> bytes:
                        return whole_answer(asked)[:k] + b"\x00\x01 \r\r\n\r\n"

                    made.append((k, await exchange(rig, kind, Behaviour(spoilt, then=Then.CLOSE))))
                return made

            for k, made in play(main):
                got = outcome(kind, made.id, made.got)
                if made.breaches or got != ("success" if kind in REPEATABLE else "own 502"):
                    self.wrong.append(f"{kind}, garbage after {k}: {got} {made}")


class Surplus(Case):
    """More bytes than the answer, at every boundary."""

    def surplus_of(self, which: str, asked: Asked) -> bytes:
        return {
            "another's answer": plain(asked, id="other"),
            "the same answer": plain(asked),
            "an answer without an id": plain(asked, id=""),
            "garbage": b"\x00\x01\x02" * 9,
            "a line's end": b"\r\n",
        }[which]

    WHICH = ("another's answer", "the same answer", "an answer without an id", "garbage", "a line's end")

    def test_with_the_answer(self) -> None:
        for kind in KINDS:
            for which in self.WHICH[:-1]:  # a line's end is skipped, and nothing is left of it

                async def main(rig: Rig, kind: str = kind, which: str = which) -> list:
                    rig.asked, made = 1000, []
                    size = len(self.surplus_of(which, Asked("r1000", {}, b"", kind)))
                    for k in range(1, size + 1):
                        surplus = self.surplus_of(which, Asked(f"r{rig.asked + 1}", {}, b"", kind))[:k]
                        made.append(await exchange(rig, kind, Behaviour(surplus=surplus)))
                    return made

                for k, made in enumerate(play(main)):
                    self.agrees(made, kind, ExchangeOutcome.SUCCESS_WITH_SURPLUS_BYTES, f"{k + 1} bytes of {which}")

    def test_later(self) -> None:
        """From right behind the answer to the place where the next is due, on the only server's connection."""
        for which in self.WHICH:

            async def main(rig: Rig, which: str = which) -> list:
                made = []
                for step in range(1, 50):
                    id, after, client = rig.next_id(), rig.next_id(), Client(rig)
                    surplus = self.surplus_of(which, Asked(id, {}, b"", ""))
                    rig.behaviours[:] = [
                        Behaviour(surplus=surplus, surplus_after=step * 0.0001),
                        Behaviour(wait=0.004),
                    ]
                    first = await client.ask("non_idempotent", id)
                    second = await client.ask("non_idempotent", after)
                    for asked, got in ((id, first), (after, second)):
                        made += [(which, step, found) for found in breaches(rig, "non_idempotent", asked, got)]
                    if outcome("", id, first) != "success" or not second.whole:
                        made.append((which, step, first, second))
                    client.close()
                    await trio.sleep(0.1)
                return made

            self.assertEqual(play(main, servers=1), [])


class Successes(Case):
    """Whole successes in two pieces cut at each byte: passed on, and the connection is kept."""

    def test_cut_at_each_byte(self) -> None:
        for kind in KINDS:

            async def main(rig: Rig, kind: str = kind) -> list:
                rig.asked = 1000
                size = len(whole_answer(Asked("r1000", {}, b"", kind)))
                return [await exchange(rig, kind, Behaviour(cut=k, pause=0.001)) for k in range(size)]

            for k, made in enumerate(play(main)):
                self.agrees(made, kind, ExchangeOutcome.SUCCESS, f"cut at {k}")


class EndedByTheConnection(Case):
    """A success that tells no length ends with its connection: by its close, not by its reset."""

    def test_closed_or_reset_after_each_byte_of_its_body(self) -> None:
        def answer(asked: Asked) -> bytes:
            return head(asked) + body_of(asked.id)

        for kind in ("idempotent", "non_idempotent"):
            size = len(answer(Asked("r1001", {}, b"", kind)))
            top = answer(Asked("r1001", {}, b"", kind)).index(b"\r\n\r\n") + 4

            async def main(rig: Rig, kind: str = kind, top: int = top, size: int = size) -> list:
                rig.asked = 1000
                closed = await exchange(
                    rig, kind, Behaviour(lambda asked: answer(asked) + b" ", cut=size, then=Then.CLOSE)
                )
                cut = [Behaviour(answer, cut=k, then=Then.RESET) for k in range(top + 1, size)]
                return [closed, *[await exchange(rig, kind, each) for each in cut]]

            closed, *reset = play(main)
            self.assertEqual((outcome(kind, closed.id, closed.got), closed.breaches), ("success", []))
            for k, made in enumerate(reset):
                self.agrees(
                    made, kind, ExchangeOutcome.BROKEN_AFTER_BYTES, f"reset after {k + 1} of its body", begun=True
                )


class GarbageWithinAStream(Case):
    """Bytes that are no chunk in the place of each chunk."""

    def test_in_the_place_of_each_chunk(self) -> None:
        for kind in STREAMS:
            for junk in (b"\x00\x01\x02\r\n", b"HTTP/1.1 200 OK\r\n\r\n", b"-1\r\n"):
                for events in range(EVENTS + 1):

                    def spoilt(asked: Asked, events: int = events, junk: bytes = junk) -> bytes:
                        answer = whole_answer(asked)
                        at = answer.index(b"\r\n\r\n") + 4
                        for _ in range(events):
                            at = answer.index(b"\n\n\r\n", at) + 4
                        return answer[:at] + junk

                    async def main(rig: Rig, kind: str = kind, spoilt: object = spoilt) -> Exchange:
                        return await exchange(rig, kind, Behaviour(spoilt))

                    ending = ExchangeOutcome.BROKEN_AFTER_EVENT if events else ExchangeOutcome.BROKEN_BEFORE_RELAY
                    made = play(main)
                    self.agrees(made, kind, ending, f"{junk!r} after {events} events", begun=events > 0)


class SurplusBefore(Case):
    """An answer that belongs to no request comes before the right one."""

    def test_before_the_right_answer(self) -> None:
        def doubled(id: str) -> object:
            return lambda asked: plain(asked, id=id) + whole_answer(asked)

        for kind in KINDS:
            for id in ("other", ""):

                async def main(rig: Rig, kind: str = kind, id: str = id) -> list:
                    rig.asked = 1000
                    size = len(doubled(id)(Asked("r1001", {}, b"", kind)))
                    return [await exchange(rig, kind, Behaviour(doubled(id), cut=k)) for k in range(0, size, 3)]

                for n, made in enumerate(play(main)):
                    self.agrees(made, kind, ExchangeOutcome.MISMATCHED_REQUEST_ID, f"id {id!r} cut at {3 * n}")


class PartsBefore(Case):
    """A part of a surplus answer, of each length, stands before the right answer."""

    def test_it_does_not_change_the_status_of_a_rejection(self) -> None:
        """The status line of the surplus answer is taken for none: it would make a success of a rejection."""
        for kind in KINDS:

            async def main(rig: Rig, kind: str = kind) -> list:
                made = []
                for k in range(1, len(whole_answer(Asked("other", {}, b"", kind)))):

                    def glued(asked: Asked, k: int = k) -> bytes:
                        surplus = whole_answer(Asked("other", {}, b"", asked.kind))
                        return surplus[:k] + rejection(503, b"Not-Executed: 1")(asked)

                    made.append((k, await exchange(rig, kind, Behaviour(glued, runs=False))))
                    await trio.sleep(1.0)
                return made

            for k, made in play(main):
                got = outcome(kind, made.id, made.got)
                if made.breaches or b"other" in made.got.top or got not in ("success", "own 502", "own 503"):
                    self.wrong.append(f"{kind}, {k}: {got} {made}")

    def test_no_byte_of_it_gets_into_the_answer(self) -> None:
        for kind in KINDS:
            for other in ("idempotent", "stream"):

                def glued(asked: Asked, k: int, other: str = other) -> bytes:
                    surplus = whole_answer(Asked("other", {}, b"", other))
                    return surplus[:k] + whole_answer(asked)

                async def main(rig: Rig, kind: str = kind, other: str = other, glued: Any = glued) -> list:
                    made = []
                    for k in range(1, len(whole_answer(Asked("other", {}, b"", other)))):
                        behaviour = Behaviour(lambda asked, k=k: glued(asked, k), then=Then.CLOSE)
                        made.append((k, await exchange(rig, kind, behaviour)))
                    return made

                for k, made in play(main):
                    got = outcome(kind, made.id, made.got)
                    mixed = b"other" in made.got.top + made.got.body
                    found = [breach for breach in made.breaches if not breach.startswith("next")]
                    if mixed or found or got not in ("success", "own 502"):
                        self.wrong.append(f"{kind}, {k} of a {other} answer: {got} {made}")


class Page(unittest.TestCase):
    """``docs/exchanges.md`` against the table in the code, and against the tests above."""

    text = (Path(__file__).parents[2] / "docs" / "exchanges.md").read_text()
    rows = tuple(
        tuple(cell.strip() for cell in line.strip("|").split("|"))
        for line in text.split("## The table")[1].split("\n## ")[0].splitlines()
        if line.startswith("| ") and not line.startswith(("| how it ended ", "| --- "))
    )

    def cell(self, decision: Decision) -> str:
        otherwise = decision.client_response.value
        return f"retry, else {otherwise}" if decision.retry else otherwise

    def test_each_row_is_what_the_code_decides(self) -> None:
        for way, name, *cells, ran, kept, _ in self.rows:
            decisions = [decide(kind, ExchangeOutcome[name.strip("`")]) for kind in RequestIdempotency]
            self.assertEqual(cells, [self.cell(decision) for decision in decisions], way)
            self.assertEqual({"may": True, "no": False}[ran], decisions[0].may_have_run, way)
            self.assertEqual({"kept": True, "closed": False}[kept], decisions[0].keep_connection, way)

    def test_each_ending_has_a_row_and_each_row_its_own_way(self) -> None:
        self.assertEqual({row[1].strip("`") for row in self.rows}, {ending.name for ending in ExchangeOutcome})
        self.assertEqual(len({row[0] for row in self.rows}), len(self.rows))

    def test_each_row_names_tests_that_are_there(self) -> None:
        for row in self.rows:
            for name in row[-1].split(", "):
                self.assertTrue(issubclass(vars(test_exchange_attempts).get(name) or globals()[name], Case), row)


class Table(unittest.TestCase):
    """What must hold of the table whatever else it says."""

    def test_what_may_have_run_is_retried_only_if_it_is_repeatable(self) -> None:
        for ending in ExchangeOutcome:
            for kind in RequestIdempotency:
                decision = decide(kind, ending)
                if decision.may_have_run and not kind.repeatable:
                    self.assertFalse(decision.retry, (ending, kind))

    def test_a_503_is_given_only_for_what_has_not_run(self) -> None:
        for ending in ExchangeOutcome:
            for kind in RequestIdempotency:
                for ran in (False, True):
                    decision = decide(kind, ending)
                    progress = RequestProgress(may_have_run=ran or decision.may_have_run)
                    if progress.client_response(decision) is ClientResponse.UNAVAILABLE:
                        self.assertFalse(ran or decision.may_have_run, (ending, kind))

    def test_an_answer_that_has_begun_ends_in_no_status(self) -> None:
        for ending in ExchangeOutcome:
            for kind in RequestIdempotency:
                response = RequestProgress(response_started=True).client_response(decide(kind, ending))
                self.assertIs(response, ClientResponse.CONNECTION_CLOSED)

    def test_run_and_connection_do_not_depend_on_the_kind(self) -> None:
        for ending in ExchangeOutcome:
            decisions = [decide(kind, ending) for kind in RequestIdempotency]
            self.assertEqual(len({(decision.may_have_run, decision.keep_connection) for decision in decisions}), 1)


if __name__ == "__main__":
    unittest.main()
