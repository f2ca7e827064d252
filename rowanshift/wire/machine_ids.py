"""Machine ids: IPv4 addresses as integers."""


def machine_id_from_ip(ip: str) -> int:
    """The id of the machine with this IPv4 address. Raises ``ValueError`` if ``ip`` isn't four numbers."""
    a, b, c, d = (int(octet) for octet in ip.split("."))
    return a << 24 | b << 16 | c << 8 | d


def ip_from_machine_id(machine_id: int) -> str:
    """The IPv4 address of a machine."""
    return ".".join(str(machine_id >> shift & 255) for shift in (24, 16, 8, 0))
