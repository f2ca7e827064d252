"""Why an operator's change is refused."""

MOST_REVISION = 2**63 - 1  # what the stored sheet and the records between processes can bear


class InvalidConfiguration(ValueError):
    """A configuration that must be answered 400: ``place`` says where in it, ``reason`` why.

    Neither holds an API key.
    """

    status = 400

    def __init__(self, place: str, reason: str) -> None:
        super().__init__(f"{place}: {reason}" if place else reason)
        self.place = place
        self.reason = reason


class StaleMatch(ValueError):
    """A change on top of another version than the ``current`` one, to be answered 412."""

    status = 412

    def __init__(self, current: int, if_match: str | None) -> None:
        told = "no If-Match" if if_match is None else f"If-Match {if_match[:40]!r}"
        super().__init__(f"{told}, while revision {current} is current")
        self.current = current
        self.if_match = if_match
