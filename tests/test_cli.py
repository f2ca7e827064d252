"""The command line: options, messages and exit statuses of the commands, and the modules loaded at start-up."""

import os
import subprocess
import sys
import tempfile
import tomllib
import unittest
from pathlib import Path
from types import SimpleNamespace
from unittest import mock

from rowanshift import __version__
from rowanshift.process import node_settings
from rowanshift.simulation.draw import SIZES
from tests.support.helpers import invoke

ROOT = Path(__file__).parents[1]
EXAMPLE = ROOT / "examples" / "config.json"
OPTIONS = {
    "dataplane": ["--boot", "--level", "ROWANSHIFT_BOOT"],
    "controlplane": ["--boot", "--level", "ROWANSHIFT_BOOT"],
    "counter": ["--boot", "--level", "ROWANSHIFT_BOOT"],
    "ledger": ["--boot", "--level", "ROWANSHIFT_BOOT"],
    "serve": ["--config", "-c", "--level", "BALANCER_CONFIG"],
    "check": ["--config", "-c", "BALANCER_CONFIG", "--boot"],
    "version": [],
    "status": ["--at", "ROWANSHIFT_CONTROL", "--json"],
    "members": ["--at"],
    "duties": ["--at"],
    "config": ["get", "put", "patch", "diff", "check"],
    "migrate": ["old", "--output", "-o", "--dry-run", "--listen", "--routers", "--ordinal", "--zone"],
    "demo": ["--config", "-c", "--stay", "--no-stay", "--router", "--no-router"],
    "simulate": [
        "file",
        "--seeds",
        "--seed",
        "--core",
        "--size",
        "--workers",
        "--events",
        "--shrink",
        "--json",
        *SIZES,
    ],
}
MODULES = {
    "dataplane": "dataplane",
    "controlplane": "controlplane",
    "counter": "dataplane",
    "ledger": "controlplane",
}  # package of each role, including the former role names
LARGE = ("asyncio", "httptools", "loguru", "lmdb", "msgspec", "orjson", "rich", "serde", "trio")


def without(*names: str):
    """A context manager that removes these environment variables."""
    return mock.patch.dict(
        os.environ, {name: value for name, value in os.environ.items() if name not in names}, clear=True
    )


def run(*command: str, cwd: Path = ROOT, **environment: str) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, *command],
        capture_output=True,
        text=True,
        timeout=60,
        cwd=cwd,
        env={"PATH": os.environ["PATH"]} | environment,
    )


class Help(unittest.TestCase):
    def test_help_lists_the_options_of_each_command(self) -> None:
        for command, options in OPTIONS.items():
            with self.subTest(command):
                status, output = invoke(command, "--help")
                self.assertEqual(status, 0)
                for option in options:
                    self.assertIn(option, output)

    def test_help_lists_all_commands(self) -> None:
        status, output = invoke("--help")
        self.assertEqual(status, 0)
        for command in OPTIONS:
            self.assertRegex(output, rf"(?m)^ +{command}\s+\S")

    def test_without_a_command_the_help_is_printed_with_status_2(self) -> None:
        self.assertEqual(invoke(), (2, invoke("--help")[1]))


