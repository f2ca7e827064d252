"""A configuration that the control state has no room for."""

import unittest
from unittest import mock

import trio

from rowanshift.controlplane.api import ConfigResource
from rowanshift.controlplane.change_loader import ChangeLoader
from rowanshift.controlplane.replication import StateTooLarge
from rowanshift.transport.http_connection import Message
from rowanshift.transport.runtime import SYSTEM_RUNTIME


class TooLarge(unittest.TestCase):
    def test_a_configuration_that_the_control_state_has_no_room_for(self) -> None:
        node = mock.Mock(change=mock.AsyncMock(side_effect=StateTooLarge))
        put = Message(b"PUT", b"/config", fields=[(b"if-match", b"0")], body=b"{}")
        answer = trio.run(ConfigResource(node, 1, 8500, ChangeLoader(SYSTEM_RUNTIME)).call, put)
        self.assertEqual(answer.status, 413)
        self.assertIn(b"16773120 bytes", answer.body)
