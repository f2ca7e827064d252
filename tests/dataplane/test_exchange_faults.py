"""Faults planted in the data plane, each found by a test of exchanges that passes without it."""

import unittest
from collections.abc import Callable
from contextlib import ExitStack
from typing import Any
from unittest import mock

import test_exchange_attempts
import test_exchange_clients
import test_exchanges
import trio
from loguru import logger

from rowanshift.dataplane import forwarder, response_stream
from rowanshift.dataplane.response_writer import ResponseWriter
from rowanshift.dataplane.retry_decision import ClientResponse, Decision, ExchangeOutcome, RequestProgress
from rowanshift.dataplane.server_attempt import ServerAttempts
from rowanshift.dataplane.silence_monitor import SilenceMonitor
from rowanshift.dataplane.upstream import ExchangeFailed, ExchangeFailure, ServerConnection, UpstreamPool
from rowanshift.transport.http_connection import Connection


def setUpModule():
    logger.disable("rowanshift")


def tearDownModule():
    logger.enable("rowanshift")


class AnyId(bytes):
    """Equal to every other id."""

    def __eq__(self, other: object) -> bool:
        return True

    def __ne__(self, other: object) -> bool:
        return False

    __hash__ = bytes.__hash__


class Planted(unittest.TestCase):
    def found(self, case: type[unittest.TestCase], test: str, *patches: Any) -> None:
        with ExitStack() as stack:
            for patch in patches:
                stack.enter_context(patch)
            result = unittest.TestResult()
            case(test).run(result)
        self.assertEqual(result.errors, [])
        self.assertNotEqual(result.failures, [], "nothing was found")

    def test_a_connection_with_surplus_bytes_is_used_again(self) -> None:
        patch = mock.patch.object(Connection, "clean", lambda connection: True)
        self.found(test_exchanges.Surplus, "test_with_the_answer", patch)

    def test_the_id_of_an_answer_is_not_compared(self) -> None:
        true = UpstreamPool.read_head

        async def head(upstream: UpstreamPool, connection: ServerConnection, id: bytes, *more: Any) -> Any:
            return await true(upstream, connection, AnyId(id), *more)

        patch = mock.patch.object(UpstreamPool, "read_head", head)
        self.found(test_exchanges.NoAnswers, "test_another_id_or_none", patch)
        self.found(test_exchanges.SurplusBefore, "test_before_the_right_answer", patch)
        self.found(test_exchanges.Surplus, "test_later", patch)

    def test_a_reset_after_the_whole_write_counts_as_unsent(self) -> None:
        true = UpstreamPool.send_request

        async def send(upstream: UpstreamPool, connection: ServerConnection, data: bytes, until: float) -> None:
            await true(upstream, connection, data, until)
            await trio.sleep(0.02)
            if connection.http.stream.failed:
                raise ExchangeFailed(ExchangeFailure.NOT_SENT, "reset")

        patch = mock.patch.object(UpstreamPool, "send_request", send)
        self.found(test_exchanges.AnswersBrokenOff, "test_reset_in_the_answer_to_non_idempotent", patch)
        self.found(test_exchanges.RequestsReadInPart, "test_all_of_it_was_handed_to_the_system", patch)

    def test_the_last_byte_is_taken_for_not_handed_over(self) -> None:
        """A send that ends in an error is unsent, though its last write had gone writer."""
        true = Connection.pump

        def pump(connection: Connection) -> bool:
            whole = true(connection)
            if whole and not connection.reads_requests and connection.stream.room == 0:
                raise OSError("planted")
            return whole

        patch = mock.patch.object(Connection, "pump", pump)
        self.found(test_exchanges.RequestsReadInPart, "test_a_narrow_window_keeps_a_part_of_it_back", patch)

    def test_a_promise_is_passed_on_without_not_executed(self) -> None:
        true = RequestProgress.outcome_of_status

        def ending(progress: RequestProgress, status: int, not_executed: bool) -> ExchangeOutcome:
            made = true(progress, status, not_executed)
            return ExchangeOutcome.OTHER_STATUS if made is ExchangeOutcome.UNCONFIRMED_REJECTION else made

        patch = mock.patch.object(RequestProgress, "outcome_of_status", ending)
        self.found(test_exchanges.Statuses, "test_a_promise_without_proof", patch)

    def test_a_promise_is_made_after_a_run_elsewhere(self) -> None:
        def client_response(progress: RequestProgress, decision: Decision) -> ClientResponse:
            return ClientResponse.CONNECTION_CLOSED if progress.response_started else decision.client_response

        patch = mock.patch.object(RequestProgress, "client_response", client_response)
        self.found(test_exchange_attempts.SeveralAttempts, "test_one_may_have_run_it_and_the_rest_reject_it", patch)

    def test_a_stream_that_broke_off_ends_as_whole(self) -> None:
        true = UpstreamPool.read_body

        async def body(upstream: UpstreamPool, *given: Any) -> bytes:
            try:
                return await true(upstream, *given)
            except ExchangeFailed as error:
                if error.failure is ExchangeFailure.BROKEN:
                    return b""
                raise

        patch = mock.patch.object(UpstreamPool, "read_body", body)
        self.found(test_exchanges.AnswersBrokenOff, "test_close_in_the_answer_to_stream", patch)

    def test_a_reset_on_a_reused_connection_counts_as_unsent(self) -> None:
        true = ServerAttempts._outcome_of_failure

        def outcome_of_failure(
            self: ServerAttempts, forwarded: Any, endpoint: Any, connection: ServerConnection, error: ExchangeFailed
        ) -> ExchangeOutcome:
            if connection is not None and connection.idle_since and error.failure is ExchangeFailure.BROKEN:
                return ExchangeOutcome.REQUEST_NOT_SENT
            return true(self, forwarded, endpoint, connection, error)

        patch = mock.patch.object(ServerAttempts, "_outcome_of_failure", outcome_of_failure)
        name = "test_another_is_not_sent_again_and_no_promise_is_made"
        self.found(test_exchange_attempts.Forgotten, name, patch)
        self.found(test_exchanges.AnswersBrokenOff, "test_reset_in_the_answer_to_stream", patch)

    def test_a_silent_server_is_left_whether_another_is_there_or_not(self) -> None:
        async def left(*given: Any) -> bool:
            return True

        patch = mock.patch.multiple(SilenceMonitor, may_move=lambda *given: True, reserve_connection=left)
        for name in ("test_no_other_server_is_there", "test_the_budget_grants_no_attempt"):
            self.found(test_exchange_attempts.Silence, name, patch)

    def test_a_silent_server_is_left_before_a_connection_to_another_is_up(self) -> None:
        async def left(*given: Any) -> bool:
            return True

        patch = mock.patch.object(SilenceMonitor, "reserve_connection", left)
        self.found(test_exchange_attempts.Silence, "test_the_other_server_cannot_be_reached", patch)

    def test_a_part_of_an_event_is_passed_on(self) -> None:
        patch = mock.patch.object(response_stream, "end_of_events", len)
        self.found(test_exchanges.AnswersBrokenOff, "test_reset_in_the_answer_to_resumable", patch)

    def test_what_may_have_run_is_retried(self) -> None:
        def always_retry(kind: Any, ending: ExchangeOutcome, true: Callable = forwarder.decide) -> Decision:
            decision = true(kind, ending)
            if ending is not ExchangeOutcome.NO_RESPONSE:
                return decision
            return Decision(True, decision.client_response, True, False)

        patch = mock.patch.object(forwarder, "decide", always_retry)
        self.found(test_exchanges.AnswersBrokenOff, "test_close_in_the_answer_to_non_idempotent", patch)

    def test_an_old_client_gets_a_regular_end_of_a_stream_that_broke_off(self) -> None:
        true = ResponseWriter.head

        def head(writer: ResponseWriter, *given: Any) -> bytes:
            made = true(writer, *given)
            writer.connection.reset_on_close = False
            return made

        patch = mock.patch.object(ResponseWriter, "head", head)
        self.found(test_exchange_clients.Framing, "test_a_stream_to_an_old_client_that_breaks_off", patch)


if __name__ == "__main__":
    unittest.main()
