"""The command ``members``."""

from rowanshift.emulation import cluster
from tests.support.small_system import SmallSystemCase


class Members(SmallSystemCase):
    def test_routers_with_a_lease_are_listed(self) -> None:
        self.wait_in_system(
            lambda: all(
                router.control_cache.member_count == 2
                for router in self.system.routers
                if hasattr(router, "control_client")
            )
        )
        code, output = self.invoke("members")
        self.assertEqual(code, 0, output)
        self.assertEqual(
            [line.split()[0] for line in output.splitlines()[1:3]], [f"{self.system.net}{n}" for n in cluster.ROUTERS]
        )
        self.assertRegex(output, r"2 routers hold a lease of 127\.")
