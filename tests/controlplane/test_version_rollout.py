"""One load of the rollout: what is waited for, when the order goes out, and when a load has failed."""

import unittest
from types import SimpleNamespace

import trio
import trio.testing
from loguru import logger

from rowanshift.controlplane.model_server_client import LoadOrder, ServerReport
from rowanshift.controlplane.registered_server import RegisteredServer
from rowanshift.controlplane.server_registry import ServerRegistry
from rowanshift.controlplane.version_rollout import (
    DRAIN_SECONDS,
    LEASE_MARGIN_SECONDS,
    LOAD_TIMEOUT_SECONDS,
    MAX_AWAITED_STREAMS,
    VersionRollout,
)
from rowanshift.transport.call_client import CallFailed
from rowanshift.transport.runtime import SYSTEM_RUNTIME

OLD = {"models": [{"name": "m", "revision": 1}], "active": 0}
NEW = {"models": [{"name": "m", "revision": 2}], "active": 0}
LOADING = OLD | {"busy": True}


class FakeRunner:
    """The primary of epoch 7 with a lease of so many seconds."""

    lease = 1.0

    def __init__(self) -> None:
        self.replica = SimpleNamespace(singleton_tasks_from=0.0, record=SimpleNamespace(epoch=7))

    def lease_remaining(self) -> float:
        return self.lease


class FakeServer:
    """Answers orders with a status, or fails, and reports one after the other; the last report stays."""

    def __init__(self, status: int | Exception, *reports: dict | None) -> None:
        self.status = status
        self.reports = [*reports]
        self.orders: list[tuple[float, LoadOrder]] = []

    async def report(self, server: RegisteredServer) -> ServerReport | None:
        report = self.reports.pop(0) if len(self.reports) > 1 else self.reports[0]
        return None if report is None else ServerReport(report)

    async def order(self, server: RegisteredServer, order: LoadOrder, timeout: float) -> int:
        self.orders.append((trio.current_time(), order))
        if isinstance(self.status, Exception):
            raise self.status
        return self.status


