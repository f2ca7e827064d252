"""What can't be measured or read, each as one clear message."""


class CapacityError(Exception):
    """Asked for what can't be done; the command ends with 2."""


class BadSteps(CapacityError, ValueError):
    """Steps that are no rising whole numbers within their bounds."""


class DoesNotFit(CapacityError):
    """A step that would take over half of the machine's memory, or more descriptors than there are."""


class BadResults(CapacityError, ValueError):
    """A file of results that can't be read, or one of another format."""


class NoPlots(CapacityError):
    """matplotlib, the extra ``plots``, isn't installed."""


class StepFailed(CapacityError):
    """A step did not end within its time, or its process ended."""
