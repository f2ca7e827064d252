"""Revisions of the configuration: which one a change builds on (``If-Match``), and which may follow. No I/O.

``If-Match`` may be quoted as an entity tag. A change without it, or with one that is no number, is answered 412: the
operator ends such a call at once, whereas it would send 428 three times.
"""

from __future__ import annotations

from typing import Any

from rowanshift.controlplane.configuration_fields import read_integer, with_outer_path
from rowanshift.controlplane.control_state import MAX_REVISION
from rowanshift.controlplane.errors import InvalidConfiguration, StaleMatch

MAX_REVISION_DIGITS = 20  # of an ``If-Match`` that is read as a number


def if_match_revision(if_match: str | None) -> int | None:
    """The revision that an ``If-Match`` names, ``None`` where it names none."""
    if if_match is None:
        return None
    tag = if_match.strip().removeprefix("W/")
    if len(tag) >= 2 and tag[0] == tag[-1] == '"':
        tag = tag[1:-1]
    if not (tag.isascii() and tag.isdigit() and len(tag) <= MAX_REVISION_DIGITS):
        return None
    return int(tag)


def check_match(current_revision: int, if_match: str | None) -> None:
    """Raise ``StaleMatch`` unless ``if_match`` names the current revision (0: there is none yet)."""
    if if_match_revision(if_match) != current_revision:
        raise StaleMatch(current_revision, if_match)


def check_follows(current_revision: int, revision: int) -> None:
    """Raise ``InvalidConfiguration`` unless a revision is above the current one (0: there is none yet)."""
    if revision <= current_revision:
        raise InvalidConfiguration("revision", f"{revision} is not above the current {current_revision}")


def check_change(current_revision: int, if_match: str | None, revision: int) -> None:
    """Whether a configuration of this revision may follow the current one (0: there is none yet).

    Raises ``StaleMatch`` unless ``if_match`` names the current revision, then ``InvalidConfiguration`` unless the new
    one is above it.
    """
    check_match(current_revision, if_match)
    check_follows(current_revision, revision)


def document_revision(document: dict[str, Any]) -> int:
    """The revision of a JSON object whose other fields are not read. Raises ``InvalidConfiguration``."""
    try:
        revision = read_integer(document.get("revision"))
    except InvalidConfiguration as error:
        raise with_outer_path("revision", error) from None
    check_revision_bounds(revision)
    return revision


def check_revision_bounds(revision: int) -> None:
    """Raise ``InvalidConfiguration`` for a revision that can't be stored."""
    if not 0 < revision <= MAX_REVISION:
        raise InvalidConfiguration("revision", f"a number from 1 to {MAX_REVISION} expected")
