"""Which router owns a key."""

import unittest

from rowanshift.dataplane.ownership import owner_of
from rowanshift.wire.machine_ids import machine_id_from_ip


class Members(unittest.TestCase):
    def test_members_that_change_move_only_their_keys(self):
        members = [machine_id_from_ip(f"10.0.0.{n}") for n in range(1, 8)]
        before = {f"k{n}": owner_of(f"k{n}", members) for n in range(2000)}
        for gone in members:
            left = [member for member in members if member != gone]
            share = sum(member == gone for member in before.values())
            self.assertTrue(180 < share < 400, share)
            for key, had in before.items():
                moved = owner_of(key, reversed(left))
                self.assertTrue(moved == had if had != gone else moved in left)

    def test_no_members(self):
        self.assertIsNone(owner_of("k", ()))


if __name__ == "__main__":
    unittest.main()
