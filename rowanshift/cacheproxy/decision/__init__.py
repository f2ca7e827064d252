"""Decisions of the cache proxy: admission, hot keys, placement, limits and hand-offs. No I/O, no clock."""
