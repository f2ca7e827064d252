"""Checks the revision that a change is based on (``If-Match``) and the revision that it sets. No I/O.

``If-Match`` may be quoted as an entity tag. A change without ``If-Match``, or with a value that is not a number, is
answered with 412: operators' clients give up on 412 immediately, whereas they send the change three times on 428.
"""

from __future__ import annotations

from typing import Any

from rowanshift.controlplane.configuration_fields import read_integer, with_outer_path
from rowanshift.controlplane.control_state import MAX_REVISION
from rowanshift.controlplane.errors import InvalidConfiguration, StaleMatch

MAX_REVISION_DIGITS = 20  # longer values of ``If-Match`` are not parsed as numbers


def if_match_revision(if_match: str | None) -> int | None:
    """Return the revision in an ``If-Match`` value, or ``None`` if it does not contain one."""
    if if_match is None:
        return None
    tag = if_match.strip().removeprefix("W/")
    if len(tag) >= 2 and tag[0] == tag[-1] == '"':
        tag = tag[1:-1]
    if not (tag.isascii() and tag.isdigit() and len(tag) <= MAX_REVISION_DIGITS):
        return None
    return int(tag)


def check_match(current_revision: int, if_match: str | None) -> None:
    """Raise ``StaleMatch`` unless ``if_match`` is the current revision (0 before the first configuration)."""
    if if_match_revision(if_match) != current_revision:
        raise StaleMatch(current_revision, if_match)


def check_follows(current_revision: int, revision: int) -> None:
    """Raise ``InvalidConfiguration`` unless ``revision`` is above the current one (0: no configuration yet)."""
    if revision <= current_revision:
        raise InvalidConfiguration(
            "revision", f"expected a revision above the current {current_revision}, found {revision}"
        )


def check_change(current_revision: int, if_match: str | None, revision: int) -> None:
    """Check that a configuration with this revision may replace the current one (0: no configuration yet).

    Raises ``StaleMatch`` unless ``if_match`` is the current revision, and then ``InvalidConfiguration`` unless the new
    revision is above it.
    """
    check_match(current_revision, if_match)
    check_follows(current_revision, revision)


def document_revision(document: dict[str, Any]) -> int:
    """Return the revision of a JSON object without reading its other fields. Raises ``InvalidConfiguration``."""
    try:
        revision = read_integer(document.get("revision"))
    except InvalidConfiguration as error:
        raise with_outer_path("revision", error) from None
    check_revision_bounds(revision)
    return revision


def check_revision_bounds(revision: int) -> None:
    """Raise ``InvalidConfiguration`` for a revision outside the range that can be stored."""
    if not 0 < revision <= MAX_REVISION:
        raise InvalidConfiguration("revision", f"expected a number from 1 to {MAX_REVISION}, found {revision}")
