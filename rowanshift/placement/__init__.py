"""Placement of keys on servers, shared by both programs: consistent hashing, hot keys and their shadows. No I/O."""
