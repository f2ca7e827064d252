"""Errors of the router."""


class DataPlaneError(Exception):
    """Base class of the router's own errors; the text says what failed."""


class UnreadableConfiguration(DataPlaneError, ValueError):
    """A configuration from the control plane that this release can't read; the router keeps the one before."""
