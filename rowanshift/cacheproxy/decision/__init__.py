"""Every decision of the cache proxy: shares, hot keys, placement, limits and hand-offs. No I/O, no clock."""
