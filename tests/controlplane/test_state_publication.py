"""Publication of the committed state to routers: conditions, fingerprint and notification."""

import unittest
import zlib
from dataclasses import replace
from types import SimpleNamespace

import orjson
import trio
import trio.testing

from rowanshift.controlplane.control_state import ControlState
from rowanshift.controlplane.state_publication import (
    StatePublication,
    UpdateSignal,
    prefix_store_addresses,
    state_fingerprint,
)

CONFIG = orjson.dumps(
    {
        "revision": 3,
        "routes": [],
        "backends": [
            {"name": "kept", "kvStoreAddress": "10.0.0.9:700"},
            {"name": "s"},
            {"name": "odd", "kvStoreAddress": "nowhere"},
        ],
    }
)
STATE = ControlState(3, CONFIG, {"m": 2})


class CountingSignal(UpdateSignal):
    """An update signal that counts its notifications."""

    def __init__(self) -> None:
        super().__init__()
        self.notified = 0

    def notify(self) -> None:
        self.notified += 1
        super().notify()


class Publication(unittest.TestCase):
    def setUp(self) -> None:
        self.replica = SimpleNamespace(committed_state=STATE.pack(), is_primary=True)
        self.updates = CountingSignal()
        self.new_states: list[ControlState] = []
        self.publication = StatePublication(self.replica, self.updates, self.new_states.append)

    def test_a_state_is_published_once(self) -> None:
        for _ in range(3):
            self.publication.refresh()
        self.assertEqual(self.new_states, [STATE])
        self.assertEqual(self.updates.notified, 1)
        self.assertEqual(zlib.decompress(self.publication.compressed_config), CONFIG)
        self.assertEqual(self.publication.fingerprint, state_fingerprint(STATE))

    def test_a_backup_publishes_nothing(self) -> None:
        self.replica.is_primary = False
        self.publication.refresh()
        self.assertEqual((self.new_states, self.publication.fingerprint), ([], 0))

    def test_after_a_change_of_the_primary_the_same_state_is_published_again(self) -> None:
        self.publication.refresh()
        self.publication.reset()
        self.publication.refresh()
        self.assertEqual(self.new_states, [STATE, STATE])

    def test_versions_and_prefix_stores_are_those_committed_now(self) -> None:
        self.assertEqual(self.publication.versions(), {"m": 2})
        self.assertEqual(self.publication.prefix_stores(), {("10.0.0.9", 700)})
        self.replica.committed_state = replace(STATE, versions={"m": 5}).pack()
        self.assertEqual(self.publication.versions(), {"m": 5})


class Fingerprints(unittest.TestCase):
    def test_the_fingerprint_is_stable_across_releases(self) -> None:
        """A router does not receive the state again after an upgrade. The expected values are from commit 34514ad."""
        self.assertEqual(state_fingerprint(ControlState()), 0xB81420A9F10CA451)
        state = ControlState(3, b'{"revision":3}', {"m": 2, "a": 1})
        self.assertEqual(state_fingerprint(state), 0xD62BADCDF2F79C75)

    def test_each_part_that_routers_receive_changes_the_fingerprint(self) -> None:
        others = [
            replace(STATE, revision=4),
            replace(STATE, config=CONFIG + b" "),
            replace(STATE, versions={"m": 3}),
            replace(STATE, versions={"m": 2, "n": 1}),
        ]
        self.assertEqual(len({state_fingerprint(state) for state in (STATE, *others)}), 5)
        self.assertTrue(all(state_fingerprint(state) & 1 for state in others))  # 0 means no state


class PrefixStores(unittest.TestCase):
    def test_services_without_a_valid_address_are_ignored(self) -> None:
        self.assertEqual(prefix_store_addresses(STATE), {("10.0.0.9", 700)})


class Signals(unittest.TestCase):
    def test_each_notification_wakes_the_current_waiters(self) -> None:
        async def main() -> list[str]:
            signal, woken = UpdateSignal(), []

            async def wait(name: str) -> None:
                await signal.wait()
                woken.append(name)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(wait, "first")
                await trio.testing.wait_all_tasks_blocked()
                signal.notify()
                await trio.testing.wait_all_tasks_blocked()
                nursery.start_soon(wait, "second")
                await trio.testing.wait_all_tasks_blocked()
                self.assertEqual(woken, ["first"])
                signal.notify()
            return woken

        self.assertEqual(trio.run(main), ["first", "second"])


if __name__ == "__main__":
    unittest.main()
