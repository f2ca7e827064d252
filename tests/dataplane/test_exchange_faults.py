"""Deliberate faults in the data plane: each must make one of the exchange tests fail."""

import unittest
from collections.abc import Callable
from contextlib import ExitStack
from typing import Any
from unittest import mock

import test_exchange_attempts
import test_exchange_clients
import test_exchange_early_answers
import test_exchanges
import trio
from loguru import logger

from rowanshift.dataplane import forwarder, response_stream
from rowanshift.dataplane.response_writer import ResponseWriter
from rowanshift.dataplane.retry_decision import ClientResponse, Decision, ExchangeOutcome, RequestProgress
from rowanshift.dataplane.server_attempt import ServerAttempts
from rowanshift.dataplane.server_exchange import ExchangeFailed, ExchangeFailure, ServerConnection, ServerExchange
from rowanshift.dataplane.silence_monitor import SilenceMonitor
from rowanshift.dataplane.upstream import UpstreamPool
from rowanshift.transport.buffer import RingBuffer
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


class InjectedFaults(unittest.TestCase):
    def assert_found(self, case: type[unittest.TestCase], test: str, *patches: Any) -> None:
        with ExitStack() as stack:
            for patch in patches:
                stack.enter_context(patch)
            result = unittest.TestResult()
            case(test).run(result)
        self.assertEqual(result.errors, [])
        self.assertNotEqual(result.failures, [], "the test did not find the fault")

    def test_a_connection_with_surplus_bytes_is_used_again(self) -> None:
        patch = mock.patch.object(Connection, "clean", lambda connection: True)
        self.assert_found(test_exchanges.Surplus, "test_directly_after_the_response", patch)

    def test_the_id_of_an_answer_is_not_compared(self) -> None:
        original = ServerExchange.read_head

        async def head(exchange: ServerExchange) -> Any:
            exchange.request_id = AnyId(exchange.request_id)
            return await original(exchange)

        patch = mock.patch.object(ServerExchange, "read_head", head)
        self.assert_found(test_exchanges.NoAnswers, "test_another_id_or_none", patch)
        self.assert_found(test_exchanges.SurplusBefore, "test_before_the_correct_response", patch)
        self.assert_found(test_exchanges.Surplus, "test_after_a_delay", patch)

    def test_a_reset_after_the_whole_write_counts_as_unsent(self) -> None:
        patch = mock.patch.object(ServerExchange, "may_have_begun", False)
        self.assert_found(test_exchanges.AnswersBrokenOff, "test_reset_within_the_response_to_non_idempotent", patch)
        self.assert_found(test_exchanges.RequestsReadInPart, "test_the_request_was_written_completely", patch)

    def test_a_request_counts_as_unsent_until_its_last_byte_is_written(self) -> None:
        """A server may begin to work on a request from the last byte of its head on."""
        original = ServerExchange.send

        def send(exchange: ServerExchange, data: bytes, head_bytes: int) -> None:
            original(exchange, data, len(data))

        patch = mock.patch.object(ServerExchange, "send", send)
        self.assert_found(test_exchanges.RequestsReadInPart, "test_a_small_window_leaves_a_part_unwritten", patch)
        self.assert_found(test_exchange_early_answers.EndsWithoutAnAnswer, "test_closed_or_reset", patch)
        self.assert_found(test_exchange_early_answers.EndsWithoutAnAnswer, "test_the_deadline_passes", patch)
        self.assert_found(test_exchange_early_answers.EndsByTheRouterSide, "test_the_router_leaves", patch)

    def test_the_last_byte_of_the_head_counts_as_unwritten(self) -> None:
        original = ServerExchange.send

        def send(exchange: ServerExchange, data: bytes, head_bytes: int) -> None:
            original(exchange, data, head_bytes + 1)

        patch = mock.patch.object(ServerExchange, "send", send)
        self.assert_found(test_exchanges.RequestsReadInPart, "test_a_small_window_leaves_a_part_unwritten", patch)

    def test_a_response_is_read_only_after_the_request_was_written(self) -> None:
        original = ServerExchange.read_head

        async def head(exchange: ServerExchange) -> Any:
            while exchange.unwritten_bytes and trio.current_time() < exchange.deadline:
                await trio.sleep(0.01)
                exchange._write_on()
            return await original(exchange)

        patch = mock.patch.object(ServerExchange, "read_head", head)
        self.assert_found(
            test_exchange_early_answers.EarlyAnswers, "test_a_success_reaches_the_client_at_once_and_runs_once", patch
        )

    def test_a_connection_is_used_again_while_the_rest_of_a_body_is_due(self) -> None:
        original = UpstreamPool.release

        def release(upstream: UpstreamPool, connection: ServerConnection, *more: Any) -> None:
            connection.request_unfinished = False
            connection.http.unsent = memoryview(b"")
            connection.http.outbound = RingBuffer()
            original(upstream, connection, *more)

        patch = mock.patch.object(UpstreamPool, "release", release)
        self.assert_found(
            test_exchange_early_answers.EarlyAnswers, "test_a_success_reaches_the_client_at_once_and_runs_once", patch
        )

    def test_a_reset_of_a_kept_connection_counts_as_its_end(self) -> None:
        original = ServerExchange._failed

        def failed(exchange: ServerExchange, *more: Any) -> ExchangeFailed:
            exchange.closed_by_server = True
            return original(exchange, *more)

        patch = mock.patch.object(ServerExchange, "_failed", failed)
        self.assert_found(test_exchange_early_answers.EndedWhileIdle, "test_a_reset_alone_proves_nothing", patch)

    def test_the_end_of_a_kept_connection_proves_nothing(self) -> None:
        patch = mock.patch.object(ServerExchange, "_ended_before_arrival", lambda exchange: False)
        self.assert_found(test_exchange_early_answers.EndedWhileIdle, "test_a_closed_connection_makes_no_502", patch)

    def test_a_rejection_is_relayed_without_not_executed(self) -> None:
        original = RequestProgress.outcome_of_status

        def outcome_of_status(progress: RequestProgress, status: int, not_executed: bool) -> ExchangeOutcome:
            original_outcome = original(progress, status, not_executed)
            return (
                ExchangeOutcome.OTHER_STATUS
                if original_outcome is ExchangeOutcome.UNCONFIRMED_REJECTION
                else original_outcome
            )

        patch = mock.patch.object(RequestProgress, "outcome_of_status", outcome_of_status)
        self.assert_found(test_exchanges.Statuses, "test_an_unconfirmed_rejection", patch)

    def test_a_503_is_sent_after_another_server_may_have_run_it(self) -> None:
        def client_response(progress: RequestProgress, decision: Decision) -> ClientResponse:
            return ClientResponse.CONNECTION_CLOSED if progress.response_started else decision.client_response

        patch = mock.patch.object(RequestProgress, "client_response", client_response)
        self.assert_found(
            test_exchange_attempts.SeveralAttempts, "test_one_server_may_have_run_it_and_the_others_reject_it", patch
        )

    def test_a_truncated_stream_ends_as_complete(self) -> None:
        original = ServerExchange.read_body

        async def body(exchange: ServerExchange, *arguments: Any) -> bytes:
            try:
                return await original(exchange, *arguments)
            except ExchangeFailed as error:
                if error.failure is ExchangeFailure.BROKEN:
                    return b""
                raise

        patch = mock.patch.object(ServerExchange, "read_body", body)
        self.assert_found(test_exchanges.AnswersBrokenOff, "test_close_within_the_response_to_stream", patch)

    def test_a_reset_on_a_reused_connection_counts_as_unsent(self) -> None:
        original = ServerAttempts._outcome_of_failure

        def outcome_of_failure(
            self: ServerAttempts, forwarded: Any, endpoint: Any, connection: ServerConnection, error: ExchangeFailed
        ) -> ExchangeOutcome:
            if connection is not None and connection.idle_since and error.failure is ExchangeFailure.BROKEN:
                return ExchangeOutcome.REQUEST_NOT_SENT
            return original(self, forwarded, endpoint, connection, error)

        patch = mock.patch.object(ServerAttempts, "_outcome_of_failure", outcome_of_failure)
        name = "test_another_request_is_not_sent_again_and_gets_a_502"
        self.assert_found(test_exchange_attempts.Forgotten, name, patch)
        self.assert_found(test_exchanges.AnswersBrokenOff, "test_reset_within_the_response_to_stream", patch)

    def test_a_silent_server_is_abandoned_without_another_server(self) -> None:
        async def abandon_at_once(*arguments: Any) -> bool:
            return True

        patch = mock.patch.multiple(
            SilenceMonitor, may_move=lambda *arguments: True, reserve_connection=abandon_at_once
        )
        for name in ("test_no_other_server_is_available", "test_the_budget_grants_no_attempt"):
            self.assert_found(test_exchange_attempts.Silence, name, patch)

    def test_a_silent_server_is_abandoned_before_a_connection_to_another_is_up(self) -> None:
        async def abandon_at_once(*arguments: Any) -> bool:
            return True

        patch = mock.patch.object(SilenceMonitor, "reserve_connection", abandon_at_once)
        self.assert_found(test_exchange_attempts.Silence, "test_the_other_server_cannot_be_reached", patch)

    def test_a_part_of_an_event_is_relayed(self) -> None:
        patch = mock.patch.object(response_stream, "end_of_events", len)
        self.assert_found(test_exchanges.AnswersBrokenOff, "test_reset_within_the_response_to_resumable", patch)

    def test_a_request_that_may_have_run_is_retried(self) -> None:
        def always_retry(kind: Any, outcome: ExchangeOutcome, original: Callable = forwarder.decide) -> Decision:
            decision = original(kind, outcome)
            if outcome is not ExchangeOutcome.NO_RESPONSE:
                return decision
            return Decision(True, decision.client_response, True, False)

        patch = mock.patch.object(forwarder, "decide", always_retry)
        self.assert_found(test_exchanges.AnswersBrokenOff, "test_close_within_the_response_to_non_idempotent", patch)

    def test_an_http_1_0_client_gets_a_regular_end_of_a_truncated_stream(self) -> None:
        original = ResponseWriter.head

        def head(writer: ResponseWriter, *arguments: Any) -> bytes:
            head_bytes = original(writer, *arguments)
            writer.connection.reset_on_close = False
            return head_bytes

        patch = mock.patch.object(ResponseWriter, "head", head)
        self.assert_found(test_exchange_clients.Framing, "test_a_truncated_stream_to_an_http_1_0_client", patch)


if __name__ == "__main__":
    unittest.main()
