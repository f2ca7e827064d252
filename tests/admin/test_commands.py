"""What staff ask a running system and its files, and the demo of the whole system, on loopback."""

import ast
import importlib
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from pathlib import Path
from unittest import mock

import orjson
import trio
from loguru import logger

from rowanshift.admin import commands as staff
from rowanshift.controlplane.api import ConfigResource
from rowanshift.controlplane.change_loader import ChangeLoader
from rowanshift.controlplane.record_kinds import CODEC, Hello
from rowanshift.controlplane.replication import StateTooLarge
from rowanshift.controlplane.store import Store
from rowanshift.emulation import cluster
from rowanshift.process import node_settings
from rowanshift.transport.call_server import CallServer
from rowanshift.transport.http_connection import Message
from rowanshift.transport.http_response import Response
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import SYSTEM_RUNTIME
from tests.support.helpers import invoke

ROOT = Path(__file__).parents[2]
WITHIN = 30.0  # seconds for anything that is waited for
LOOK = 0.02  # seconds between looks
WHERE_LIMITS = (
    "dataplane/*.py",
    "controlplane/**/*.py",
    "transport/record_links.py",
    "transport/call_*.py",
    "dataplane/retry_budget.py",
    "wire/version_announcements.py",
)
WHERE_EVENTS = "dataplane/*.py", "controlplane/**/*.py", "transport/record_links.py", "transport/call_*.py"


def net() -> str:
    """Addresses that no other run uses."""
    return f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}."


def folder(case: unittest.TestCase) -> Path:
    made = tempfile.TemporaryDirectory()
    case.addCleanup(made.cleanup)
    return Path(made.name)


class Thread:
    """Runs something of trio's beside a test, until it is left. What it raises is raised there."""

    def __init__(self, run) -> None:
        self.run, self.up, self.error = run, threading.Event(), None
        self.thread = threading.Thread(target=self._main, daemon=True)

    def _main(self) -> None:
        try:
            trio.run(self._run)
        except BaseException as error:
            self.error = error
            self.up.set()

    async def _run(self) -> None:
        self.token = trio.lowlevel.current_trio_token()
        async with trio.open_nursery() as nursery:
            self.scope = nursery.cancel_scope
            with trio.fail_after(WITHIN):
                self.made = await self.run(nursery)
            self.up.set()
            await trio.sleep_forever()

    def __enter__(self):
        self.thread.start()
        if not self.up.wait(WITHIN + 5):
            raise TimeoutError("it did not start")
        if self.error is not None:
            raise self.error
        return self.made

    def ask(self, work, *given):
        return trio.from_thread.run(work, *given, trio_token=self.token)

    def __exit__(self, *_) -> None:
        self.token.run_sync_soon(self.scope.cancel)
        self.thread.join(WITHIN)
        if self.error is not None:
            raise self.error


