"""The virtual network: all machines of a fleet in one process, on a clock that jumps to the next event."""
