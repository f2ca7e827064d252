"""Placement of keys on servers, for both programs: consistent hashing, hot keys and their shadows. No I/O."""