class Running(unittest.TestCase):
    """The commands against one small system."""

    @classmethod
    def setUpClass(cls) -> None:
        logger.remove()
        made = tempfile.TemporaryDirectory()
        cls.addClassCleanup(made.cleanup)
        cls.folder = Path(made.name)

        async def start(nursery: trio.Nursery) -> cluster.SmallSystem:
            system = cluster.SmallSystem(cls.folder / "machines", net())
            nursery.start_soon(system.run)
            await system.primary()
            return system

        (cls.folder / "machines").mkdir()
        cls.thread = Thread(start)
        cls.system = cls.enterClassContext(cls.thread)
        cls.controls = ["{}:{}".format(*control) for control in cls.system.controls]

    def ask(self, *arguments, at: str = ""):
        return invoke(*arguments, "--at", at or ",".join(self.controls))

    def until(self, holds) -> None:
        async def wait() -> None:
            with trio.fail_after(WITHIN):
                while not holds():
                    await trio.sleep(LOOK)

        self.thread.ask(wait)

    def until_told(self, holds) -> None:
        """The same of what commands say, which are run here."""
        until = time.monotonic() + WITHIN
        while not holds():
            self.assertLess(time.monotonic(), until, "it never held")

    def write(self, name: str, config: dict) -> Path:
        path = self.folder / name
        path.write_bytes(orjson.dumps(config))
        return path

    def put(self, path: Path) -> None:
        """Put a configuration; it is in force then."""
        revision = orjson.loads(path.read_bytes())["revision"]
        self.assertEqual(self.ask("config", "put", path), (0, f"revision {revision} is in force\n"))

    def newer(self, **changes) -> dict:
        """A configuration that can be put next."""
        return cluster.CONFIG | {"revision": self.revision() + 1} | changes

    def revision(self) -> int:
        return next((row["revision"] for row in self.statuses() if row["primary"]), 0)

    def statuses(self) -> list[dict]:
        return orjson.loads(self.ask("status", "--json")[1])["machines"]

    def ask_until(self, said: str) -> str:
        """What ``duties`` says once it says this."""
        until = time.monotonic() + WITHIN
        while time.monotonic() < until:
            code, text = self.ask("duties")
            if code == 0 and re.search(said, text):
                return text
        raise AssertionError(f"it never said {said!r}, but {text}")

    def test_each_machine_learnt_of_from_one_is_told(self) -> None:
        def roles() -> list[int]:  # one that missed the last epoch's record hears of it by the next beat
            rows = self.statuses()
            return [sum(row["primary"] for row in rows), len({row["epoch"] for row in rows})]

        for control in self.controls:
            self.until_told(lambda: roles() == [1, 1])
            code, said = self.ask("status", at=control)
            self.assertEqual(code, 0, said)
            lines = said.splitlines()
            self.assertEqual(
                [line.split()[0] for line in lines[1:]], [control.split(":")[0] for control in self.controls]
            )
            self.assertEqual(sum(" primary " in line for line in lines[1:]), 1, said)
            self.assertEqual(sum(" backup " in line for line in lines[1:]), 1, said)
        row = next(row for row in self.statuses() if row["primary"])
        self.assertEqual((len(row["inSync"]), len(row["witnesses"])), (2, 3))
        self.assertEqual(row["primaryHint"], row["machine"])

    def test_a_machine_that_does_not_answer_is_told_and_the_others_are_asked(self) -> None:
        gone = f"{self.system.net}99:{cluster.CONTROL}"
        code, said = self.ask("status", at=f"{gone},{self.controls[0]}")
        self.assertEqual(code, 0, said)
        self.assertRegex(said, rf"(?m)^{self.system.net}99 .*no answer.*REFUSED")
        code, said = self.ask("status", at=gone)
        self.assertEqual((code, said.splitlines()[-1]), (1, "no primary"))
        for command in (("members",), ("duties",), ("config", "get")):
            code, said = self.ask(*command, at=gone)
            self.assertEqual((code, said[:12], said.count("\n")), (1, "rowanshift: ", 1), command)

    def test_routers_that_hold_a_lease(self) -> None:
        self.until(
            lambda: all(
                router.control_cache.member_count == 2
                for router in self.system.routers
                if hasattr(router, "control_client")
            )
        )
        code, said = self.ask("members")
        self.assertEqual(code, 0, said)
        self.assertEqual(
            [line.split()[0] for line in said.splitlines()[1:3]], [f"{self.system.net}{n}" for n in cluster.ROUTERS]
        )
        self.assertRegex(said, r"2 routers hold a lease of 127\.")

    def test_duties_and_a_version_that_is_rolled_out(self) -> None:
        self.until(lambda: any(core_service.tasks.registry.records() for core_service in self.system.core_services))
        code, said = self.ask("duties")
        self.assertEqual(code, 0, said)
        self.assertRegex(said, r"(?m)^reads the list  127\.\S+ +\d+ calls")
        self.assertRegex(said, r"fence \d+; the lease holds for \d+\.\d+ s; 3 servers listed")

        self.system.servers[2].traits.load = 1.5  # it is loaded last, and not too soon to be seen behind
        self.assertEqual(self.thread.ask(self.system.operator.name_version, cluster.MODEL, 2), 200)
        said = self.ask_until(rf"{cluster.MODEL} version 2: 2 of 3 servers; behind: server-23 \(1\)")
        self.assertRegex(said, r"(?m)^longest behind: server-23, for \d+\.\d+ s$")
        self.assertIn("loading: server-23", self.ask_until("loading: server"))
        said = self.ask_until(rf"{cluster.MODEL} version 2: 3 of 3")
        self.assertRegex(said, rf"(?m)^{cluster.MODEL} version 2: 3 of 3 servers$")
        self.assertRegex(said, r"(?m)^orders +127\.\S+ +[3-9] orders")
        self.assertIn("3 of 3 servers", self.ask_until("loading: none"))  # the list may tell first

    def test_a_configuration_put_on_the_current_one_and_read_back(self) -> None:
        config = self.newer()
        path = self.write("put.json", config)
        for control in self.controls:  # whoever is asked: a 307 is followed, and a repeat is known
            code, said = self.ask("config", "put", path, at=control)
            self.assertEqual((code, said), (0, f"revision {config['revision']} is in force\n"))
        code, said = self.ask("config", "get")
        self.assertEqual((code, orjson.loads(said)), (0, config))
        kept = self.folder / "kept.json"
        code, said = self.ask("config", "get", "-o", kept)
        self.assertEqual((code, kept.read_bytes()), (0, path.read_bytes()))
        self.assertEqual(kept.stat().st_mode & 0o777, 0o600)
        self.assertIn(f"revision {config['revision']}", said)
        self.assertNotIn(cluster.KEY, said)
        later = self.write("later.json", self.newer(routes=[]))
        self.assertEqual(self.ask("config", "put", later)[0], 0)
        code, said = self.ask("config", "put", path)  # an old one again is no way back
        self.assertEqual(code, 1)
        self.assertIn(f"revision {config['revision']} was taken earlier", said)

    def test_a_put_that_is_refused_tells_the_control_planes_reason(self) -> None:
        self.put(self.write("a.json", self.newer()))
        current = self.revision()
        path = self.write("b.json", self.newer(limits={}))
        code, said = self.ask("config", "put", path, "--if-match", current - 1)
        why = f"412: If-Match '{current - 1}', while revision {current} is current"
        self.assertEqual((code, said), (1, f"rowanshift: {why}\n"))
        path = self.write("b.json", self.newer(revision=current, limits={}))
        code, said = self.ask("config", "put", path)
        self.assertEqual((code, said[:23]), (1, "rowanshift: 400: revisi"))
        self.assertEqual(self.revision(), current)
        path = self.write("b.json", self.newer())
        self.assertEqual(self.ask("config", "put", path, "--if-match", current)[0], 0)

    def test_items_that_are_patched(self) -> None:
        self.put(self.write("base.json", self.newer()))
        base = self.revision()
        added = {"name": "extra", "hostname": "extra.example", "pathPrefix": "/", "backend": "chat", "timeoutMs": 9}
        path = self.write("patch.json", {"revision": base + 1, "upsert": {"routes": [added]}})
        told = (0, f"revision {base} -> {base + 1}\n+ route extra.example /\n")
        self.assertEqual(self.ask("config", "diff", "--patch", path), told)
        for control in self.controls:  # a repeat is known, whoever gets it
            self.assertEqual(self.ask("config", "patch", path, at=control), (0, f"revision {base + 1} is in force\n"))
        said = self.ask("config", "get")[1]
        self.assertEqual(orjson.loads(said)["routes"][-1], added)

    def test_a_patch_that_can_not_be_used(self) -> None:
        self.put(self.write("base.json", self.newer()))
        base = self.revision()
        path = self.write("patch.json", {"revision": base + 1, "upsert": {"limits": []}})
        code, said = self.ask("config", "patch", path)
        self.assertEqual((code, said[:30]), (1, "rowanshift: 400: upsert.limits"))
        code, said = self.ask("config", "diff", "--patch", path)
        self.assertEqual((code, f"{path}: upsert.limits" in said), (2, True))
        path = self.write("patch.json", {"revision": base + 1})
        code, said = self.ask("config", "patch", path, "--if-match", base - 1)
        why = f"412: If-Match '{base - 1}', while revision {base} is current"
        self.assertEqual((code, said), (1, f"rowanshift: {why}\n"))
        self.assertEqual(self.revision(), base)

    def test_how_a_configuration_differs_from_the_one_in_force(self) -> None:
        self.put(self.write("base.json", self.newer()))
        revision = self.revision()
        same = self.write("same.json", self.newer())
        self.assertEqual(
            self.ask("config", "diff", same), (0, f"revision {revision} -> {revision + 1}\nno difference\n")
        )
        other = self.newer(tenants=[{"name": "demo", "apiKeys": ["private-1"]}])
        code, said = self.ask("config", "diff", self.write("other.json", other))
        self.assertEqual((code, said.splitlines()[1:]), (0, ["~ tenant demo: 1 keys added, 1 removed"]))


