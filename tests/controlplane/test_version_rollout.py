"""A load of the version rollout: draining, conditions for sending the order, and detection of failed loads."""

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

OLD_VERSION_REPORT = {"models": [{"name": "m", "revision": 1}], "active": 0}
NEW_VERSION_REPORT = {"models": [{"name": "m", "revision": 2}], "active": 0}
LOADING_REPORT = OLD_VERSION_REPORT | {"busy": True}


class FakeRunner:
    """The replica runner of the primary of epoch 7, with ``lease`` seconds left."""

    lease = 1.0

    def __init__(self) -> None:
        self.replica = SimpleNamespace(singleton_tasks_from=0.0, record=SimpleNamespace(epoch=7))

    def lease_remaining(self) -> float:
        return self.lease


class FakeServer:
    """A client for one server: returns or raises ``status`` for orders, and returns ``reports`` in turn."""

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
        """Run the rollout for ``seconds`` and return the server; ``started_at`` is the start of the first load."""

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
        server = self.load(FakeServer(200, OLD_VERSION_REPORT))
        self.assertEqual((server.versions, server.loading), ({"m": 2}, False))

    def test_an_order_contains_the_epoch_as_its_fencing_token(self) -> None:
        client = FakeServer(200, OLD_VERSION_REPORT)
        self.load(client)
        self.assertEqual(client.orders[0][1], LoadOrder("m", 2, "core-1", 7))
        self.assertEqual(self.rollout.orders, 1)

    def test_reports_are_requested_after_an_accepted_order_until_the_load_has_ended(self) -> None:
        server = self.load(FakeServer(202, OLD_VERSION_REPORT, LOADING_REPORT, OLD_VERSION_REPORT, NEW_VERSION_REPORT))
        self.assertEqual(server.versions, {"m": 2})

    def test_an_order_with_a_lost_response_has_failed_if_the_server_is_not_loading(self) -> None:
        for status in (0, 409):
            with self.subTest(status=status):
                self.setUp()
                server = self.load(FakeServer(status, OLD_VERSION_REPORT), 1.0)
                self.assertEqual((server.versions, server.failed_loads["m"].failures > 0), ({"m": 1}, True))

    def test_reports_are_requested_after_a_lost_response_while_the_server_is_loading(self) -> None:
        client = FakeServer(0, OLD_VERSION_REPORT, LOADING_REPORT, LOADING_REPORT, NEW_VERSION_REPORT)
        self.assertEqual(self.load(client).versions, {"m": 2})
        self.assertEqual(len(client.orders), 1)

    def test_a_rejected_or_unsent_order_has_failed(self) -> None:
        for status in (400, 412, 421, CallFailed("refused", False)):
            with self.subTest(status=status):
                self.setUp()
                self.assertEqual(self.load(FakeServer(status, OLD_VERSION_REPORT), 0.5).failed_loads["m"].failures, 1)

    def test_a_load_has_failed_after_two_missing_reports(self) -> None:
        self.assertEqual(self.load(FakeServer(202, OLD_VERSION_REPORT, None), 1.0).failed_loads["m"].failures, 1)

    def test_a_single_missing_report_is_tolerated(self) -> None:
        self.assertEqual(
            self.load(FakeServer(202, OLD_VERSION_REPORT, None, LOADING_REPORT, None, NEW_VERSION_REPORT)).versions,
            {"m": 2},
        )

    def test_a_load_has_failed_after_its_timeout(self) -> None:
        client = FakeServer(202, LOADING_REPORT)
        self.assertEqual(self.load(client, LOAD_TIMEOUT_SECONDS - 0.5).failed_loads, {})
        self.setUp()
        self.assertEqual(self.load(client, LOAD_TIMEOUT_SECONDS + 1.0).failed_loads["m"].failures, 1)

    def ordered_after(self, report: dict) -> float:
        """Return the seconds from the start of a load to its order, for a server with this report."""
        self.setUp()
        client = FakeServer(200, report)
        self.load(client)
        return client.orders[0][0] - self.started_at

    def test_the_rollout_waits_briefly_for_few_streams(self) -> None:
        drain_seconds = self.ordered_after(OLD_VERSION_REPORT | {"active": MAX_AWAITED_STREAMS})
        self.assertGreaterEqual(drain_seconds, DRAIN_SECONDS)
        for report in (
            OLD_VERSION_REPORT,
            OLD_VERSION_REPORT | {"active": MAX_AWAITED_STREAMS + 1},
            OLD_VERSION_REPORT | {"active": 1, "queued": 3},
        ):
            with self.subTest(report=report):
                self.assertLess(self.ordered_after(report), DRAIN_SECONDS / 2)

    def test_no_order_is_sent_at_the_end_of_the_lease(self) -> None:
        self.runner.lease = LEASE_MARGIN_SECONDS
        client = FakeServer(200, OLD_VERSION_REPORT)
        self.load(client)
        self.assertEqual(client.orders, [])

    def test_no_order_is_sent_before_the_former_lease_holder_has_stopped(self) -> None:
        self.runner.replica.singleton_tasks_from = float("inf")
        client = FakeServer(200, OLD_VERSION_REPORT)
        self.load(client)
        self.assertEqual(client.orders, [])

    def test_a_newer_version_announced_during_the_drain_is_loaded(self) -> None:
        client = FakeServer(200, OLD_VERSION_REPORT | {"active": 1})

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
        client = FakeServer(202, OLD_VERSION_REPORT, LOADING_REPORT, NEW_VERSION_REPORT)
        new_registry = ServerRegistry()

        async def take_over() -> None:
            await trio.sleep(0.3)
            self.registry = new_registry

        async def main() -> None:
            rollout = self.rollout_with(client)
            with trio.move_on_after(3.0):
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(take_over)
                    nursery.start_soon(rollout.run, nursery)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual((new_registry.servers, new_registry.serial), ({}, 0))


if __name__ == "__main__":
    unittest.main()
