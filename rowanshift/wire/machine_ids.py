"""Machines by their IPv4 address as a number, and back."""


def machine_id_from_ip(ip: str) -> int:
    """An IPv4 address as a number."""
    a, b, c, d = (int(part) for part in ip.split("."))
    return a << 24 | b << 16 | c << 8 | d


def ip_from_machine_id(machine: int) -> str:
    """The IPv4 address of a number."""
    return ".".join(str(machine >> shift & 255) for shift in (24, 16, 8, 0))