class Answering(unittest.TestCase):
    """One control address that answers as it is told to."""

    def played(self, *answers: Response | int):
        """The port, and the calls that came; a number stands for a 307 to the same place."""
        told = list(answers)
        calls = []

        class Resource:
            async def call(resource, message):
                calls.append((message.method, dict(message.fields).get(b"if-match")))
                answer = told.pop(0) if len(told) > 1 else told[0]
                if answer == 307:
                    return Response(307, b"", [(b"Location", b"http://" + self.at.encode() + message.target)])
                return answer

        async def start(nursery: trio.Nursery) -> None:
            listener = staff.SYSTEM_RUNTIME.listen((ip, 8500), 16)
            server = CallServer({b"/config": Resource(), b"/status": Resource()}, MemoryBudget(64), 1 << 20)
            nursery.start_soon(serve, server, listener, nursery)

        async def serve(server: CallServer, listener, nursery: trio.Nursery) -> None:
            try:
                await server.serve(listener, nursery, trio.sleep)
            finally:
                listener.close()

        ip = f"{net()}1"
        self.at = f"{ip}:8500"
        self.enterContext(Thread(start))
        return calls

    def put(self, *more):
        path = folder(self) / "c.json"
        path.write_bytes(orjson.dumps(cluster.CONFIG | {"revision": 9}))
        return invoke("config", "put", path, "--at", self.at, *more)

    def test_two_redirects_are_followed_and_no_third(self) -> None:
        calls = self.played(307, 307, Response(200, b'{"revision":9}'))
        self.assertEqual(self.put("--if-match", 8), (0, "revision 9 is in force\n"))
        self.assertEqual(calls, [(b"PUT", b"8")] * 3)
        calls = self.played(307)
        code, said = self.put("--if-match", 8)
        self.assertEqual((code, len(calls)), (1, 3 * staff.ROUNDS))
        self.assertIn("sent on more than 2 times", said)

    def test_what_is_unclear_is_sent_again_and_told(self) -> None:
        unclear = Response(503, b'{"error":"not on enough disks in time"}')
        self.played(unclear, unclear, Response(200, b'{"revision":9}'))
        self.assertEqual(self.put("--if-match", 8)[0], 0)
        self.played(unclear)
        code, said = self.put("--if-match", 8)
        self.assertEqual(code, 1)
        self.assertIn("503: not on enough disks in time; it may or may not be in force", said)

    def test_the_first_configuration_builds_on_none(self) -> None:
        calls = self.played(Response(404, b'{"error":"no configuration yet"}'), Response(200, b'{"revision":9}'))
        self.assertEqual(self.put()[0], 0)
        self.assertEqual(calls, [(b"GET", None), (b"PUT", b"0")])
        self.played(Response(404, b'{"error":"no configuration yet"}'))
        self.assertEqual(invoke("config", "get", "--at", self.at), (1, "rowanshift: no configuration yet\n"))

    def test_what_was_never_sent_is_not_said_to_be_unclear(self) -> None:
        self.at = f"{net()}1:8500"
        code, said = self.put("--if-match", 8)
        self.assertEqual(code, 1)
        self.assertNotIn("may or may not", said)

    def test_answers_that_make_no_sense(self) -> None:
        for body in (b"", b"[]", b"\xff", b'{"revision":"x"}'):
            self.played(Response(200, body))
            code, said = self.put()
            self.assertEqual((code, said[:12]), (1, "rowanshift: "), body)
            code, said = invoke("status", "--at", self.at)
            self.assertEqual((code, said.splitlines()[-1]), (1, "no primary"), body)


