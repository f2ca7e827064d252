"""The client for control addresses: redirects, retries, inconclusive and malformed responses, invalid addresses."""

import os
import unittest
from unittest import mock

import orjson
import trio

from rowanshift.admin.client import ATTEMPT_ROUNDS
from rowanshift.emulation import cluster
from rowanshift.transport.call_server import CallServer
from rowanshift.transport.http_response import Response
from rowanshift.transport.memory_budget import MemoryBudget
from rowanshift.transport.runtime import SYSTEM_RUNTIME
from tests.support.helpers import invoke
from tests.support.small_system import TrioThread, temporary_folder, unused_network


class ScriptedAddress(unittest.TestCase):
    """A control address with scripted responses."""

    def serve_script(self, *answers: Response | int):
        """Start the address and return the list of received calls; 307 stands for a redirect to the same address."""
        script = list(answers)
        calls = []

        class Resource:
            async def call(resource, message):
                calls.append((message.method, dict(message.fields).get(b"if-match")))
                answer = script.pop(0) if len(script) > 1 else script[0]
                if answer == 307:
                    return Response(307, b"", [(b"Location", b"http://" + self.at.encode() + message.target)])
                return answer

        async def start(nursery: trio.Nursery) -> None:
            listener = SYSTEM_RUNTIME.listen((ip, 8500), 16)
            server = CallServer({b"/config": Resource(), b"/status": Resource()}, MemoryBudget(64), 1 << 20)
            nursery.start_soon(serve, server, listener, nursery)

        async def serve(server: CallServer, listener, nursery: trio.Nursery) -> None:
            try:
                await server.serve(listener, nursery, trio.sleep)
            finally:
                listener.close()

        ip = f"{unused_network()}1"
        self.at = f"{ip}:8500"
        self.enterContext(TrioThread(start))
        return calls

    def put(self, *more):
        path = temporary_folder(self) / "c.json"
        path.write_bytes(orjson.dumps(cluster.CONFIG | {"revision": 9}))
        return invoke("config", "put", path, "--at", self.at, *more)

    def test_two_redirects_are_followed_but_not_a_third(self) -> None:
        calls = self.serve_script(307, 307, Response(200, b'{"revision":9}'))
        self.assertEqual(self.put("--if-match", 8), (0, "revision 9 is in force\n"))
        self.assertEqual(calls, [(b"PUT", b"8")] * 3)
        calls = self.serve_script(307)
        code, output = self.put("--if-match", 8)
        self.assertEqual((code, len(calls)), (1, 3 * ATTEMPT_ROUNDS))
        self.assertIn("more than 2 redirects", output)

    def test_an_inconclusive_response_is_retried_and_reported(self) -> None:
        inconclusive = Response(503, b'{"error":"not on enough disks in time"}')
        self.serve_script(inconclusive, inconclusive, Response(200, b'{"revision":9}'))
        self.assertEqual(self.put("--if-match", 8)[0], 0)
        self.serve_script(inconclusive)
        code, output = self.put("--if-match", 8)
        self.assertEqual(code, 1)
        self.assertIn("503: not on enough disks in time; the change may or may not be in force", output)

    def test_the_first_configuration_is_based_on_revision_0(self) -> None:
        calls = self.serve_script(Response(404, b'{"error":"no configuration yet"}'), Response(200, b'{"revision":9}'))
        self.assertEqual(self.put()[0], 0)
        self.assertEqual(calls, [(b"GET", None), (b"PUT", b"0")])
        self.serve_script(Response(404, b'{"error":"no configuration yet"}'))
        self.assertEqual(invoke("config", "get", "--at", self.at), (1, "rowanshift: no configuration yet\n"))

    def test_the_outcome_of_a_change_that_was_never_sent_is_known(self) -> None:
        self.at = f"{unused_network()}1:8500"
        code, output = self.put("--if-match", 8)
        self.assertEqual(code, 1)
        self.assertNotIn("may or may not", output)

    def test_malformed_responses(self) -> None:
        for body in (b"", b"[]", b"\xff", b'{"revision":"x"}'):
            self.serve_script(Response(200, body))
            code, output = self.put()
            self.assertEqual((code, output[:12]), (1, "rowanshift: "), body)
            code, output = invoke("status", "--at", self.at)
            self.assertEqual((code, output.splitlines()[-1]), (1, "no primary"), body)


class Addresses(unittest.TestCase):
    def test_missing_and_invalid_addresses(self) -> None:
        with mock.patch.dict(os.environ, ROWANSHIFT_CONTROL=""):
            for command in (("status",), ("members",), ("duties",), ("config", "get"), ("config", "put", "x")):
                code, output = invoke(*command)
                self.assertEqual(code, 2)
                self.assertIn("--at IP:PORT is missing", output)
        self.assertEqual(
            invoke("status", "--at", "nowhere"), (2, "rowanshift: --at: IP:PORT expected, not 'nowhere'\n")
        )
        with mock.patch.dict(os.environ, ROWANSHIFT_CONTROL="of:the:environment"):
            self.assertEqual(invoke("status")[0], 2)
        self.assertEqual(invoke("config")[0], 2)
