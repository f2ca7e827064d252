"""A client's request: parsed from its HTTP message, and serialized as a server gets it. No I/O."""

from dataclasses import dataclass, field
from typing import NamedTuple

from rowanshift.dataplane.cache_pools import SHARED_POOL_OF_ALL, cache_salt
from rowanshift.dataplane.routing_table import Route, Tenant
from rowanshift.transport.http_connection import Fields, MalformedMessage, Message

ROUTER_FIELDS = frozenset(  # header fields that only the router sets for servers; those of clients are not forwarded
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
SINGLE_FIELDS = (b"request-id", b"deadline-remaining", b"authorization", b"prompt-prefix")  # may occur only once
DEFAULT_DEADLINE_MS = b"60000"  # used if the request has no Deadline-Remaining header
MAX_DEADLINE_MS = 3_600_000.0
MAX_TOKEN_COUNT_DIGITS = 9
LOWEST_PRIORITY = 9  # 0 is the highest


class PromptBlock(NamedTuple):
    """A block of a prompt, the unit of prefix caching."""

    id: bytes
    tokens: int


class TokenCount(NamedTuple):
    """The number of tokens of a request according to its client; 0 if unknown."""

    prompt: int
    max_output: int


@dataclass(slots=True)
class Request:
    """A client's request with its parsed header fields. Times are trio's, in seconds."""

    id: bytes
    method: bytes
    target: bytes
    path: bytes
    host: bytes
    forwarded_fields: Fields  # header fields that are forwarded unchanged
    body: bytes
    api_key: bytes | None  # the bearer token
    deadline: float  # time until which the client waits
    received_at: float
    model: str
    prompt_blocks: tuple[PromptBlock, ...]
    token_count: TokenCount
    last_event_id: bytes | None  # id of the last event received by a client that resumes a stream
    attempted_servers: list[str] = field(default_factory=list)  # ids of the servers that the request was sent to

    @property
    def shared_tokens(self) -> int:
        """The number of tokens in the blocks that other requests may share, which are all but the last."""
        return sum(tokens for _, tokens in self.prompt_blocks[:-1])

    @property
    def prefix(self) -> bytes:
        """The id of the last shared block, or of the only block; the request's id if it has no blocks."""
        if len(self.prompt_blocks) > 1:
            return self.prompt_blocks[-2].id
        return self.prompt_blocks[0].id if self.prompt_blocks else self.id


@dataclass(slots=True)
class ServerFields:
    """The header values that the router adds to a forwarded request."""

    instance_id: str  # id of the server that the request is meant for
    seconds_left: float  # time left until the request's deadline
    version: int  # version of the model's weights; 0: the model has none
    last_event_id: bytes | None = None  # id of the last event that the client received
    fetch_address: bytes | None = None  # where the server may fetch shared prompt blocks
    save_address: bytes | None = None  # the store that the server saves them to
    priority: int | None = None
    cache_pool: bytes = SHARED_POOL_OF_ALL  # the pool of prefix blocks that the request uses


def parse_request(message: Message, now: float) -> Request:
    """Parse a request; raises ``MalformedMessage`` with the status for the client if it is malformed."""
    fields = dict(message.fields)
    if not (id := fields.get(b"request-id")):
        raise MalformedMessage(400, "missing Request-Id header")
    for name in SINGLE_FIELDS:
        if name in fields and sum(field_name == name for field_name, _ in message.fields) > 1:
            raise MalformedMessage(400, f"{name.decode()} header occurs more than once")
    target = message.target
    if target[:1] != b"/":
        target = origin_form(target)
    deadline_ms = parse_milliseconds(fields.get(b"deadline-remaining", DEFAULT_DEADLINE_MS), "Deadline-Remaining")
    scheme, _, token = fields.get(b"authorization", b"").partition(b" ")
    host = fields.get(b"host", b"").lower()
    return Request(
        id,
        message.method,
        target,
        target.split(b"?", 1)[0],
        host.split(b":", 1)[0],
        [pair for pair in message.end_to_end() if pair[0] not in ROUTER_FIELDS],
        message.body,
        token.strip() if scheme.lower() == b"bearer" else None,
        now + min(deadline_ms, MAX_DEADLINE_MS) / 1000,
        now,
        fields.get(b"model-name", b"").decode("latin-1"),
        parse_prompt_blocks(fields.get(b"prompt-prefix", b"")),
        parse_token_count(fields.get(b"token-count", b"")),
        fields.get(b"last-event-id"),
    )


def origin_form(target: bytes) -> bytes:
    """Path and query of a request target in absolute form; raises ``MalformedMessage`` if it is of another form."""
    scheme, separator, rest = target.partition(b"://")
    if not separator or scheme.lower() not in (b"http", b"https"):
        raise MalformedMessage(400, "invalid request target: expected a path or an http(s) URL")
    authority = rest.replace(b"?", b"/", 1).partition(b"/")[0]
    path = rest[len(authority) :]
    return path if path[:1] == b"/" else b"/" + path


def parse_milliseconds(text: bytes, name: str) -> float:
    """Parse a finite, non-negative number of milliseconds; raises ``MalformedMessage`` that names the header."""
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value < float("inf"):
        raise MalformedMessage(400, f"{name} is not a non-negative number of milliseconds")
    return value


def parse_prompt_blocks(text: bytes) -> tuple[PromptBlock, ...]:
    """Parse the blocks of a Prompt-Prefix header.

    Returns none if any block is malformed: the request is then routed without a shared prefix.
    """
    blocks = []
    for block in text.split(b",") if text else ():
        id, colon, tokens = block.strip().partition(b":")
        if not colon or not is_token_count(tokens):
            return ()
        blocks.append(PromptBlock(id, int(tokens)))
    return tuple(blocks)


def parse_token_count(text: bytes) -> TokenCount:
    """Parse a Token-Count header; a number that can't be parsed is 0."""
    prompt, _, output = text.partition(b",")
    prompt, output = prompt.strip(), output.strip()
    return TokenCount(int(prompt) if is_token_count(prompt) else 0, int(output) if is_token_count(output) else 0)


def is_token_count(text: bytes) -> bool:
    """Whether the text is a number of at most ``MAX_TOKEN_COUNT_DIGITS`` digits."""
    return text.isdigit() and len(text) <= MAX_TOKEN_COUNT_DIGITS


def serialize_request(request: Request, tenant: Tenant | None, server_fields: ServerFields) -> bytes:
    """Encode a request as it is sent to a server."""
    lines = [b"%s %s HTTP/1.1" % (request.method, request.target)]
    lines += [b"%s: %s" % pair for pair in request.forwarded_fields]
    lines.append(b"Deadline-Remaining: %d" % max(1, int(server_fields.seconds_left * 1000)))
    lines.append(b"Expect-Instance: " + server_fields.instance_id.encode())
    if tenant is not None:
        lines.append(b"Tenant-Name: " + tenant.name)
    if server_fields.last_event_id is not None:
        lines.append(b"Last-Event-Id: " + server_fields.last_event_id)
    if server_fields.version:
        lines.append(b"Expect-Version: %d" % server_fields.version)
    if server_fields.version or server_fields.cache_pool:
        lines.append(b"Cache-Salt: " + cache_salt(server_fields.cache_pool, server_fields.version))
    if server_fields.version and server_fields.fetch_address is not None:
        lines.append(b"Kv-Fetch: " + server_fields.fetch_address)
    if server_fields.version and server_fields.save_address is not None:
        lines.append(b"Kv-Save: " + server_fields.save_address)
    if server_fields.priority is not None:
        lines.append(b"Priority: %d" % server_fields.priority)
    if request.body or request.method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"Content-Length: %d" % len(request.body))
    return b"\r\n".join([*lines, b"", request.body])


def effective_priority(route: Route, tenant: Tenant | None) -> int:
    """The request's priority at a server, 0 being the highest: the tenant's if it has one, else the route's."""
    priority = tenant.priority if tenant is not None and tenant.priority is not None else route.priority
    return min(LOWEST_PRIORITY, max(0, priority))
