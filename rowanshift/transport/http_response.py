"""Short HTTP/1.1 responses with a body of known length."""

from dataclasses import dataclass, field
from http import HTTPStatus

from rowanshift.transport.http_connection import Fields

REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
RETRY_AFTER_SECONDS = b"0.3"  # delay before a refused caller tries another machine


@dataclass(slots=True, frozen=True)
class Response:
    """Status, JSON body, and further header fields."""

    status: int
    body: bytes = b""
    fields: Fields = field(default_factory=list)

    def encode(self, keep_alive: bool) -> bytes:
        """Encode the response; without ``keep_alive`` it has the header ``Connection: close``."""
        lines = [b"HTTP/1.1 %d %s" % (self.status, REASONS.get(self.status, b""))]
        lines += [b"%s: %s" % pair for pair in self.fields]
        if self.body:
            lines.append(b"Content-Type: application/json")
        lines.append(b"Content-Length: %d" % len(self.body))
        if not keep_alive:
            lines.append(b"Connection: close")
        return b"\r\n".join([*lines, b"", self.body])


def unavailable(reason: str) -> Response:
    """Return a 503 with a Retry-After header."""
    return Response(503, error_body(reason), [(b"Retry-After", RETRY_AFTER_SECONDS)])


def error_body(reason: str) -> bytes:
    """Return the JSON body of an error response."""
    escaped = "".join(
        char if char.isprintable() and char not in '"\\' else f"\\u{ord(char) & 0xFFFF:04x}" for char in reason
    )
    return b'{"error":"%s"}' % escaped.encode()
