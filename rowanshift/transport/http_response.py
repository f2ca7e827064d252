"""Short HTTP/1.1 answers whose whole body is known when they are sent."""

from dataclasses import dataclass, field
from http import HTTPStatus

from rowanshift.transport.http_connection import Fields

REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
RETRY_AFTER_SECONDS = b"0.3"  # after which a caller that is refused may ask another machine


@dataclass(slots=True, frozen=True)
class Response:
    """Status, JSON body, and further header fields."""

    status: int
    body: bytes = b""
    fields: Fields = field(default_factory=list)

    def encode(self, keep_alive: bool) -> bytes:
        """Return the bytes on the wire; without ``keep_alive`` they announce the connection's end."""
        lines = [b"HTTP/1.1 %d %s" % (self.status, REASONS.get(self.status, b""))]
        lines += [b"%s: %s" % pair for pair in self.fields]
        if self.body:
            lines.append(b"Content-Type: application/json")
        lines.append(b"Content-Length: %d" % len(self.body))
        if not keep_alive:
            lines.append(b"Connection: close")
        return b"\r\n".join([*lines, b"", self.body])


def unavailable(reason: str) -> Response:
    """Return 503 with the time after which to ask again."""
    return Response(503, error_body(reason), [(b"Retry-After", RETRY_AFTER_SECONDS)])


def error_body(reason: str) -> bytes:
    """Return the JSON body that tells an error's reason."""
    escaped = "".join(c if c.isprintable() and c not in '"\\' else f"\\u{ord(c) & 0xFFFF:04x}" for c in reason)
    return b'{"error":"%s"}' % escaped.encode()
