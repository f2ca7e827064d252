"""Finds the error to report when a process ends with an exception group."""


def first_of(group: BaseException) -> BaseException:
    """The first leaf error of nested exception groups; an error that is no group is returned itself."""
    error = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
