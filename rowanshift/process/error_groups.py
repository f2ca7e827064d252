"""What a group of exceptions was raised for."""


def first_of(group: BaseException) -> BaseException:
    """The first error within groups of groups, or the error itself."""
    error = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error
