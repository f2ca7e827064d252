"""Fields of the operator's configuration as pyserde reads them: each checks its type strictly and tells its place."""

import math
from collections.abc import Callable
from dataclasses import make_dataclass
from typing import Any, TypeVar

from serde import SerdeError, disabled, field, from_dict, serde

from rowanshift.controlplane.errors import InvalidConfiguration

T = TypeVar("T")

# Readers of single values: they are called by pyserde with what stands on the wire, and raise
# InvalidConfiguration with the place within the value, which is mostly empty.


def expected(what: str, value: Any) -> InvalidConfiguration:
    """The error for a value of another type."""
    found = "null" if value is None else type(value).__name__
    return InvalidConfiguration("", f"{what} expected, not {found}")


def text(value: Any) -> str:
    """A text."""
    if type(value) is not str:
        raise expected("text", value)
    return value


def number(value: Any) -> float:
    """A finite number, with or without a fraction."""
    if type(value) is int:
        if value.bit_length() > 64:  # nor does JSON's reader let it pass
            raise InvalidConfiguration("", "a number too large")
        return float(value)
    if type(value) is not float:
        raise expected("a number", value)
    if not math.isfinite(value):
        raise InvalidConfiguration("", "a finite number expected")
    return value


def whole(value: Any) -> int:
    """A number without a fraction, however it is written."""
    if type(value) is int:
        return value
    if type(value) is float and value.is_integer():
        return int(value)
    raise expected("a whole number", value)


def flag(value: Any) -> bool:
    """True or false."""
    if type(value) is not bool:
        raise expected("true or false", value)
    return value


def texts(value: Any) -> list[str]:
    """A list of texts."""
    if type(value) is not list:
        raise expected("a list", value)
    for place, item in enumerate(value):
        if type(item) is not str:
            raise InvalidConfiguration(f"[{place}]", "text expected")
    return value


def one(kind: type[T], value: Any) -> T:
    """An object of ``kind``, read by pyserde; what fails in it keeps its place."""
    if type(value) is not dict:
        raise expected("an object", value)
    try:
        return from_dict(kind, value)
    except SerdeError as error:
        inner = error.args[0] if error.args else None
        if isinstance(inner, InvalidConfiguration):
            raise inner from None
        raise InvalidConfiguration("", str(error)) from None


def an(kind: type[T]) -> Callable[[Any], T]:
    """A reader of an object of ``kind``."""
    return lambda value: one(kind, value)


def each(kind: type[T]) -> Callable[[Any], list[T]]:
    """A reader of a list of objects of ``kind``.

    The list is read in one go. Only where that fails are its items read one by one, to tell the place.
    """
    whole_list = serde(make_dataclass(f"{kind.__name__}s", [("items", list[kind])]), type_check=disabled)

    def read(value: Any) -> list[T]:
        if type(value) is not list:
            raise expected("a list", value)
        try:
            return from_dict(whole_list, {"items": value}).items
        except SerdeError as error:
            for place, item in enumerate(value):
                try:
                    one(kind, item)
                except InvalidConfiguration as found:
                    raise inside(f"[{place}]", found) from None
            raise InvalidConfiguration("", str(error)) from None

    return read


def inside(outer: str, error: InvalidConfiguration) -> InvalidConfiguration:
    """The same error, its place told from further out."""
    joint = "." if error.path and not error.path.startswith("[") else ""
    return InvalidConfiguration(f"{outer}{joint}{error.path}", error.reason)


ABSENT: Any = object()
QUICK = {text: str, flag: bool, whole: int}  # values of these types need no reader


def wire(name: str, reader: Callable[[Any], Any], default: Any = ABSENT, factory: Any = None) -> Any:
    """A field that is called ``name`` on the wire and read by ``reader``.

    With a ``default`` (or ``factory``, which makes one) the field may be absent or null.
    """
    optional = factory is not None or default is not ABSENT
    quick = QUICK.get(reader)

    def read(value: Any) -> Any:
        if type(value) is quick:
            return value
        if value is None and optional:
            return factory() if factory is not None else default
        try:
            return reader(value)
        except InvalidConfiguration as error:
            raise inside(name, error) from None

    if factory is not None:
        return field(rename=name, deserializer=read, default_factory=factory)
    if optional:
        return field(rename=name, deserializer=read, default=default)
    return field(rename=name, deserializer=read)
