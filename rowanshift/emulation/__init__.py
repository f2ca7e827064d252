"""Stand-ins of what a router meets: one implementation each, on real loopback sockets and the virtual
network."""
