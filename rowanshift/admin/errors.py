"""The ways in which a command for operators fails, each with the exit status that the command line ends with."""

from __future__ import annotations

EXIT_FAILED = 1
EXIT_UNUSABLE_INPUT = 2  # the status that argparse uses for a wrong option


class AdminError(Exception):
    """Base class: the text is printed to the operator, ``exit_status`` is the exit status of the command."""

    exit_status = EXIT_FAILED


class NoAnswer(AdminError):
    """No control address gave a clear answer. The command may be repeated as it is.

    ``request_sent`` says whether a machine may have received the request, and so may have acted on it.
    """

    def __init__(self, reason: str, request_sent: bool = False) -> None:
        super().__init__(reason)
        self.request_sent = request_sent


class ChangeOutcomeUnknown(NoAnswer):
    """A change of the configuration was sent, and no machine said whether it is in force."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"{reason}; it may or may not be in force: send it again as it is", request_sent=True)


class RequestRefused(AdminError):
    """The control plane refused the request, with an HTTP status and a reason. Repeating it does not help."""

    def __init__(self, http_status: int, reason: str) -> None:
        super().__init__(f"{http_status}: {reason}")
        self.http_status = http_status


class UnusableInput(AdminError):
    """A file, a folder or an address that the operator named can't be used; nothing was sent."""

    exit_status = EXIT_UNUSABLE_INPUT
