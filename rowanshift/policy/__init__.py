"""The parts that decide, by concern; no I/O. ``ring`` and ``hotness`` stand alone, for any front."""
