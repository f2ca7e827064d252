"""Errors of the operators' commands, each with the exit status of the command line."""

from __future__ import annotations

EXIT_FAILED = 1
EXIT_UNUSABLE_INPUT = 2  # the status that argparse uses for invalid options


class AdminError(Exception):
    """Base class: the text is printed to the operator and ``exit_status`` is the command's exit status."""

    exit_status = EXIT_FAILED


class NoAnswer(AdminError):
    """No control address gave a conclusive answer. The command may be repeated unchanged.

    ``request_sent`` tells whether a machine may have received the request and acted on it.
    """

    def __init__(self, reason: str, request_sent: bool = False) -> None:
        super().__init__(reason)
        self.request_sent = request_sent


class ChangeOutcomeUnknown(NoAnswer):
    """A change of the configuration was sent, and no machine confirmed whether it is in force."""

    def __init__(self, reason: str) -> None:
        super().__init__(
            f"{reason}; the change may or may not be in force: repeat the command unchanged", request_sent=True
        )


class RequestRefused(AdminError):
    """The control plane rejected the request with an HTTP status and a reason. Repeating it does not help."""

    def __init__(self, http_status: int, reason: str) -> None:
        super().__init__(f"{http_status}: {reason}")
        self.http_status = http_status


class UnusableInput(AdminError):
    """A file, directory or address given by the operator is unusable; nothing was sent."""

    exit_status = EXIT_UNUSABLE_INPUT
