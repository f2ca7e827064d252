"""The core: holds the control state on disk, acknowledges changes to it, and hands it to the counters."""
