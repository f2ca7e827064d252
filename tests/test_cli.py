"""The command line: what each command takes, says and ends with, and that it starts with little."""

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
}  # the package that serves each role, former names of roles among them
LARGE = ("asyncio", "httptools", "loguru", "lmdb", "msgspec", "orjson", "rich", "serde", "trio")


def without(*names: str):
    """The environment without these variables, for a while."""
    return mock.patch.dict(os.environ, {k: v for k, v in os.environ.items() if k not in names}, clear=True)


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
    def test_each_command_tells_its_options(self) -> None:
        for command, options in OPTIONS.items():
            with self.subTest(command):
                status, said = invoke(command, "--help")
                self.assertEqual(status, 0)
                for option in options:
                    self.assertIn(option, said)

    def test_all_commands_are_named(self) -> None:
        status, said = invoke("--help")
        self.assertEqual(status, 0)
        for command in OPTIONS:
            self.assertRegex(said, rf"(?m)^ +{command}\s+\S")

    def test_no_command_is_no_success(self) -> None:
        self.assertEqual(invoke(), (2, invoke("--help")[1]))


class Unusable(unittest.TestCase):
    def test_options(self) -> None:
        for line, says in (
            ("fly", "invalid choice: 'fly'"),
            ("version now", "unrecognized arguments: now"),
            (f"check --conf {EXAMPLE}", "unrecognized arguments: --conf"),
            ("migrate", "required: old, --output/-o"),
            ("migrate old.json -o new.json --routers 0", "--routers: 0 is not 1 or more"),
            ("migrate old.json -o new.json --ordinal -1", "--ordinal: -1 is not 0 or more"),
            ("migrate old.json -o new.json --routers x", "--routers: invalid whole number value: 'x'"),
            ("simulate", "give a file, --seed or --seeds"),
            ("simulate file.toml --seed 1", "give a file, --seed or --seeds"),
            ("simulate --seed -1", "--seed: -1 is not 0 or more"),
            ("simulate --seeds x", "--seeds takes N or FIRST:LAST, not 'x'"),
            ("simulate --seeds 3:3", "--seeds takes 1 to 1,000,000 seeds from 0 up"),
            ("simulate --seeds 1:3 --shrink x", "--events and --shrink go with one seed or file"),
            ("simulate --core", "give a file, --seed or --seeds"),
            ("simulate --core --seeds x", "--seeds takes N or FIRST:LAST, not 'x'"),
            ("simulate --core --seed 1 --shrink x", "--shrink and --size don't go with"),
            ("simulate --core --seed 1 --size grown", "--shrink and --size don't go with"),
            ("simulate --seed 1 --size vast", "--size is 'vast', not one of small, grown"),
            ("simulate --seed 1 --workers 257", "--workers: 257 is not within 1 and 256"),
        ):
            with self.subTest(line):
                status, said = invoke(*line.split())
                self.assertEqual(status, 2)
                self.assertIn(says, said)
                self.assertTrue(said.startswith("usage: rowanshift"))

    def test_files(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            empty = Path(folder) / "empty.json"
            empty.write_text("{}")
            gone = Path(folder) / "gone"
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
                for path in (gone, empty):
                    with self.subTest(command, path=path.name):
                        status, said = invoke(*command, path)
                        self.assertEqual((status, said[:12], said.count("\n")), (2, "rowanshift: ", 1), said)
                        if path is gone:
                            self.assertEqual(said, f"rowanshift: {gone}: No such file or directory\n")

    def test_level(self) -> None:
        self.assertEqual(
            invoke("serve", "-c", EXAMPLE, "--level", "nope"), (2, "rowanshift: Level 'NOPE' does not exist\n")
        )

    def test_facts_that_can_not_be_written(self) -> None:
        status, said = invoke("simulate", "--seed", 1, "--events", "/no/such/folder")
        self.assertEqual((status, said), (2, "rowanshift: /no/such/folder: No such file or directory\n"))


class Environment(unittest.TestCase):
    def test_a_configuration_of_the_environment_and_an_option_that_goes_before_it(self) -> None:
        with mock.patch.dict(os.environ, BALANCER_CONFIG=str(EXAMPLE)):
            status, said = invoke("check")
            self.assertEqual((status, said[:31]), (0, "demo: listens on 127.0.0.1:8080"))
            self.assertEqual(invoke("check", "-c", "/none")[0], 2)
        with mock.patch.dict(os.environ, BALANCER_CONFIG="/none"):
            for command in ("serve", "check"):
                self.assertEqual(invoke(command), (2, "rowanshift: /none: No such file or directory\n"))

    def test_none_or_an_empty_one(self) -> None:
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
                        status, said = invoke(command)
                        self.assertEqual(status, 2)
                        self.assertIn(variable, said)


class Roles(unittest.TestCase):
    """The services stand in here: what is tried is how they are called, and what becomes of what they say."""

    def called(self, role: str, outcome, *arguments, **environment):
        service = SimpleNamespace(run=mock.Mock(side_effect=[outcome]))
        with (
            without("ROWANSHIFT_BOOT"),
            mock.patch.dict(os.environ, environment),
            mock.patch.object(node_settings, "load_node_settings", side_effect=lambda path: f"boot of {path}"),
            mock.patch.dict(sys.modules, {f"rowanshift.{MODULES[role]}.service": service}),
        ):
            return invoke(role, *arguments), service.run.mock_calls

    def test_a_service_gets_what_the_file_says_and_its_status_is_the_end(self) -> None:
        for role, module in MODULES.items():
            former = role if role != module else ""
            for outcome, status in ((None, 0), (0, 0), (1, 1), (3, 3)):
                with self.subTest(role, outcome=outcome):
                    self.assertEqual(
                        self.called(role, outcome, "--boot", "a", "--level", "debug"),
                        ((status, ""), [mock.call("boot of a", "DEBUG", former)]),
                    )
            self.assertEqual(
                self.called(role, None, ROWANSHIFT_BOOT="b"), ((0, ""), [mock.call("boot of b", "INFO", former)])
            )
            self.assertEqual(
                self.called(role, None, "--boot", "a", ROWANSHIFT_BOOT="b")[1], [mock.call("boot of a", "INFO", former)]
            )

    def test_the_role_controlplane_starts_without_a_subcommand(self) -> None:
        service = mock.Mock(run=mock.Mock(return_value=0))
        with (
            mock.patch.object(node_settings, "load_node_settings", return_value="boot"),
            mock.patch.dict(sys.modules, {"rowanshift.controlplane.service": service}),
        ):
            self.assertEqual(invoke("controlplane", "--boot", "a"), (0, ""))
        self.assertEqual(service.run.mock_calls, [mock.call("boot", "INFO", "")])

    def test_a_setting_that_the_service_can_not_use(self) -> None:
        self.assertEqual(
            self.called("controlplane", node_settings.NodeSettingsError("dataDir", "missing"))[0],
            (2, "rowanshift: dataDir: missing\n"),
        )


class EarlySignals(unittest.TestCase):
    """Signals that come while a role is being imported, and after it has ended."""

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

    def test_sigterm_ends_it_well_and_sighup_does_nothing(self) -> None:
        for role in ("dataplane", "controlplane"):
            for number, status in (("SIGTERM", 0), ("SIGHUP", 7)):
                with self.subTest(role, signal=number):
                    done = run("-c", self.CODE, number, role)
                    self.assertEqual((done.returncode, done.stderr), (status, ""))

    def test_sigterm_before_the_router_for_caches_has_its_configuration(self) -> None:
        code = self.CODE.replace(
            "cli.main([sys.argv[2]])", "services.load_cache_proxy_config = import_module\ncli.main(['serve'])"
        )
        for number, status in (("SIGTERM", 0), ("SIGHUP", 7)):
            with self.subTest(number):
                done = run("-c", code, number)
                self.assertEqual((done.returncode, done.stderr), (status, ""))


class Ends(unittest.TestCase):
    def test_a_reader_that_goes_and_an_interrupt(self) -> None:
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
    def test_imports_of_a_start(self) -> None:
        """The command line alone needs the standard library's part; a router none of the other commands."""
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

    def test_beside_the_package_from_any_folder(self) -> None:
        for options, cwd in (((), ROOT), ((), Path("/")), (("-P",), Path("/"))):
            done = run(*options, str(ROOT / "rowanshift.py"), "version", cwd=cwd)
            self.assertEqual((done.returncode, done.stdout, done.stderr), (0, f"{__version__}\n", ""))
        found = run("-c", "import rowanshift; print(rowanshift.__file__)").stdout.strip()
        self.assertEqual(found, str(ROOT / "rowanshift" / "__init__.py"))

    def test_what_the_build_put_beside_it_goes_before_what_is_installed(self) -> None:
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
            said = run(str(root / "here.py")).stdout.split()
            self.assertEqual(said, [str(root), str(deps), str(deps / "trio.py")])
            done = run(str(root / "rowanshift.py"), "version")  # a link: the tree is where the file is
            self.assertEqual((done.returncode, done.stdout), (0, f"{__version__}\n"), done.stderr)

    def test_roles_as_deployed(self) -> None:
        system = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        for role, told in system["roles"].items():
            _, *command = told["run"].split()
            done = run(*command, ROWANSHIFT_BOOT="/nonexistent")
            self.assertEqual(
                (done.returncode, done.stdout, done.stderr),
                (2, "", "rowanshift: /nonexistent: No such file or directory\n"),
                role,
            )