class TooLarge(unittest.TestCase):
    def test_a_configuration_that_the_control_state_has_no_room_for(self) -> None:
        node = mock.Mock(change=mock.AsyncMock(side_effect=StateTooLarge))
        put = Message(b"PUT", b"/config", fields=[(b"if-match", b"0")], body=b"{}")
        answer = trio.run(ConfigResource(node, 1, 8500, ChangeLoader(SYSTEM_RUNTIME)).call, put)
        self.assertEqual(answer.status, 413)
        self.assertIn(b"16773120 bytes", answer.body)


class Offline(unittest.TestCase):
    def test_an_address_that_is_missing_or_unusable(self) -> None:
        with mock.patch.dict(os.environ, ROWANSHIFT_CONTROL=""):
            for command in (("status",), ("members",), ("duties",), ("config", "get"), ("config", "put", "x")):
                code, said = invoke(*command)
                self.assertEqual(code, 2)
                self.assertIn("--at IP:PORT is missing", said)
        self.assertEqual(
            invoke("status", "--at", "nowhere"), (2, "rowanshift: --at: IP:PORT expected, not 'nowhere'\n")
        )
        with mock.patch.dict(os.environ, ROWANSHIFT_CONTROL="of:the:environment"):
            self.assertEqual(invoke("status")[0], 2)
        self.assertEqual(invoke("config")[0], 2)

    def test_a_configuration_is_checked_as_the_control_plane_does(self) -> None:
        path = folder(self) / "c.json"
        path.write_bytes(orjson.dumps(cluster.CONFIG))
        self.assertEqual(
            invoke("config", "check", path), (0, f"{path}: revision 1 can be put: 1 routes, 1 services, 1 tenants\n")
        )
        path.write_bytes(orjson.dumps(cluster.CONFIG | {"backends": []}))
        self.assertEqual(
            invoke("config", "check", path), (2, f"rowanshift: {path}: routes[0].backend: unknown service 'chat'\n")
        )
        for body in (b"", b"[]", b'{"revision":1'):
            path.write_bytes(body)
            for command in (("check",), ("put", "--at", "127.0.0.1:1"), ("diff", "--at", "127.0.0.1:1")):
                code, said = invoke("config", command[0], path, *command[1:])
                self.assertEqual(code, 2)
                self.assertTrue(said.startswith(f"rowanshift: {path}: can't be read whole"), said)
        self.assertEqual(invoke("config", "check", path.parent / "none")[0], 2)

    def test_differences_name_everything_and_no_key(self) -> None:
        route = cluster.CONFIG["routes"][0]
        service = cluster.CONFIG["backends"][0]
        after = cluster.CONFIG | {
            "routes": [
                route | {"timeoutMs": 100, "note": "key-0", "trafficSplit": [{"backend": "chat", "weight": 1}]},
                route | {"hostname": "New.example"},
            ],
            "backends": [service | {"engine": service["engine"] | {"slots": 9}}, {"name": "more"}],
            "limits": cluster.CONFIG["limits"] | {"maxBodyBytes": 5},
            "tenants": [{"name": "other", "apiKeys": ["key-1"]}, {"name": "demo", "apiKeys": ["key-2", "key-3"]}],
        }
        self.assertEqual(
            staff.differences(cluster.CONFIG, after),
            [
                "+ route new.example /chat/",
                "~ route demo.example /chat/: timeoutMs 5000 -> 100, note differs, trafficSplit absent -> [chat:1]",
                "+ service more",
                "~ service chat: engine.slots 4 -> 9",
                "+ tenant other",
                "~ tenant demo: 2 keys added, 1 removed",
                "~ limits: maxBodyBytes 1048576 -> 5",
            ],
        )
        said = "\n".join(staff.differences(after, cluster.CONFIG) + staff.differences({}, after))
        for line in ("- route new.example /chat/", "- tenant other", "- service more"):
            self.assertIn(line, said)
        for key in ("key-0", "key-1", "key-2", "key-3", cluster.KEY):
            self.assertNotIn(key, said)
        self.assertEqual(
            staff.differences(after, after | {"tenants": None})[0], "~ tenants: keys are no longer checked"
        )
        self.assertEqual(staff.differences({}, {"tenants": []}), ["~ tenants: keys are checked from now on"])

    def test_what_a_disk_holds_is_told_and_left_as_it_is(self) -> None:
        from rowanshift.controlplane.configuration_change import put_config
        from rowanshift.controlplane.control_state import put_version
        from rowanshift.controlplane.control_state import unpack as unpacked
        from rowanshift.controlplane.replication import DurableState, EpochRecord, StateVersion

        sheet = put_version(put_config(unpacked(b""), "0", orjson.dumps(cluster.CONFIG))[0], "m", 7)
        a, b, c = 1 << 24, 2 << 24, 3 << 24
        durable = DurableState(43, EpochRecord(41, a, (a, b), (a, b, c)), StateVersion(41, 3), sheet.pack(), True)
        data = folder(self)
        store = Store(data / "ledger")
        store.open()
        store.write(CODEC.pack(durable))
        store.close()
        before = {path: path.read_bytes() for path in data.rglob("*") if path.is_file()}
        for place in (data, data / "ledger"):
            code, said = invoke("controlplane", "check", place)
            self.assertEqual(code, 0, said)
            for part in (
                "promised 43; has lost its disk",
                "epoch 41, primary 1.0.0.0",
                "in sync: 1.0.0.0, 2.0.0.0",
                "witnesses: 1.0.0.0, 2.0.0.0, 3.0.0.0",
                "state of epoch 41, sequence 3: revision 1",
                "named: m version 7",
            ):
                self.assertIn(part, said)
            self.assertNotIn(cluster.KEY, said)
        self.assertEqual({path: path.read_bytes() for path in data.rglob("*") if path.is_file()}, before)

    def test_disks_that_hold_nothing_or_nothing_of_use(self) -> None:
        data = folder(self)
        code, said = invoke("controlplane", "check", data)
        self.assertEqual((code, said), (2, f"rowanshift: {data}: no store here (data.mdb is absent)\n"))
        for record, says in ((CODEC.pack(Hello(1)), "Hello where a DurableState belongs"), (b"noise", "cut short")):
            with self.subTest(says):
                store = Store(data)
                store.open()
                store.write(record)
                store.close()
                code, said = invoke("controlplane", "check", data)
                self.assertEqual(code, 1)
                self.assertIn(says, said)
        (data / "data.mdb").write_bytes(b"no store")
        code, said = invoke("controlplane", "check", data)
        self.assertEqual(code, 1)
        self.assertIn("can't be opened", said)

    def test_the_role_controlplane_starts_without_a_word_more(self) -> None:
        service = mock.Mock(run=mock.Mock(return_value=0))
        with (
            mock.patch.object(node_settings, "load_node_settings", return_value="boot"),
            mock.patch.dict(sys.modules, {"rowanshift.controlplane.service": service}),
        ):
            self.assertEqual(invoke("controlplane", "--boot", "a"), (0, ""))
        self.assertEqual(service.run.mock_calls, [mock.call("boot", "INFO", "")])

    def test_settings_files(self) -> None:
        data = folder(self)
        system = cluster.SmallSystem(data, net(), lambda: 0.0)
        core, edge = data / "core-1.json", data / "edge-11.json"
        code, said = invoke("check", "--boot", core)
        self.assertEqual(code, 0, said)
        for part in (
            "core-1: controlplane at",
            f"controlPlane {system.net}1:8500",
            "up to 1 machines, 0 zones, 0 regions may be lost at once",
            "a first start",
        ):
            self.assertIn(part, said)
        code, said = invoke("check", "--boot", edge)
        self.assertEqual((code, said[:22]), (0, "edge-11: dataplane at "))
        good = orjson.loads(core.read_bytes())
        for change, says in (
            ({"machineClass": "core_service"}, "machineClass: one of edge, core expected, not 'core_service'"),
            ({"machineClass": "edge"}, "listenAddresses.frontend: missing, and this role needs it"),
            ({"ip": "::1"}, "ip: an IPv4 address expected, not '::1'"),
            ({"seedNodes": ["host:1"]}, "seedNodes[0]: an IPv4 address expected, not 'host'"),
            ({"internalPorts": [2, 1]}, "internalPorts: two rising ports expected"),
        ):
            edge.write_bytes(orjson.dumps(good | change))
            self.assertEqual(invoke("check", "--boot", edge), (2, f"rowanshift: {says}\n"))
        self.assertEqual(invoke("check", "--boot", data / "none")[0], 2)

    def test_settings_that_promise_more_than_can_be_kept(self) -> None:
        data = folder(self)
        cluster.SmallSystem(data, net(), lambda: 0.0)
        core = data / "core-1.json"
        good = orjson.loads(core.read_bytes())
        zones = {f"z{n}": f"r{n % 2}" for n in range(4)}
        for change, says in (
            ({"faultTolerance": {"machines": 1, "zones": 1}, "zones": zones}, ""),
            (
                {"faultTolerance": {"zones": 2}, "zones": zones},
                "can't be kept: faultTolerance: the loss of 0 machines, 2",
            ),
            (
                {"faultTolerance": {"regions": 1}, "zones": zones},
                "1 regions at once leaves no majority in 4 zones of 2",
            ),
            ({"quorumMember": False}, "can't be kept: quorumMember: false"),
            ({"quorumMember": False, "faultTolerance": {}}, ""),
        ):
            core.write_bytes(orjson.dumps(good | change))
            code, said = invoke("check", "--boot", core)
            self.assertEqual(code, 0)
            self.assertIn(says, said)
            self.assertEqual("can't be kept" in said, bool(says), said)


