"""``docs/operating-system.md`` against the code: its tables of log events and of limits."""

import ast
import importlib
import re
import unittest
from pathlib import Path

ROOT = Path(__file__).parents[1]
WHERE_LIMITS = (
    "dataplane/*.py",
    "controlplane/**/*.py",
    "transport/record_links.py",
    "transport/call_*.py",
    "dataplane/retry_budget.py",
    "wire/version_announcements.py",
)
WHERE_EVENTS = "dataplane/*.py", "controlplane/**/*.py", "transport/record_links.py", "transport/call_*.py"


class OperatingPage(unittest.TestCase):
    """Each row of the page has its counterpart in the code, and the other way round."""

    text = (ROOT / "docs" / "operating-system.md").read_text()

    def test_each_event_in_the_code_is_explained(self) -> None:
        events = set()
        for where in WHERE_EVENTS:
            for path in (ROOT / "rowanshift").glob(where):
                events |= set(re.findall(r"event=(?:\{\})?([a-z_]+)", path.read_text()))
        documented = set(re.findall(r"(?m)^\| `([a-z_]+)", self.text.split("## Log")[1].split("\n## ")[0]))
        self.assertEqual(documented, events | {"primary", "no_primary"})

    def test_each_limit_in_the_code_has_its_row_and_value(self) -> None:
        rows = re.findall(r"(?m)^\| `([a-z._]+)` \| `([A-Z_]+)` \| (\S+) \| (\S+) \|", self.text)
        documented = {(module, name): float(value) for module, name, value, _ in rows}
        self.assertEqual(len(documented), len(rows))
        found = {}
        for where in WHERE_LIMITS:
            for path in (ROOT / "rowanshift").glob(where):
                module = ".".join(path.relative_to(ROOT / "rowanshift").with_suffix("").parts)
                body = ast.parse(path.read_text()).body
                names = {
                    node.id
                    for line in body
                    if isinstance(line, ast.Assign)
                    for target in line.targets
                    for node in ast.walk(target)
                    if isinstance(node, ast.Name) and node.id.isupper()
                }
                values = vars(importlib.import_module(f"rowanshift.{module}"))
                found |= {
                    (module, name): float(values[name])
                    for name in names
                    if type(values[name]) in (int, float) and name != "FORMAT"
                }
        self.assertEqual(documented, found)