class Loads(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("rowanshift")
        self.addCleanup(logger.enable, "rowanshift")
        self.runner = FakeRunner()
        self.registry = ServerRegistry()
        self.registry.apply_list([RegisteredServer("a", "s", "10.0.0.1:80", "z", 1, False, {"m": 1})])
        self.versions = {"m": 2}

    def rollout_with(self, client: FakeServer) -> VersionRollout:
        return VersionRollout(
            SYSTEM_RUNTIME,
            self.runner,
            client,
            "core-1",
            lambda: self.registry,
            lambda: self.versions,
            lambda: None,
        )

    def load(self, client: FakeServer, seconds: float = 2.0) -> RegisteredServer:
        """The server after so many seconds of the rollout; the first load's start is time 0."""

        async def main() -> None:
            rollout = self.rollout_with(client)
            self.rollout = rollout
            with trio.move_on_after(seconds):
                async with trio.open_nursery() as nursery:
                    self.started_at = trio.current_time()
                    nursery.start_soon(rollout.run, nursery)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return self.registry.servers["a"]

    def test_a_server_that_has_loaded_has_the_version(self) -> None:
        server = self.load(FakeServer(200, OLD))
        self.assertEqual((server.versions, server.loading), ({"m": 2}, False))

    def test_an_order_bears_the_epoch_as_its_fencing_token(self) -> None:
        client = FakeServer(200, OLD)
        self.load(client)
        self.assertEqual(client.orders[0][1], LoadOrder("m", 2, "core-1", 7))
        self.assertEqual(self.rollout.orders, 1)

    def test_an_accepted_order_is_followed_by_reports_until_it_has_loaded(self) -> None:
        server = self.load(FakeServer(202, OLD, LOADING, OLD, NEW))
        self.assertEqual(server.versions, {"m": 2})

    def test_an_order_whose_answer_was_lost_has_failed_where_no_load_is_under_way(self) -> None:
        for status in (0, 409):
            with self.subTest(status=status):
                self.setUp()
                server = self.load(FakeServer(status, OLD), 1.0)
                self.assertEqual((server.versions, server.failed_loads["m"].failures > 0), ({"m": 1}, True))

    def test_an_order_whose_answer_was_lost_is_followed_while_a_load_is_under_way(self) -> None:
        client = FakeServer(0, OLD, LOADING, LOADING, NEW)
        self.assertEqual(self.load(client).versions, {"m": 2})
        self.assertEqual(len(client.orders), 1)

    def test_a_refused_or_unsent_order_has_failed(self) -> None:
        for status in (400, 412, 421, CallFailed("refused", False)):
            with self.subTest(status=status):
                self.setUp()
                self.assertEqual(self.load(FakeServer(status, OLD), 0.5).failed_loads["m"].failures, 1)

    def test_a_server_that_reports_nothing_twice_has_failed(self) -> None:
        self.assertEqual(self.load(FakeServer(202, OLD, None), 1.0).failed_loads["m"].failures, 1)

    def test_one_missing_report_is_forgiven(self) -> None:
        self.assertEqual(self.load(FakeServer(202, OLD, None, LOADING, None, NEW)).versions, {"m": 2})

    def test_a_server_that_hangs_has_failed_in_time(self) -> None:
        client = FakeServer(202, LOADING)
        self.assertEqual(self.load(client, LOAD_TIMEOUT_SECONDS - 0.5).failed_loads, {})
        self.setUp()
        self.assertEqual(self.load(client, LOAD_TIMEOUT_SECONDS + 1.0).failed_loads["m"].failures, 1)

    def ordered_after(self, report: dict) -> float:
        """Seconds from the start of a load to its order, at a server with this report."""
        self.setUp()
        client = FakeServer(200, report)
        self.load(client)
        return client.orders[0][0] - self.started_at

    def test_few_streams_are_waited_for_and_not_for_long(self) -> None:
        few = self.ordered_after(OLD | {"active": MAX_AWAITED_STREAMS})
        self.assertGreaterEqual(few, DRAIN_SECONDS)
        for report in (OLD, OLD | {"active": MAX_AWAITED_STREAMS + 1}, OLD | {"active": 1, "queued": 3}):
            with self.subTest(report=report):
                self.assertLess(self.ordered_after(report), DRAIN_SECONDS / 2)

    def test_no_order_goes_out_at_the_end_of_the_lease(self) -> None:
        self.runner.lease = LEASE_MARGIN_SECONDS
        client = FakeServer(200, OLD)
        self.load(client)
        self.assertEqual(client.orders, [])

    def test_no_order_goes_out_before_the_former_lease_holder_has_stopped(self) -> None:
        self.runner.replica.singleton_tasks_from = float("inf")
        client = FakeServer(200, OLD)
        self.load(client)
        self.assertEqual(client.orders, [])

    def test_a_newer_version_that_is_announced_meanwhile_is_loaded_at_once(self) -> None:
        client = FakeServer(200, OLD | {"active": 1})

        async def announce() -> None:
            await trio.sleep(DRAIN_SECONDS / 2)
            self.versions = {"m": 3}

        async def main() -> None:
            rollout = self.rollout_with(client)
            with trio.move_on_after(2.0):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(announce)
                    nursery.start_soon(rollout.run, nursery)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual([order.version for _, order in client.orders], [3])

    def test_a_load_that_ends_under_another_primary_changes_nothing(self) -> None:
        client = FakeServer(202, OLD, LOADING, NEW)
        other = ServerRegistry()

        async def take_over() -> None:
            await trio.sleep(0.3)
            self.registry = other

        async def main() -> None:
            rollout = self.rollout_with(client)
            with trio.move_on_after(3.0):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(take_over)
                    nursery.start_soon(rollout.run, nursery)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual((other.servers, other.serial), ({}, 0))


if __name__ == "__main__":
    unittest.main()
