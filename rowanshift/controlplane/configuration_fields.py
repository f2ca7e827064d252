"""Readers of the configuration's fields, for pyserde: each checks its type strictly and reports the path.

A reader is called with a JSON value, and raises ``InvalidConfiguration`` with the path within that value, which is
mostly empty.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import make_dataclass
from types import GenericAlias
from typing import Any, TypeVar

from serde import SerdeError, disabled, field, from_dict, serde

from rowanshift.controlplane.errors import InvalidConfiguration

T = TypeVar("T")
Reader = Callable[[Any], Any]

MAX_NUMBER_BITS = 64  # of an integer that is read as a number; JSON's reader lets no longer one pass


def wrong_type(expected: str, value: Any) -> InvalidConfiguration:
    """The error for a value of another type than the expected one."""
    found = "null" if value is None else type(value).__name__
    return InvalidConfiguration("", f"{expected} expected, not {found}")


def read_text(value: Any) -> str:
    """A text."""
    if type(value) is not str:
        raise wrong_type("text", value)
    return value


def read_number(value: Any) -> float:
    """A finite number, with or without a fraction."""
    if type(value) is int:
        if value.bit_length() > MAX_NUMBER_BITS:
            raise InvalidConfiguration("", "a number too large")
        return float(value)
    if type(value) is not float:
        raise wrong_type("a number", value)
    if not math.isfinite(value):
        raise InvalidConfiguration("", "a finite number expected")
    return value


def read_integer(value: Any) -> int:
    """A number without a fraction, however it is written."""
    if type(value) is int:
        return value
    if type(value) is float and value.is_integer():
        return int(value)
    raise wrong_type("a whole number", value)


def read_boolean(value: Any) -> bool:
    """True or false."""
    if type(value) is not bool:
        raise wrong_type("true or false", value)
    return value


def read_texts(value: Any) -> list[str]:
    """A list of texts."""
    if type(value) is not list:
        raise wrong_type("a list", value)
    for index, item in enumerate(value):
        if type(item) is not str:
            raise InvalidConfiguration(f"[{index}]", "text expected")
    return value


def read_object(kind: type[T], value: Any) -> T:
    """An object of ``kind``, read by pyserde; what fails in it keeps its path."""
    if type(value) is not dict:
        raise wrong_type("an object", value)
    try:
        return from_dict(kind, value)
    except SerdeError as error:
        inner = error.args[0] if error.args else None
        if isinstance(inner, InvalidConfiguration):
            raise inner from None
        raise InvalidConfiguration("", str(error)) from None


def object_reader(kind: type[T]) -> Callable[[Any], T]:
    """A reader of an object of ``kind``."""
    return lambda value: read_object(kind, value)


def list_reader(kind: type[T]) -> Callable[[Any], list[T]]:
    """A reader of a list of objects of ``kind``.

    The list is read in one go. Only where that fails are its items read one by one, to find the path.
    """
    item_list = make_dataclass(f"{kind.__name__}s", [("items", GenericAlias(list, (kind,)))])
    list_type: Any = serde(item_list, type_check=disabled)

    def read(value: Any) -> list[T]:
        if type(value) is not list:
            raise wrong_type("a list", value)
        try:
            items: list[T] = from_dict(list_type, {"items": value}).items
        except SerdeError as error:
            for index, item in enumerate(value):
                try:
                    read_object(kind, item)
                except InvalidConfiguration as item_error:
                    raise with_outer_path(f"[{index}]", item_error) from None
            raise InvalidConfiguration("", str(error)) from None
        return items

    return read


def with_outer_path(outer: str, error: InvalidConfiguration) -> InvalidConfiguration:
    """The same error, its path as seen from further out."""
    separator = "." if error.path and not error.path.startswith("[") else ""
    return InvalidConfiguration(f"{outer}{separator}{error.path}", error.reason)


REQUIRED: Any = object()  # stands for no default
PLAIN_TYPES: dict[Reader, type] = {read_text: str, read_boolean: bool, read_integer: int}  # they pass as they are


def json_field(name: str, reader: Reader, default: Any = REQUIRED, factory: Callable[[], Any] | None = None) -> Any:
    """A field that is called ``name`` in the JSON document and read by ``reader``.

    With a ``default`` (or ``factory``, which makes one) the field may be absent or null.
    """
    optional = factory is not None or default is not REQUIRED
    plain_type = PLAIN_TYPES.get(reader)

    def read(value: Any) -> Any:
        if type(value) is plain_type:
            return value
        if value is None and optional:
            return factory() if factory is not None else default
        try:
            return reader(value)
        except InvalidConfiguration as error:
            raise with_outer_path(name, error) from None

    if factory is not None:
        return field(rename=name, deserializer=read, default_factory=factory)
    if optional:
        return field(rename=name, deserializer=read, default=default)
    return field(rename=name, deserializer=read)
