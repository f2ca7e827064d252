"""A configuration that would make the control state larger than its limit is rejected with 413."""

import unittest
from unittest import mock

import trio

from rowanshift.controlplane.api import ConfigResource
from rowanshift.controlplane.change_loader import ChangeLoader
from rowanshift.controlplane.replication import StateTooLarge
from rowanshift.transport.http_connection import Message
from rowanshift.transport.runtime import SYSTEM_RUNTIME


class TooLarge(unittest.TestCase):
    def test_a_configuration_over_the_state_limit_is_answered_with_413(self) -> None:
        replica_runner = mock.Mock(change=mock.AsyncMock(side_effect=StateTooLarge))
        put = Message(b"PUT", b"/config", fields=[(b"if-match", b"0")], body=b"{}")
        response = trio.run(ConfigResource(replica_runner, 1, 8500, ChangeLoader(SYSTEM_RUNTIME)).call, put)
        self.assertEqual(response.status, 413)
        self.assertIn(b"16773120 bytes", response.body)
