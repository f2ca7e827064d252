"""Deterministic simulation: all machines of a fleet run in one process, on a clock that jumps to the next event."""
