"""The HTTP API for operators: the exact response to each failure."""

import unittest
from unittest import mock

import trio

from rowanshift.controlplane.api import ConfigResource, PrimaryResource, VersionResource
from rowanshift.controlplane.change_loader import ChangeLoader
from rowanshift.controlplane.control_state import ControlState
from rowanshift.controlplane.errors import NotConfirmed, OrderTooOld, OutcomeUnknown
from rowanshift.controlplane.replication import NotPrimary
from rowanshift.transport.http_connection import Message
from rowanshift.transport.http_response import Response
from rowanshift.transport.runtime import SYSTEM_RUNTIME
from rowanshift.wire.machine_ids import machine_id_from_ip

THIS_MACHINE, PRIMARY = machine_id_from_ip("10.0.0.1"), machine_id_from_ip("10.0.0.2")
PORT = 8500


class FailingResource(PrimaryResource):
    """A resource whose calls all raise ``error``."""

    def __init__(self, error: Exception) -> None:
        super().__init__(mock.Mock(), THIS_MACHINE, PORT)
        self.error = error

    async def serve(self, message: Message) -> Response:
        raise self.error


def response_of(resource: PrimaryResource, method: bytes, target: bytes = b"/config", body: bytes = b"") -> Response:
    return trio.run(resource.call, Message(method, target, fields=[], body=body))


class Failures(unittest.TestCase):
    def test_a_change_that_cannot_be_made_now_is_answered_with_503_and_retry_after(self) -> None:
        cases = (
            (NotConfirmed(), b"this machine could not confirm that it is the primary", b"0.3"),
            (
                OutcomeUnknown(),
                b"not on enough disks in time: it may or may not be in force",
                b"0.3",
            ),
            (OrderTooOld(3, 7), b"revision 3: the history of orders up to revision 7 has been dropped", b"1"),
            (NotPrimary(0), b"no primary is known", b"0.3"),
            (NotPrimary(THIS_MACHINE), b"no primary is known", b"0.3"),
        )
        for error, text, retry_after in cases:
            with self.subTest(repr(error)):
                response = response_of(FailingResource(error), b"PUT")
                self.assertEqual((response.status, response.body), (503, b'{"error":"%s"}' % text))
                self.assertEqual(response.fields, [(b"Retry-After", retry_after)])

    def test_a_backup_redirects_to_the_primary(self) -> None:
        response = response_of(FailingResource(NotPrimary(PRIMARY)), b"GET", b"/config?x=1")
        self.assertEqual((response.status, response.body), (307, b""))
        self.assertEqual(response.fields, [(b"Location", b"http://10.0.0.2:8500/config?x=1")])


class Requests(unittest.TestCase):
    def setUp(self) -> None:
        self.runner = mock.Mock(read=mock.AsyncMock(return_value=b""), change=mock.AsyncMock())
        self.config = ConfigResource(self.runner, THIS_MACHINE, PORT, ChangeLoader(SYSTEM_RUNTIME))
        self.version = VersionResource(self.runner, THIS_MACHINE, PORT)

    def test_a_read_without_a_configuration_is_answered_with_404(self) -> None:
        response = response_of(self.config, b"GET")
        self.assertEqual((response.status, response.body), (404, b'{"error":"no configuration yet"}'))

    def test_the_configuration_is_returned_unchanged(self) -> None:
        self.runner.read.return_value = ControlState(3, b'{"revision": 3}').pack()
        response = response_of(self.config, b"GET")
        self.assertEqual((response.status, response.body), (200, b'{"revision": 3}'))

    def test_other_methods_are_answered_with_405(self) -> None:
        self.assertEqual(response_of(self.config, b"POST").status, 405)
        self.assertEqual(response_of(self.version, b"GET").status, 405)

    def test_a_version_without_its_fields_is_answered_with_400(self) -> None:
        for body in (b"", b"[]", b"7", b"{}", b'{"model":"m"}', b'{"revision":1}'):
            with self.subTest(body=body):
                self.assertEqual(response_of(self.version, b"POST", body=body).status, 400)
        self.runner.change.assert_not_called()

    def test_an_announced_version_is_answered_with_200(self) -> None:
        response = response_of(self.version, b"POST", body=b'{"model":"m","revision":2}')
        self.assertEqual((response.status, response.body), (200, b"{}"))


if __name__ == "__main__":
    unittest.main()