class Page(unittest.TestCase):
    """``docs/operating-system.md`` against the code."""

    text = (ROOT / "docs" / "operating-system.md").read_text()

    def test_each_event_in_the_code_is_explained(self) -> None:
        events = set()
        for where in WHERE_EVENTS:
            for path in (ROOT / "rowanshift").glob(where):
                events |= set(re.findall(r"event=([a-z_]+)", path.read_text()))
        told = set(re.findall(r"(?m)^\| `([a-z_]+)", self.text.split("## Log")[1].split("\n## ")[0]))
        self.assertEqual(told, events | {"primary", "no_primary"})

    def test_each_limit_in_the_code_has_its_row_and_value(self) -> None:
        rows = re.findall(r"(?m)^\| `([a-z._]+)` \| `([A-Z_]+)` \| (\S+) \| (\S+) \|", self.text)
        told = {(module, name): float(value) for module, name, value, _ in rows}
        self.assertEqual(len(told), len(rows))
        found = {}
        for where in WHERE_LIMITS:
            for path in (ROOT / "rowanshift").glob(where):
                module = ".".join(path.relative_to(ROOT / "rowanshift").with_suffix("").parts)
                body = ast.parse(path.read_text()).body
                names = {
                    node.id
                    for line in body
                    if isinstance(line, ast.Assign)
                    for target in line.targets
                    for node in ast.walk(target)
                    if isinstance(node, ast.Name) and node.id.isupper()
                }
                values = vars(importlib.import_module(f"rowanshift.{module}"))
                found |= {
                    (module, name): float(values[name])
                    for name in names
                    if type(values[name]) in (int, float) and name != "FORMAT"
                }
        self.assertEqual(told, found)


