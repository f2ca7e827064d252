"""The error behind an exception group, for the line that tells why a process ended."""


def first_of(group: BaseException) -> BaseException:
    """The first error within groups of groups, or the error itself."""
    error = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
