"""Ownership of keys by routers."""

import unittest

from rowanshift.dataplane.ownership import owner_of
from rowanshift.wire.machine_ids import machine_id_from_ip


class Members(unittest.TestCase):
    def test_when_a_member_leaves_only_its_keys_change_owner(self):
        members = [machine_id_from_ip(f"10.0.0.{n}") for n in range(1, 8)]
        before = {f"k{n}": owner_of(f"k{n}", members) for n in range(2000)}
        for removed in members:
            remaining = [member for member in members if member != removed]
            share = sum(member == removed for member in before.values())
            self.assertTrue(180 < share < 400, share)
            for key, previous in before.items():
                new = owner_of(key, reversed(remaining))
                self.assertTrue(new == previous if previous != removed else new in remaining)

    def test_without_members_a_key_has_no_owner(self):
        self.assertIsNone(owner_of("k", ()))


if __name__ == "__main__":
    unittest.main()
