"""Messages that a fuzzer sends: valid requests with one or two changes, drawn by hypothesis. No I/O."""

import json
from collections.abc import Callable
from copy import deepcopy
from dataclasses import dataclass
from enum import Enum
from typing import Any

from hypothesis import strategies as st

from rowanshift.emulation.cluster import CONFIG, HOST, KEY, MODEL, PREFIX

MAX_CHANGES = 2
LONG_TEXT = "x" * 20_000
NUMBERS = (-1, 0, 1, 2**31, 2**53, 2**63 - 1, 2**63, 2**64, 0.5, 1e308, float("inf"), float("nan"))
TEXTS = ("", " ", "|", "%", "\u00e9", "\x00", "127.0.0.1:81650", "127.0.0.1:0", "nowhere.invalid:80", LONG_TEXT)
VALUES: tuple[Any, ...] = (*NUMBERS, *TEXTS, None, True, False, [], {}, [None], {"": None})
# A revision that is accepted must leave room for a later one.
REVISIONS: tuple[Any, ...] = (-1, 0, 2**64, 0.5, "1", "", None, True, [], {})
FIELD_VALUES = (*map(str, NUMBERS), "", "-", "1,2", "x" * 9000, "\u00e9", "a b", ":", "close")
GARBAGE = (b"\x00", b"\xff\xfe", b"\r\n", b"\r\n\r\n", b" ", b":", b"HTTP/1.1 200 OK\r\n\r\n", b"\x16\x03\x01\x02\x00")


class Port(Enum):
    """A port that takes messages from outside."""

    FRONT = "front"
    READINESS = "readiness"
    CONTROL = "control"


class Ending(Enum):
    """What the sender does after its last byte."""

    END = "ends its sending"
    RESET = "resets the connection"
    LEAVE_OPEN = "sends nothing more"


@dataclass(frozen=True, slots=True)
class Message:
    """Bytes for one connection; they are sent in two pieces if ``pause_at`` is within them."""

    port: Port
    data: bytes
    ending: Ending
    pause_at: int = 0


@dataclass(frozen=True, slots=True)
class Request:
    """A request before it is encoded; ``body`` is a JSON value or absent."""

    method: str
    target: str
    fields: tuple[tuple[str, str], ...]
    body: Any = None

    def encode(self) -> bytes:
        """The request's bytes, with the length of its body."""
        body = b"" if self.body is None else json.dumps(self.body).encode()
        lines = [f"{self.method} {self.target} HTTP/1.1", *(f"{name}: {value}" for name, value in self.fields)]
        if body and not any(name == "Content-Length" for name, _ in self.fields):
            lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode("utf-8") + body


HOST_FIELD = ("Host", HOST)
JSON_FIELDS = (HOST_FIELD, ("Content-Type", "application/json"))
CHANGED_CONFIG = CONFIG | {
    "revision": 2,
    "backends": [*CONFIG["backends"], {"name": "kept", "kvStoreAddress": "127.0.0.1:9", "kvTokenCapacity": 1000}],
}
VALID: dict[Port, tuple[Request, ...]] = {
    Port.FRONT: (
        Request(
            "POST",
            f"{PREFIX}hello",
            (
                HOST_FIELD,
                ("Request-Id", "fuzz"),
                ("Authorization", f"Bearer {KEY}"),
                ("Model-Name", MODEL),
                ("Token-Count", "50,3"),
                ("Prompt-Prefix", "a1:40,b2:10"),
                ("Deadline-Remaining", "2000"),
                ("Expect", "100-continue"),
            ),
            {},
        ),
        Request("HEAD", PREFIX, (HOST_FIELD, ("Request-Id", "fuzz"))),
    ),
    Port.READINESS: (Request("GET", "/readiness", (HOST_FIELD,)),),
    Port.CONTROL: (
        Request("GET", "/config", (HOST_FIELD,)),
        Request("PUT", "/config", (*JSON_FIELDS, ("If-Match", "1")), CHANGED_CONFIG),
        Request("PATCH", "/config", (*JSON_FIELDS, ("If-Match", "1")), {"revision": 2, "routes": CONFIG["routes"]}),
        Request("POST", "/version-put", JSON_FIELDS, {"model": "another", "revision": 2}),
        Request("POST", "/locks/a", JSON_FIELDS, {"leaseHolder": "f", "holdMs": 1000}),
        Request("PUT", "/cells/a", JSON_FIELDS, {"value": "v", "expectedCount": 0}),
        Request("GET", "/watch/a?after=0&waitMs=10", (HOST_FIELD,)),
    ),
}


