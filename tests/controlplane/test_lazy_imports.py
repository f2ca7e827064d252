"""The modules that a core machine imports at startup and those that it imports for the first change."""

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
MODULES_FOR_CHANGES = ("serde", "jinja2", "beartype", "rowanshift.controlplane.configuration")
MODULES_FOR_COORDINATION = ("rowanshift.controlplane.coordination", "rowanshift.controlplane.coordination_service")


class Imports(unittest.TestCase):
    def imported_modules(self, module: str, names: tuple[str, ...] = MODULES_FOR_CHANGES) -> set[str]:
        """Return which of ``names`` a new interpreter has imported after importing ``module``."""
        program = f"import sys, {module}; print(*(name for name in {names} if name in sys.modules))"
        completed = subprocess.run(
            [sys.executable, "-c", program], cwd=ROOT, capture_output=True, text=True, check=True
        )
        return {*completed.stdout.split()}

    def test_a_core_machine_starts_without_the_modules_for_changes(self) -> None:
        self.assertEqual(self.imported_modules("rowanshift.controlplane.service"), set())

    def test_coordination_is_not_imported_unless_it_is_enabled(self) -> None:
        self.assertEqual(self.imported_modules("rowanshift.controlplane.service", MODULES_FOR_COORDINATION), set())

    def test_a_router_does_not_import_the_modules_for_changes(self) -> None:
        self.assertEqual(self.imported_modules("rowanshift.dataplane.service"), set())

    def test_the_change_module_imports_all_of_them(self) -> None:
        self.assertEqual(self.imported_modules(change_loader.CHANGE_MODULE), {*MODULES_FOR_CHANGES})


class Loader(unittest.TestCase):
    def test_concurrent_callers_get_the_same_module(self) -> None:
        async def main() -> set[int]:
            loader, modules = ChangeLoader(SYSTEM_RUNTIME), []

            async def load_module() -> None:
                modules.append(await loader.load())

            async with trio.open_nursery() as nursery:
                for _ in range(5):
                    nursery.start_soon(load_module)
            return {id(module) for module in modules}

        self.assertEqual(len(trio.run(main)), 1)

    def test_the_module_is_imported_after_a_delay_without_any_change(self) -> None:
        async def main(fleet: Fleet) -> tuple[bool, bool]:
            load_times = []
            original_load = ChangeLoader.load

            async def load(loader: ChangeLoader) -> object:
                load_times.append(fleet.now())
                return await original_load(loader)

            with mock.patch.object(ChangeLoader, "load", load):
                await fleet.start()
                fleet.kill(*fleet.cores)
                fleet.back(*fleet.cores)
                load_times.clear()
                restarted_at = fleet.now()
                await trio.sleep(LOAD_DELAY_SECONDS + 1.0)
                return len(load_times) == len(fleet.cores), min(load_times) >= restarted_at + LOAD_DELAY_SECONDS

        logger.disable("rowanshift")
        self.addCleanup(logger.enable, "rowanshift")
        self.assertEqual(play(main, "loaded later", routers=1)[0], (True, True))

    def test_a_change_right_after_the_start_is_accepted(self) -> None:
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
