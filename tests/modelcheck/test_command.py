"""The model checker's command line: its commands, exit codes and output format."""

from __future__ import annotations

import contextlib
import io
import unittest
from unittest import mock

from rowanshift.modelcheck.__main__ import main, search_line, walk_line
from rowanshift.modelcheck.breadth_first_search import SearchResult
from rowanshift.modelcheck.random_walk import WalkResult


def run(*arguments: str) -> tuple[int, str]:
    """The exit code and the output of a command."""
    printed = io.StringIO()
    with mock.patch("sys.argv", ["rowanshift.modelcheck", *arguments]), contextlib.redirect_stdout(printed):
        return main(), printed.getvalue()


class Commands(unittest.TestCase):
    def test_walks(self) -> None:
        code, printed = run("walks", "--first", "70", "--seeds", "2", "--steps", "300", "--kind", "members")
        self.assertEqual(0, code)
        self.assertRegex(printed, r"^2 walks, \d+ commits, \d+ epochs begun, longest calm \d+\.\d s, 0 bad\n$")

    def test_breadth(self) -> None:
        code, printed = run("breadth", "--start", "takeover", "--events", "1")
        self.assertEqual(0, code)
        form = r"^takeover             BreadthResult\(states=\d+, depth=1, seconds=[\d.e-]+, broken=''\)\n$"
        self.assertRegex(printed, form)

    def test_a_detected_planted_fault(self) -> None:
        code, printed = run("faults", "--fault", "CommitsBeforeOwnSave", "--seeds", "3", "--steps", "300")
        self.assertEqual(0, code)
        self.assertRegex(printed, r"^CommitsBeforeOwnSave +\d+\.\d\d s seed \d+ step \d+ DURABLE: .*\n$")

    def test_an_undetected_planted_fault(self) -> None:
        code, printed = run("faults", "--fault", "CountsAnyStored", "--seeds", "1", "--steps", "10")
        self.assertEqual((1, "CountsAnyStored          -\n"), (code, printed))


class OutputLines(unittest.TestCase):
    def test_of_a_walk(self) -> None:
        form = "Outcome(seed=1, steps=2, broken='KEPT: x', committed=3, epochs=4, stalled='', longest_calm=0.5)"
        self.assertEqual(form, walk_line(WalkResult(1, 2, "KEPT: x", 3, 4, "", 0.5)))

    def test_of_a_search(self) -> None:
        form = "BreadthResult(states=1, depth=2, seconds=0.5, broken='READ: x')"
        self.assertEqual(form, search_line(SearchResult(1, 2, 0.5, "READ: x")))


if __name__ == "__main__":
    unittest.main()
