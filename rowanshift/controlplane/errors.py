"""Errors of the control plane: rejected changes, calls with an unknown outcome, and data that cannot be decoded.

Storage errors are in ``store``; errors of the replication protocol are in ``replication``.
"""


class ControlPlaneError(Exception):
    """Base class of the control plane's errors; the message may be shown to operators."""


class InvalidConfiguration(ControlPlaneError, ValueError):
    """An invalid configuration or patch (status 400); the operator must correct it before sending it again.

    ``path`` is the location in the JSON document, empty for the document itself; ``reason`` says what is invalid.
    Neither contains an API key.
    """

    status = 400

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}" if path else reason)
        self.path = path
        self.reason = reason


class StaleMatch(ControlPlaneError, ValueError):
    """A change that is based on another revision than the ``current`` one (status 412)."""

    status = 412

    def __init__(self, current: int, if_match: str | None) -> None:
        given = "no If-Match" if if_match is None else f"If-Match {if_match[:40]!r}"
        super().__init__(f"{given}, while revision {current} is current")
        self.current = current
        self.if_match = if_match


class InvalidVersion(ControlPlaneError, ValueError):
    """An invalid model version (status 400): ``path`` is the name of the field, ``reason`` says what is invalid."""

    status = 400

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path
        self.reason = reason


class OrderTooOld(ControlPlaneError, ValueError):
    """An order that may have been dropped from the order history.

    It is unknown whether the order was applied, so it is not rejected as stale. ``highest_dropped`` is the highest
    revision that was dropped from the history.
    """

    def __init__(self, revision: int, highest_dropped: int) -> None:
        super().__init__(
            f"revision {revision}: the history of orders up to revision {highest_dropped} has been dropped"
        )
        self.revision = revision
        self.highest_dropped = highest_dropped


class BadControlState(ControlPlaneError, ValueError):
    """Bytes that cannot be decoded as a control state."""


class OutcomeUnknown(ControlPlaneError):
    """A change whose outcome is unknown: it may or may not be in force. It is safe to send it again."""

    def __init__(self) -> None:
        super().__init__("not on enough disks in time: it may or may not be in force")


class NotConfirmed(ControlPlaneError):
    """A majority did not confirm in time that this machine is the primary; nothing was changed. It is safe to retry."""

    def __init__(self) -> None:
        super().__init__("this machine could not confirm that it is the primary")


class BadEndpointList(ControlPlaneError, ValueError):
    """A response of the platform that is not a valid endpoint list; the last valid list stays in use."""