PROGRAM = """
import signal
signal.signal(signal.SIGINT, signal.default_int_handler)  # which is ignored where the tests run in the background
from rowanshift.emulation.cluster import demo
raise SystemExit(demo(True, {!r}))
"""


class Demo(unittest.TestCase):
    def test_one_streamed_request_is_shown_and_it_ends(self) -> None:
        said = []
        with mock.patch.object(cluster, "say", said.append):
            trio.run(cluster.play, folder(self), False, net())
        text = "\n".join(said)
        self.assertRegex(text, r"Primary: 127\.\S+, epoch \d+; in sync: 127\.\S+, 127\.\S+; witnesses: ")
        self.assertIn("PUT /config: 200; revision 1 is on 2 disks", text)
        events = [line for line in said if "  id " in line]
        self.assertEqual(len(events), 5, text)
        self.assertEqual([line.endswith("(the last)") for line in events], [False] * 4 + [True])
        self.assertEqual(said[-1], "  200, 5 events")

    def test_the_command_goes_on_until_it_is_ended_and_removes_its_data(self) -> None:
        for number, status in ((signal.SIGINT, 0), (signal.SIGTERM, 0)):
            with (
                tempfile.TemporaryDirectory() as temporary,
                subprocess.Popen(
                    [
                        sys.executable,
                        "-c",
                        PROGRAM.format(net()),
                    ],
                    cwd=ROOT,
                    env=os.environ | {"TMPDIR": temporary},
                    stdout=subprocess.PIPE,
                    text=True,
                ) as process,
            ):
                try:
                    lines = iter(process.stdout.readline, "")
                    self.assertTrue(any("Ctrl-C" in line for line in lines))
                    self.assertEqual(len(os.listdir(temporary)), 1)
                    process.send_signal(number)
                    process.stdout.read()
                    self.assertEqual(process.wait(WITHIN), status)
                    self.assertEqual(os.listdir(temporary), [])
                finally:
                    process.kill()

    def test_an_address_in_use_is_told(self) -> None:
        place = net()
        with socket.create_server((f"{place}1", cluster.CONTROL)):
            done = subprocess.run(
                [
                    sys.executable,
                    "-c",
                    f"from rowanshift.emulation.cluster import demo; raise SystemExit(demo(False, {place!r}))",
                ],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=60,
            )
        self.assertEqual(done.returncode, 1, done.stderr)
        self.assertRegex(done.stderr, rf"rowanshift: .*{place}1:{cluster.CONTROL}")

    def test_which_demo_is_run(self) -> None:
        old = mock.Mock(return_value=0)
        with (
            mock.patch.object(cluster, "demo", return_value=0) as new,
            mock.patch.dict(sys.modules, {"rowanshift.emulation.demo": mock.Mock(demo=old)}),
        ):
            invoke("demo", "--no-stay")
            invoke("demo")
            self.assertEqual((new.mock_calls, old.mock_calls), ([mock.call(False), mock.call(True)], []))
            invoke("demo", "--router")
            invoke("demo", "--no-router")
            invoke("demo", "-c", "x", "--no-stay")
            example = Path("examples/config.json")
            self.assertEqual(
                old.mock_calls,
                [mock.call(example, True, True), mock.call(example, True, False), mock.call(Path("x"), False, True)],
            )


if __name__ == "__main__":
    unittest.main()
