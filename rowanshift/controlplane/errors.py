"""Errors of the control plane: why an operator's change is refused, why a call has no outcome, what can't be read.

The errors of the disk are in ``store`` and those of the replication protocol in ``replication``.
"""


class ControlPlaneError(Exception):
    """Base class of the control plane's errors; the text says what failed and may be shown to operators."""


class InvalidConfiguration(ControlPlaneError, ValueError):
    """A configuration or patch that must be answered 400; the operator mends it before sending it again.

    ``path`` says where in the JSON document, empty for the document itself, and ``reason`` why. Neither holds an API
    key.
    """

    status = 400

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}" if path else reason)
        self.path = path
        self.reason = reason


class StaleMatch(ControlPlaneError, ValueError):
    """A change that builds on another revision than the ``current`` one, to be answered 412."""

    status = 412

    def __init__(self, current: int, if_match: str | None) -> None:
        given = "no If-Match" if if_match is None else f"If-Match {if_match[:40]!r}"
        super().__init__(f"{given}, while revision {current} is current")
        self.current = current
        self.if_match = if_match


class InvalidVersion(ControlPlaneError, ValueError):
    """A model version that must be answered 400: ``path`` is the field's name, ``reason`` says why."""

    status = 400

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class OrderTooOld(ControlPlaneError, ValueError):
    """An order older than the order history reaches back: whether it was applied is unknown, so it isn't refused.

    ``highest_dropped`` is the highest revision that the history has dropped.
    """

    def __init__(self, revision: int, highest_dropped: int) -> None:
        super().__init__(f"revision {revision}: orders up to revision {highest_dropped} are no longer remembered")
        self.revision = revision
        self.highest_dropped = highest_dropped


class BadControlState(ControlPlaneError, ValueError):
    """Bytes that are no control state; the text says why."""


class OutcomeUnknown(ControlPlaneError):
    """A change ended without an answer: it may or may not be in force. Sending it again is safe."""

    def __init__(self) -> None:
        super().__init__("not on enough disks in time: it may or may not be in force")


class NotConfirmed(ControlPlaneError):
    """A majority did not confirm in time that this machine is the primary; nothing was changed. Try again."""

    def __init__(self) -> None:
        super().__init__("this machine could not confirm that it is the primary")


class BadEndpointList(ControlPlaneError, ValueError):
    """An answer of the platform that is no list of servers; the list that is known stays in use."""
