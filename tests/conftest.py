"""Marks the tests in KNOWN-RED.txt, which fail because of known faults, as expected failures and reports them.

Each line has the form ``TEST: CAUSE; issue: TITLE``, where TEST is the node id of pytest. The run fails if a listed
test passes, so that its line is removed; if a line contains an unknown test of a collected file; or if there are more
than three lines.
"""

from pathlib import Path

import pytest

KNOWN_RED_FILE = Path(__file__).parents[1] / "KNOWN-RED.txt"
MAX_KNOWN_RED_TESTS = 3


def known_red() -> dict[str, str]:
    """Return the cause by the node id of each listed test."""
    if not KNOWN_RED_FILE.exists():
        return {}
    causes = dict(line.split(": ", 1) for line in KNOWN_RED_FILE.read_text().splitlines() if line.strip())
    if len(causes) > MAX_KNOWN_RED_TESTS:
        raise pytest.UsageError(
            f"{KNOWN_RED_FILE.name}: expected at most {MAX_KNOWN_RED_TESTS} tests, found {len(causes)}"
        )
    return causes


def pytest_collection_modifyitems(session: pytest.Session, items: list[pytest.Item]) -> None:
    causes = known_red()
    collected_names = {item.nodeid for item in items}
    files = {name.partition("::")[0] for name in collected_names}
    is_full_run = not any("::" in argument for argument in session.config.args) and not session.config.option.keyword
    for name in causes:
        if is_full_run and name.partition("::")[0] in files and name not in collected_names:
            raise pytest.UsageError(f"{KNOWN_RED_FILE.name}: unknown test {name}")
    for item in items:
        if item.nodeid in causes:
            item.add_marker(pytest.mark.xfail(reason=causes[item.nodeid], strict=True))


def pytest_terminal_summary(terminalreporter: "pytest.TerminalReporter") -> None:
    for report in terminalreporter.stats.get("xfailed", []):
        terminalreporter.write_line(f"KNOWN RED {report.nodeid}: {known_red().get(report.nodeid, '')}")