def places(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    """The paths of all values within a JSON value, but its own."""
    children = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    found = []
    for key, child in children:
        found += [(*path, key), *places(child, (*path, key))]
    return found


def replaced(value: Any, path: tuple[Any, ...], new: Any) -> Any:
    """A copy of a JSON value with another value at a path."""
    copy = deepcopy(value)
    parent = copy
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = new
    return copy


def change_body(draw: Callable[..., Any], request: Request) -> Request:
    """Replace one value within the body."""
    if not (paths := places(request.body)):
        return request
    path = draw(st.sampled_from(paths))
    new = draw(st.sampled_from(REVISIONS if "revision" in path else VALUES))
    return Request(request.method, request.target, request.fields, replaced(request.body, path, new))


def change_field(draw: Callable[..., Any], request: Request) -> Request:
    """Leave out, double or replace one header field, or add one that frames the body."""
    fields = list(request.fields)
    if not fields:
        return request
    index = draw(st.integers(0, len(fields) - 1))
    name, value = fields[index]
    how = draw(st.sampled_from(("leave out", "double", "replace", "add")))
    if how == "leave out":
        del fields[index]
    elif how == "double":
        fields.insert(index, (name, value))
    elif how == "replace":
        fields[index] = name, draw(st.sampled_from(FIELD_VALUES))
    else:
        framing = draw(st.sampled_from(("Content-Length", "Transfer-Encoding", "Connection", "Upgrade")))
        fields.append((framing, draw(st.sampled_from((*FIELD_VALUES, "chunked", "5", "chunked, chunked")))))
    return Request(request.method, request.target, tuple(fields), request.body)


def change_first_line(draw: Callable[..., Any], request: Request) -> Request:
    """Replace the method or the target."""
    if draw(st.booleans()):
        method = draw(st.sampled_from(("DELETE", "OPTIONS", "CONNECT", "PRI", "get", "")))
        return Request(method, request.target, request.fields, request.body)
    targets = ("", "*", "/", "//", "http://[/", f"{PREFIX}%00", request.target + LONG_TEXT, request.target + "?a=%ff")
    return Request(request.method, draw(st.sampled_from(targets)), request.fields, request.body)


def change_bytes(draw: Callable[..., Any], data: bytes) -> bytes:
    """Cut the message, insert bytes into it, or glue it to itself."""
    at = draw(st.integers(0, len(data)))
    how = draw(st.sampled_from(("cut", "insert", "glue")))
    if how == "cut":
        return data[:at]
    if how == "insert":
        garbage: bytes = draw(st.sampled_from(GARBAGE))
        return data[:at] + garbage + data[at:]
    return data + data[at:]


REQUEST_CHANGES = (change_body, change_field, change_first_line)


@st.composite
def messages(draw: Callable[..., Any]) -> Message:
    """A message for one of the ports, with one or two changes."""
    port = draw(st.sampled_from(tuple(Port)))
    request = draw(st.sampled_from(VALID[port]))
    count = draw(st.integers(1, MAX_CHANGES))
    changes_bytes = draw(st.booleans())
    for _ in range(count - changes_bytes):
        request = draw(st.sampled_from(REQUEST_CHANGES))(draw, request)
    data = request.encode()
    if changes_bytes:
        data = change_bytes(draw, data)
    return Message(port, data, draw(st.sampled_from(tuple(Ending))), draw(st.integers(0, len(data))))