class Unusable(unittest.TestCase):
    def test_invalid_options(self) -> None:
        for arguments, message in (
            ("fly", "invalid choice: 'fly'"),
            ("version now", "unrecognized arguments: now"),
            (f"check --conf {EXAMPLE}", "unrecognized arguments: --conf"),
            ("migrate", "required: old, --output/-o"),
            ("migrate old.json -o new.json --routers 0", "--routers: 1 or more expected, not 0"),
            ("migrate old.json -o new.json --ordinal -1", "--ordinal: 0 or more expected, not -1"),
            ("migrate old.json -o new.json --routers x", "--routers: invalid whole number value: 'x'"),
            ("simulate", "give a file, --seed or --seeds"),
            ("simulate file.toml --seed 1", "give a file, --seed or --seeds"),
            ("simulate --seed -1", "--seed: 0 or more expected, not -1"),
            ("simulate --seeds x", "--seeds takes N or FIRST:LAST, not 'x'"),
            ("simulate --seeds 3:3", "--seeds takes 1 to 1,000,000 seeds from 0 up"),
            ("simulate --seeds 1:3 --shrink x", "--events and --shrink go with one seed or file"),
            ("simulate --core", "give a file, --seed or --seeds"),
            ("simulate --core --seeds x", "--seeds takes N or FIRST:LAST, not 'x'"),
            ("simulate --core --seed 1 --shrink x", "--shrink and --size don't go with"),
            ("simulate --core --seed 1 --size grown", "--shrink and --size don't go with"),
            ("simulate --seed 1 --size vast", "--size is 'vast', not one of small, grown"),
            ("simulate --seed 1 --workers 257", "--workers: 1 to 256 expected, not 257"),
        ):
            with self.subTest(arguments):
                status, output = invoke(*arguments.split())
                self.assertEqual(status, 2)
                self.assertIn(message, output)
                self.assertTrue(output.startswith("usage: rowanshift"))

    def test_unusable_files(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            empty = Path(folder) / "empty.json"
            empty.write_text("{}")
            missing = Path(folder) / "gone"
            for command in (
                ("serve", "-c"),
                ("check", "--config"),
                ("demo", "-c"),
                ("migrate", "-o", "x"),
                ("simulate",),
                ("dataplane", "--boot"),
                ("controlplane", "--boot"),
                ("counter", "--boot"),
                ("ledger", "--boot"),
            ):
                for path in (missing, empty):
                    with self.subTest(command, path=path.name):
                        status, output = invoke(*command, path)
                        self.assertEqual((status, output[:12], output.count("\n")), (2, "rowanshift: ", 1), output)
                        if path is missing:
                            self.assertEqual(output, f"rowanshift: {missing}: No such file or directory\n")

    def test_an_unknown_log_level(self) -> None:
        self.assertEqual(
            invoke("serve", "-c", EXAMPLE, "--level", "nope"), (2, "rowanshift: Level 'NOPE' does not exist\n")
        )

    def test_an_events_file_that_can_not_be_written(self) -> None:
        status, output = invoke("simulate", "--seed", 1, "--events", "/no/such/folder")
        self.assertEqual((status, output), (2, "rowanshift: /no/such/folder: No such file or directory\n"))


class Environment(unittest.TestCase):
    def test_an_option_takes_precedence_over_the_environment(self) -> None:
        with mock.patch.dict(os.environ, BALANCER_CONFIG=str(EXAMPLE)):
            status, output = invoke("check")
            self.assertEqual((status, output[:31]), (0, "demo: listens on 127.0.0.1:8080"))
            self.assertEqual(invoke("check", "-c", "/none")[0], 2)
        with mock.patch.dict(os.environ, BALANCER_CONFIG="/none"):
            for command in ("serve", "check"):
                self.assertEqual(invoke(command), (2, "rowanshift: /none: No such file or directory\n"))

    def test_missing_and_empty_variables(self) -> None:
        for environment in ({}, {"BALANCER_CONFIG": "", "ROWANSHIFT_BOOT": ""}):
            with without("BALANCER_CONFIG", "ROWANSHIFT_BOOT"), mock.patch.dict(os.environ, environment):
                for command, variable in (
                    ("serve", "BALANCER_CONFIG"),
                    ("check", "BALANCER_CONFIG"),
                    ("dataplane", "ROWANSHIFT_BOOT"),
                    ("controlplane", "ROWANSHIFT_BOOT"),
                    ("counter", "ROWANSHIFT_BOOT"),
                    ("ledger", "ROWANSHIFT_BOOT"),
                ):
                    with self.subTest(command, environment=environment):
                        status, output = invoke(command)
                        self.assertEqual(status, 2)
                        self.assertIn(variable, output)


class Roles(unittest.TestCase):
    """How a role calls its service, and what it does with the outcome; the services are mocks."""

    def call_role(self, role: str, outcome, *arguments, **environment):
        service = SimpleNamespace(run=mock.Mock(side_effect=[outcome]))
        with (
            without("ROWANSHIFT_BOOT"),
            mock.patch.dict(os.environ, environment),
            mock.patch.object(node_settings, "load_node_settings", side_effect=lambda path: f"boot of {path}"),
            mock.patch.dict(sys.modules, {f"rowanshift.{MODULES[role]}.service": service}),
        ):
            return invoke(role, *arguments), service.run.mock_calls

    def test_a_service_is_called_with_the_settings_and_its_status_is_the_exit_status(self) -> None:
        for role, module in MODULES.items():
            former = role if role != module else ""
            for outcome, status in ((None, 0), (0, 0), (1, 1), (3, 3)):
                with self.subTest(role, outcome=outcome):
                    self.assertEqual(
                        self.call_role(role, outcome, "--boot", "a", "--level", "debug"),
                        ((status, ""), [mock.call("boot of a", "DEBUG", former)]),
                    )
            self.assertEqual(
                self.call_role(role, None, ROWANSHIFT_BOOT="b"), ((0, ""), [mock.call("boot of b", "INFO", former)])
            )
            self.assertEqual(
                self.call_role(role, None, "--boot", "a", ROWANSHIFT_BOOT="b")[1],
                [mock.call("boot of a", "INFO", former)],
            )

    def test_the_role_controlplane_starts_without_a_subcommand(self) -> None:
        service = mock.Mock(run=mock.Mock(return_value=0))
        with (
            mock.patch.object(node_settings, "load_node_settings", return_value="boot"),
            mock.patch.dict(sys.modules, {"rowanshift.controlplane.service": service}),
        ):
            self.assertEqual(invoke("controlplane", "--boot", "a"), (0, ""))
        self.assertEqual(service.run.mock_calls, [mock.call("boot", "INFO", "")])

    def test_a_setting_that_the_service_rejects(self) -> None:
        self.assertEqual(
            self.call_role("controlplane", node_settings.NodeSettingsError("dataDir", "missing"))[0],
            (2, "rowanshift: dataDir: missing\n"),
        )


class EarlySignals(unittest.TestCase):
    """Signals that arrive while a role is being imported or after it has ended."""

    CODE = """
import os, signal, sys
from rowanshift import cli
from rowanshift.cli import services
from rowanshift.process import node_settings
def import_module(name):
    os.kill(os.getpid(), signal.Signals[sys.argv[1]])
    raise SystemExit(7)
services.import_module, node_settings.load_node_settings = import_module, lambda path: None
cli.main([sys.argv[2]])
"""

    def test_sigterm_exits_with_status_0_and_sighup_is_ignored(self) -> None:
        for role in ("dataplane", "controlplane"):
            for number, status in (("SIGTERM", 0), ("SIGHUP", 7)):
                with self.subTest(role, signal=number):
                    completed = run("-c", self.CODE, number, role)
                    self.assertEqual((completed.returncode, completed.stderr), (status, ""))

    def test_signals_before_the_cache_proxy_has_its_configuration(self) -> None:
        code = self.CODE.replace(
            "cli.main([sys.argv[2]])", "services.load_cache_proxy_config = import_module\ncli.main(['serve'])"
        )
        for number, status in (("SIGTERM", 0), ("SIGHUP", 7)):
            with self.subTest(number):
                completed = run("-c", code, number)
                self.assertEqual((completed.returncode, completed.stderr), (status, ""))


class Ends(unittest.TestCase):
    def test_a_closed_output_pipe_and_an_interrupt(self) -> None:
        with subprocess.Popen(
            [sys.executable, "-m", "rowanshift", "version"],
            cwd=ROOT,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        ) as process:
            process.stdout.close()
            self.assertEqual((process.wait(60), process.stderr.read()), (1, ""))
        with mock.patch("rowanshift.simulation.command.simulate", side_effect=KeyboardInterrupt):
            self.assertEqual(invoke("simulate", "--seed", 1), (130, ""))


class Program(unittest.TestCase):
    def test_modules_imported_at_start_up(self) -> None:
        """Parsing imports only the standard library, and the cache proxy imports no other command's modules."""
        code = "import sys; from rowanshift.cli import main\ntry: main()\nexcept SystemExit: pass\nprint(*sys.modules)"
        loaded = run("-c", code, "version").stdout.split()
        self.assertEqual([name for name in LARGE if name in loaded], [])
        loaded = run("-c", code, "serve", "-c", "/none").stdout.split()
        self.assertIn("trio", loaded)
        self.assertEqual(
            [
                name
                for name in loaded
                if name.startswith(
                    (
                        "rich",
                        "lmdb",
                        "serde",
                        "rowanshift.cacheproxy.migrate",
                        "rowanshift.simulation",
                        "rowanshift.emulation",
                        "rowanshift.dataplane",
                        "rowanshift.controlplane",
                    )
                )
            ],
            [],
        )

    def test_the_script_runs_from_any_directory(self) -> None:
        for options, cwd in (((), ROOT), ((), Path("/")), (("-P",), Path("/"))):
            completed = run(*options, str(ROOT / "rowanshift.py"), "version", cwd=cwd)
            self.assertEqual((completed.returncode, completed.stdout, completed.stderr), (0, f"{__version__}\n", ""))
        found = run("-c", "import rowanshift; print(rowanshift.__file__)").stdout.strip()
        self.assertEqual(found, str(ROOT / "rowanshift" / "__init__.py"))

    def test_bundled_dependencies_take_precedence_over_installed_ones(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            root, deps = Path(folder).resolve(), Path(folder).resolve() / "target" / "deps"
            deps.mkdir(parents=True)
            (root / "rowanshift.py").symlink_to(ROOT / "rowanshift.py")
            (root / "here.py").write_text((ROOT / "rowanshift.py").read_text())
            (root / "rowanshift").mkdir()
            (root / "rowanshift" / "__init__.py").write_text("")
            (root / "rowanshift" / "cli.py").write_text(
                "import sys\nimport trio\ndef main(): print(*sys.path[:2], trio.__file__, sep='\\n')\n"
            )
            (deps / "trio.py").write_text("")
            output = run(str(root / "here.py")).stdout.split()
            self.assertEqual(output, [str(root), str(deps), str(deps / "trio.py")])
            completed = run(str(root / "rowanshift.py"), "version")  # a symbolic link: the package is beside its target
            self.assertEqual((completed.returncode, completed.stdout), (0, f"{__version__}\n"), completed.stderr)

    def test_the_deployed_role_commands(self) -> None:
        system = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        for role, settings in system["roles"].items():
            _, *command = settings["run"].split()
            completed = run(*command, ROWANSHIFT_BOOT="/nonexistent")
            self.assertEqual(
                (completed.returncode, completed.stdout, completed.stderr),
                (2, "", "rowanshift: /nonexistent: No such file or directory\n"),
                role,
            )
