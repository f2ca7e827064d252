"""The commands ``config get``, ``put`` and ``patch`` on a running system, and ``config check``."""

import unittest

import orjson

from rowanshift.emulation import cluster
from tests.support.helpers import invoke
from tests.support.small_system import SmallSystemCase, temporary_folder


class Changes(SmallSystemCase):
    def test_a_configuration_is_put_and_read_back(self) -> None:
        config = self.next_configuration()
        path = self.write("put.json", config)
        for control in self.controls:  # any machine: redirects are followed, and repetitions are recognized
            code, output = self.invoke("config", "put", path, at=control)
            self.assertEqual((code, output), (0, f"revision {config['revision']} is in force\n"))
        code, output = self.invoke("config", "get")
        self.assertEqual((code, orjson.loads(output)), (0, config))
        saved = self.folder / "kept.json"
        code, output = self.invoke("config", "get", "-o", saved)
        self.assertEqual((code, saved.read_bytes()), (0, path.read_bytes()))
        self.assertEqual(saved.stat().st_mode & 0o777, 0o600)
        self.assertIn(f"revision {config['revision']}", output)
        self.assertNotIn(cluster.KEY, output)
        later = self.write("later.json", self.next_configuration(routes=[]))
        self.assertEqual(self.invoke("config", "put", later)[0], 0)
        code, output = self.invoke("config", "put", path)  # repeating an earlier put does not revert to it
        self.assertEqual(code, 1)
        self.assertIn(f"revision {config['revision']} was accepted earlier", output)

    def test_a_rejected_put_prints_the_control_planes_reason(self) -> None:
        self.put(self.write("a.json", self.next_configuration()))
        current = self.revision()
        path = self.write("b.json", self.next_configuration(limits={}))
        code, output = self.invoke("config", "put", path, "--if-match", current - 1)
        reason = f"412: If-Match '{current - 1}', while revision {current} is current"
        self.assertEqual((code, output), (1, f"rowanshift: {reason}\n"))
        path = self.write("b.json", self.next_configuration(revision=current, limits={}))
        code, output = self.invoke("config", "put", path)
        self.assertEqual((code, output[:23]), (1, "rowanshift: 400: revisi"))
        self.assertEqual(self.revision(), current)
        path = self.write("b.json", self.next_configuration())
        self.assertEqual(self.invoke("config", "put", path, "--if-match", current)[0], 0)

    def test_a_patch_is_compared_and_applied(self) -> None:
        self.put(self.write("base.json", self.next_configuration()))
        base = self.revision()
        added = {"name": "extra", "hostname": "extra.example", "pathPrefix": "/", "backend": "chat", "timeoutMs": 9}
        path = self.write("patch.json", {"revision": base + 1, "upsert": {"routes": [added]}})
        expected = (0, f"revision {base} -> {base + 1}\n+ route extra.example /\n")
        self.assertEqual(self.invoke("config", "diff", "--patch", path), expected)
        for control in self.controls:  # any machine recognizes a repetition
            self.assertEqual(
                self.invoke("config", "patch", path, at=control), (0, f"revision {base + 1} is in force\n")
            )
        output = self.invoke("config", "get")[1]
        self.assertEqual(orjson.loads(output)["routes"][-1], added)

    def test_invalid_patches_are_rejected(self) -> None:
        self.put(self.write("base.json", self.next_configuration()))
        base = self.revision()
        path = self.write("patch.json", {"revision": base + 1, "upsert": {"limits": []}})
        code, output = self.invoke("config", "patch", path)
        self.assertEqual((code, output[:30]), (1, "rowanshift: 400: upsert.limits"))
        code, output = self.invoke("config", "diff", "--patch", path)
        self.assertEqual((code, f"{path}: upsert.limits" in output), (2, True))
        path = self.write("patch.json", {"revision": base + 1})
        code, output = self.invoke("config", "patch", path, "--if-match", base - 1)
        reason = f"412: If-Match '{base - 1}', while revision {base} is current"
        self.assertEqual((code, output), (1, f"rowanshift: {reason}\n"))
        self.assertEqual(self.revision(), base)


class Check(unittest.TestCase):
    def test_a_configuration_is_checked_as_the_control_plane_does(self) -> None:
        path = temporary_folder(self) / "c.json"
        path.write_bytes(orjson.dumps(cluster.CONFIG))
        self.assertEqual(
            invoke("config", "check", path), (0, f"{path}: revision 1 can be put: 1 routes, 1 services, 1 tenants\n")
        )
        path.write_bytes(orjson.dumps(cluster.CONFIG | {"backends": []}))
        self.assertEqual(
            invoke("config", "check", path), (2, f"rowanshift: {path}: routes[0].backend: unknown service 'chat'\n")
        )
        for body in (b"", b"[]", b'{"revision":1'):
            path.write_bytes(body)
            for command in (("check",), ("put", "--at", "127.0.0.1:1"), ("diff", "--at", "127.0.0.1:1")):
                code, output = invoke("config", command[0], path, *command[1:])
                self.assertEqual(code, 2)
                self.assertTrue(output.startswith(f"rowanshift: {path}: expected a JSON object"), output)
        self.assertEqual(invoke("config", "check", path.parent / "none")[0], 2)
