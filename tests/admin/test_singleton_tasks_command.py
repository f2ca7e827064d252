"""The command ``duties``: singleton tasks and the rollout of versions."""

from rowanshift.emulation import cluster
from tests.support.small_system import SmallSystemCase


class SingletonTasks(SmallSystemCase):
    def test_tasks_and_the_rollout_of_a_version(self) -> None:
        self.wait_in_system(
            lambda: any(core_service.tasks.registry.records() for core_service in self.system.core_services)
        )
        code, output = self.invoke("duties")
        self.assertEqual(code, 0, output)
        self.assertRegex(output, r"(?m)^reads the list  127\.\S+ +\d+ calls")
        self.assertRegex(output, r"fence \d+; the lease holds for \d+\.\d+ s; 3 servers listed")

        self.system.servers[2].traits.load = 1.5  # loads slowly enough to be observed behind
        self.assertEqual(self.thread.call(self.system.operator.name_version, cluster.MODEL, 2), 200)
        output = self.wait_for_duties(rf"{cluster.MODEL} version 2: 2 of 3 servers; behind: server-23 \(1\)")
        self.assertRegex(output, r"(?m)^longest behind: server-23, for \d+\.\d+ s$")
        self.assertIn("loading: server-23", self.wait_for_duties("loading: server"))
        output = self.wait_for_duties(rf"{cluster.MODEL} version 2: 3 of 3")
        self.assertRegex(output, rf"(?m)^{cluster.MODEL} version 2: 3 of 3 servers$")
        self.assertRegex(output, r"(?m)^orders +127\.\S+ +[3-9] orders")
        self.assertIn(
            "3 of 3 servers", self.wait_for_duties("loading: none")
        )  # the list may report the new version first
