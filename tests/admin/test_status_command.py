"""The command ``status``, and the other commands for a running system if no machine answers."""

from rowanshift.emulation import cluster
from tests.support.small_system import SmallSystemCase


class Status(SmallSystemCase):
    def test_all_machines_are_discovered_from_any_machine(self) -> None:
        def roles() -> list[int]:  # a machine that missed the latest epoch learns it from the next heartbeat
            rows = self.statuses()
            return [sum(row["primary"] for row in rows), len({row["epoch"] for row in rows})]

        for control in self.controls:
            self.wait_for_output(lambda: roles() == [1, 1])
            code, output = self.invoke("status", at=control)
            self.assertEqual(code, 0, output)
            lines = output.splitlines()
            self.assertEqual(
                [line.split()[0] for line in lines[1:]], [control.split(":")[0] for control in self.controls]
            )
            self.assertEqual(sum(" primary " in line for line in lines[1:]), 1, output)
            self.assertEqual(sum(" backup " in line for line in lines[1:]), 1, output)
        row = next(row for row in self.statuses() if row["primary"])
        self.assertEqual((len(row["inSync"]), len(row["witnesses"])), (2, 3))
        self.assertEqual(row["primaryHint"], row["machine"])

    def test_an_unreachable_machine_is_listed_and_the_others_are_queried(self) -> None:
        unreachable = f"{self.system.net}99:{cluster.CONTROL}"
        code, output = self.invoke("status", at=f"{unreachable},{self.controls[0]}")
        self.assertEqual(code, 0, output)
        self.assertRegex(output, rf"(?m)^{self.system.net}99 .*no answer.*REFUSED")
        code, output = self.invoke("status", at=unreachable)
        self.assertEqual((code, output.splitlines()[-1]), (1, "no primary"))
        for command in (("members",), ("duties",), ("config", "get")):
            code, output = self.invoke(*command, at=unreachable)
            self.assertEqual((code, output[:12], output.count("\n")), (1, "rowanshift: ", 1), command)
