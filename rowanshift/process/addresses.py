"""Addresses of the form IP:PORT, as configurations and the platform's list hold them. No I/O, no name look-ups."""

import socket

MAX_PORT = 65535
MAX_PORT_DIGITS = 5
EXPECTED_ADDRESS = f"IP:PORT with a port from 1 to {MAX_PORT}"


def parse_ip_port(text: str) -> tuple[str, int] | None:
    """The IPv4 address and port; ``None`` if nobody could connect to such an address."""
    ip, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and len(port) <= MAX_PORT_DIGITS and 0 < int(port) <= MAX_PORT):
        return None
    try:
        socket.inet_pton(socket.AF_INET, ip)
    except (OSError, ValueError):
        return None
    return ip, int(port)
