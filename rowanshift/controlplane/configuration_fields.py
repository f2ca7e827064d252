"""Deserializers ("readers") for the fields of the configuration, used by pyserde.

A reader is called with a JSON value and checks its type strictly. It raises ``InvalidConfiguration`` with the path of
the error relative to that value; the path is empty if the value itself is invalid.
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

MAX_NUMBER_BITS = 64  # of an integer that is converted to a float; the JSON parser accepts no longer ones


def wrong_type(expected: str, value: Any) -> InvalidConfiguration:
    """Return the error for a value that does not have the expected type."""
    found = "null" if value is None else type(value).__name__
    return InvalidConfiguration("", f"expected {expected}, found {found}")


def read_string(value: Any) -> str:
    """Read a string."""
    if type(value) is not str:
        raise wrong_type("a string", value)
    return value


def read_number(value: Any) -> float:
    """Read a finite number, with or without a fractional part."""
    if type(value) is int:
        if value.bit_length() > MAX_NUMBER_BITS:
            raise InvalidConfiguration(
                "", f"expected a number of at most {MAX_NUMBER_BITS} bits, found {value.bit_length()} bits"
            )
        return float(value)
    if type(value) is not float:
        raise wrong_type("a number", value)
    if not math.isfinite(value):
        raise InvalidConfiguration("", f"expected a finite number, found {value}")
    return value


def read_integer(value: Any) -> int:
    """Read an integer; a float without a fractional part, such as ``4.0``, is accepted."""
    if type(value) is int:
        return value
    if type(value) is float and value.is_integer():
        return int(value)
    raise wrong_type("an integer", value)


def read_boolean(value: Any) -> bool:
    """Read a boolean."""
    if type(value) is not bool:
        raise wrong_type("true or false", value)
    return value


def read_strings(value: Any) -> list[str]:
    """Read a list of strings."""
    if type(value) is not list:
        raise wrong_type("a list", value)
    for index, item in enumerate(value):
        if type(item) is not str:
            raise InvalidConfiguration(f"[{index}]", f"expected a string, found {type(item).__name__}")
    return value


def read_object(record_type: type[T], value: Any) -> T:
    """Read an object into a ``record_type``; errors within the object keep their path."""
    if type(value) is not dict:
        raise wrong_type("an object", value)
    try:
        return from_dict(record_type, value)
    except SerdeError as error:
        inner = error.args[0] if error.args else None
        if isinstance(inner, InvalidConfiguration):
            raise inner from None
        raise InvalidConfiguration("", str(error)) from None


def object_reader(record_type: type[T]) -> Callable[[Any], T]:
    """Return a reader for an object of type ``record_type``."""
    return lambda value: read_object(record_type, value)


def list_reader(record_type: type[T]) -> Callable[[Any], list[T]]:
    """Return a reader for a list of objects of type ``record_type``.

    The list is read in a single pass. If this fails, its items are read one by one to find the path of the error.
    """
    item_list = make_dataclass(f"{record_type.__name__}s", [("items", GenericAlias(list, (record_type,)))])
    list_type: Any = serde(item_list, type_check=disabled)

    def read(value: Any) -> list[T]:
        if type(value) is not list:
            raise wrong_type("a list", value)
        try:
            items: list[T] = from_dict(list_type, {"items": value}).items
        except SerdeError as error:
            for index, item in enumerate(value):
                try:
                    read_object(record_type, item)
                except InvalidConfiguration as item_error:
                    raise with_outer_path(f"[{index}]", item_error) from None
            raise InvalidConfiguration("", str(error)) from None
        return items

    return read


def with_outer_path(outer: str, error: InvalidConfiguration) -> InvalidConfiguration:
    """Return the error with ``outer`` prepended to its path."""
    separator = "." if error.path and not error.path.startswith("[") else ""
    return InvalidConfiguration(f"{outer}{separator}{error.path}", error.reason)


REQUIRED: Any = object()  # sentinel: the field has no default
PLAIN_TYPES: dict[Reader, type] = {read_string: str, read_boolean: bool, read_integer: int}  # accepted without a reader


def json_field(name: str, reader: Reader, default: Any = REQUIRED, factory: Callable[[], Any] | None = None) -> Any:
    """Return a dataclass field that is called ``name`` in the JSON document and is read by ``reader``.

    With a ``default``, or a ``factory`` that creates one, the field may be absent or null.
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
