"""What a core machine loads before it serves, and what only for the first change."""

import subprocess
import sys
import unittest
from pathlib import Path
from unittest import mock

import trio
from loguru import logger

from rowanshift.controlplane import change_loader
from rowanshift.controlplane.change_loader import LOAD_DELAY_SECONDS, ChangeLoader
from rowanshift.simulation.fleet import Fleet, config_of, play
from rowanshift.transport.runtime import SYSTEM_RUNTIME

ROOT = Path(__file__).parents[2]
LATER = ("serde", "jinja2", "beartype", "rowanshift.controlplane.configuration")
WHERE_CALLED_FOR = ("rowanshift.controlplane.coordination", "rowanshift.controlplane.coordination_service")


class Imports(unittest.TestCase):
    def loaded(self, module: str, names: tuple[str, ...] = LATER) -> set[str]:
        """Which of these a fresh interpreter has once it has imported a module."""
        program = f"import sys, {module}; print(*(name for name in {names} if name in sys.modules))"
        said = subprocess.run([sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, check=True)
        return {*said.stdout.split()}

    def test_a_core_machine_starts_without_what_checks_changes(self) -> None:
        self.assertEqual(self.loaded("rowanshift.controlplane.service"), set())

    def test_coordination_costs_nothing_where_no_application_calls_for_it(self) -> None:
        self.assertEqual(self.loaded("rowanshift.controlplane.service", WHERE_CALLED_FOR), set())

    def test_a_router_never_needs_it(self) -> None:
        self.assertEqual(self.loaded("rowanshift.dataplane.service"), set())

    def test_changes_need_all_of_it(self) -> None:
        self.assertEqual(self.loaded(change_loader.CHANGE_MODULE), {*LATER})


class Loader(unittest.TestCase):
    def test_all_who_wait_get_the_one_module(self) -> None:
        async def main() -> set[int]:
            loader, found = ChangeLoader(SYSTEM_RUNTIME), []

            async def ask() -> None:
                found.append(await loader.load())

            async with trio.open_nursery() as nursery:
                for _ in range(5):
                    nursery.start_soon(ask)
            return {id(module) for module in found}

        self.assertEqual(len(trio.run(main)), 1)

    def test_it_is_loaded_a_while_after_the_start_though_no_change_comes(self) -> None:
        async def main(fleet: Fleet) -> tuple[bool, bool]:
            loaded = []
            true = ChangeLoader.load

            async def load(loader: ChangeLoader) -> object:
                loaded.append(fleet.now())
                return await true(loader)

            with mock.patch.object(ChangeLoader, "load", load):
                await fleet.start()
                fleet.kill(*fleet.cores)
                fleet.back(*fleet.cores)
                loaded.clear()
                started = fleet.now()
                await trio.sleep(LOAD_DELAY_SECONDS + 1.0)
                return len(loaded) == len(fleet.cores), min(loaded) >= started + LOAD_DELAY_SECONDS

        logger.disable("rowanshift")
        self.addCleanup(logger.enable, "rowanshift")
        self.assertEqual(play(main, "loaded later", routers=1)[0], (True, True))

    def test_a_change_right_after_a_start_is_taken(self) -> None:
        async def main(fleet: Fleet) -> int:
            await fleet.start()
            fleet.kill(*fleet.cores)
            fleet.back(*fleet.cores)
            await fleet.until(fleet.primary)
            return await fleet.put(config_of(2))

        logger.disable("rowanshift")
        self.addCleanup(logger.enable, "rowanshift")
        self.assertEqual(play(main, "a change right after the start", routers=1)[0], 200)


if __name__ == "__main__":
    unittest.main()
