"""The command ``config diff``: the reported differences, which never contain API keys."""

import unittest

from rowanshift.admin import configuration_diff
from rowanshift.emulation import cluster
from tests.support.small_system import SmallSystemCase


def differences(before: dict, after: dict) -> list[str]:
    return [str(difference) for difference in configuration_diff.differences(before, after)]


class RunningSystem(SmallSystemCase):
    def test_differences_from_the_configuration_in_force(self) -> None:
        self.put(self.write("base.json", self.next_configuration()))
        revision = self.revision()
        same = self.write("same.json", self.next_configuration())
        self.assertEqual(
            self.invoke("config", "diff", same), (0, f"revision {revision} -> {revision + 1}\nno difference\n")
        )
        other = self.next_configuration(tenants=[{"name": "demo", "apiKeys": ["private-1"]}])
        code, output = self.invoke("config", "diff", self.write("other.json", other))
        self.assertEqual((code, output.splitlines()[1:]), (0, ["~ tenant demo: 1 keys added, 1 removed"]))


class Differences(unittest.TestCase):
    def test_all_differences_are_reported_without_api_keys(self) -> None:
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
            differences(cluster.CONFIG, after),
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
        output = "\n".join(differences(after, cluster.CONFIG) + differences({}, after))
        for line in ("- route new.example /chat/", "- tenant other", "- service more"):
            self.assertIn(line, output)
        for key in ("key-0", "key-1", "key-2", "key-3", cluster.KEY):
            self.assertNotIn(key, output)
        self.assertEqual(differences(after, after | {"tenants": None})[0], "~ tenants: keys are no longer checked")
        self.assertEqual(differences({}, {"tenants": []}), ["~ tenants: keys are checked from now on"])
