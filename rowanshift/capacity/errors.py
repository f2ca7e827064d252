"""Errors of the capacity command, each with one message for the operator."""


class CapacityError(Exception):
    """Base class. The command prints the message and exits with status 2."""


class BadSteps(CapacityError, ValueError):
    """Options or step sizes that are malformed, not increasing or out of bounds."""


class DoesNotFit(CapacityError):
    """A step that needs more than half of the machine's memory, or more descriptors than the process may open."""


class BadResults(CapacityError, ValueError):
    """A results file that is unreadable, malformed or of another format version."""


class NoPlots(CapacityError):
    """matplotlib (the extra ``plots``) is not installed."""


class StepFailed(CapacityError):
    """A step exceeded its time limit, or its measured process exited."""
