"""A client's request as the counter reads it, and as a server gets it. No I/O."""

from dataclasses import dataclass, field

from rowanshift.dataplane.routing_table import Route, Tenant
from rowanshift.transport.http_connection import Fields, MalformedMessage, Message

OURS = frozenset(
    [
        b"authorization",
        b"deadline-remaining",
        b"tenant-name",
        b"expect-instance",
        b"expect-version",
        b"cache-salt",
        b"kv-fetch",
        b"kv-save",
        b"priority",
        b"last-event-id",
    ]
)
LONGEST_MS = 3_600_000.0
MOST_DIGITS = 9  # of a number of tokens


@dataclass(slots=True)
class Request:
    """A client's request as it came, with what its fields say."""

    id: bytes
    method: bytes
    target: bytes
    path: bytes
    host: bytes
    fields: Fields  # those that go on as they came
    body: bytes
    key: bytes | None  # the bearer's
    until: float  # trio's time until which the client waits
    came_at: float
    model: str
    parts: tuple[tuple[bytes, int], ...]  # of the prompt: id and tokens
    tokens: tuple[int, int]  # of the prompt, and the most out
    after: bytes | None  # the last event that the client has
    tried: list[str] = field(default_factory=list)  # servers it was sent to

    @property
    def shared(self) -> int:
        """Tokens of the parts that other requests may share: all but the last part."""
        return sum(size for _, size in self.parts[:-1])

    @property
    def prefix(self) -> bytes:
        """The last part that is shared, or the only one."""
        return self.parts[-2][0] if len(self.parts) > 1 else self.parts[0][0] if self.parts else self.id


def request_of(message: Message, now: float) -> Request:
    """``MalformedMessage`` with the status that the client is to get."""
    fields = dict(message.fields)
    if not (id := fields.get(b"request-id")):
        raise MalformedMessage(400, "Request-Id is missing")
    for name in (b"request-id", b"deadline-remaining", b"authorization", b"prompt-prefix"):
        if name in fields and sum(given == name for given, _ in message.fields) > 1:
            raise MalformedMessage(400, f"{name.decode()} stands there twice")
    target = message.target
    if target[:1] != b"/":
        target = absolute(target)
    left = number(fields.get(b"deadline-remaining", b"60000"), "Deadline-Remaining")
    scheme, _, key = fields.get(b"authorization", b"").partition(b" ")
    host = fields.get(b"host", b"").lower()
    return Request(
        id,
        message.method,
        target,
        target.split(b"?", 1)[0],
        host.split(b":", 1)[0],
        [pair for pair in message.end_to_end() if pair[0] not in OURS],
        message.body,
        key.strip() if scheme.lower() == b"bearer" else None,
        now + min(left, LONGEST_MS) / 1000,
        now,
        fields.get(b"model-name", b"").decode("latin-1"),
        parts_of(fields.get(b"prompt-prefix", b"")),
        tokens_of(fields.get(b"token-count", b"")),
        fields.get(b"last-event-id"),
    )


def absolute(target: bytes) -> bytes:
    """The path of a target in absolute form. Raises ``MalformedMessage``."""
    scheme, slashes, rest = target.partition(b"://")
    if not slashes or scheme.lower() not in (b"http", b"https"):
        raise MalformedMessage(400, "a path is wanted")
    host = rest.replace(b"?", b"/", 1).partition(b"/")[0]
    path = rest[len(host) :]
    return path if path[:1] == b"/" else b"/" + path


def number(text: bytes, name: str) -> float:
    """A number of milliseconds. Raises ``MalformedMessage``."""
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value < float("inf"):
        raise MalformedMessage(400, f"{name} is no number of milliseconds")
    return value


def parts_of(text: bytes) -> tuple[tuple[bytes, int], ...]:
    """What can't be read names no parts: the request goes on as it is, and has no prefix in common."""
    made = []
    for part in text.split(b",") if text else ():
        id, colon, tokens = part.strip().partition(b":")
        if not colon or not counted(tokens):
            return ()
        made.append((id, int(tokens)))
    return tuple(made)


def tokens_of(text: bytes) -> tuple[int, int]:
    """Tokens in and, at most, out; 0 where they can't be read."""
    into, _, out = text.partition(b",")
    into, out = into.strip(), out.strip()
    return (int(into) if counted(into) else 0, int(out) if counted(out) else 0)


def counted(text: bytes) -> bool:
    """Whether it is a count of tokens: more digits than ``MOST_DIGITS`` are nonsense."""
    return text.isdigit() and len(text) <= MOST_DIGITS


def salt_of(tenant: Tenant | None, version: int) -> bytes:
    """What parts are kept under: never shared between versions, nor with an isolated tenant."""
    return b"v%d.%s" % (version, tenant.name if tenant is not None and tenant.isolated else b"")


def written(
    request: Request,
    tenant: Tenant | None,
    instance: bytes,
    left: float,
    version: int,
    after: bytes | None,
    fetch: bytes | None,
    save: bytes | None,
    priority: int | None,
) -> bytes:
    """The head and body as they go to a server. ``left`` in seconds; ``version`` 0: the model has none."""
    lines = [b"%s %s HTTP/1.1" % (request.method, request.target)]
    lines += [b"%s: %s" % pair for pair in request.fields]
    lines.append(b"Deadline-Remaining: %d" % max(1, int(left * 1000)))
    lines.append(b"Expect-Instance: " + instance)
    if tenant is not None:
        lines.append(b"Tenant-Name: " + tenant.name)
    if after is not None:
        lines.append(b"Last-Event-Id: " + after)
    if version:
        lines.append(b"Expect-Version: %d" % version)
        lines.append(b"Cache-Salt: " + salt_of(tenant, version))
        if fetch is not None:
            lines.append(b"Kv-Fetch: " + fetch)
        if save is not None:
            lines.append(b"Kv-Save: " + save)
    if priority is not None:
        lines.append(b"Priority: %d" % priority)
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join([*lines, b"", request.body])


def priority_of(route: Route, tenant: Tenant | None) -> int:
    """The rank at a server, 0 the highest: the tenant's before the route's."""
    given = tenant.priority if tenant is not None and tenant.priority is not None else route.priority
    return min(9, max(0, given))
