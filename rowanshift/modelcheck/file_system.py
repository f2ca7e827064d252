"""A modelled file system: what the kernel shows, and which part of that survives a loss of power.

A name that was created or renamed is kept or lost independently unless its directory was synced afterwards, by this
process or a later one. What is written to a file is kept or lost unless the file was synced. The end of a process
alone loses nothing.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import NamedTuple

from rowanshift.controlplane import replication

NAME_SURVIVES = 0.5  # probability that a name which was not synced is kept
CONTENT_SURVIVES = 0.5  # the same of a file's content


class DirectoryEntry(NamedTuple):
    """A name in a directory."""

    directory: str
    name: str


STORE_DIRECTORY = DirectoryEntry("data", "store")
DATA_FILE = DirectoryEntry("store", "data.mdb")


@dataclass
class FileSystemModel:
    """The names and the content of the one file, as visible to processes and as durable on the disk."""

    visible: set[DirectoryEntry] = field(default_factory=set)
    durable: set[DirectoryEntry] = field(default_factory=set)
    content: replication.DurableState | None = None
    durable_content: replication.DurableState | None = None

    def create(self, entry: DirectoryEntry) -> None:
        """Create a directory or a file."""
        self.visible.add(entry)

    def rename(self, old: DirectoryEntry, new: DirectoryEntry) -> None:
        """Rename within one directory. Until that is synced, a loss of power may leave either name."""
        self.visible.discard(old)
        self.visible.add(new)

    def sync_directory(self, directory: str) -> None:
        """Make the visible names of a directory durable, and no others of it."""
        elsewhere = {entry for entry in self.durable if entry.directory != directory}
        self.durable = elsewhere | {entry for entry in self.visible if entry.directory == directory}

    def write_unsynced(self, content: replication.DurableState) -> None:
        """Write the file; the kernel decides when that reaches the disk."""
        self.content = content

    def sync_file(self) -> None:
        """Make the file's content durable."""
        self.durable_content = self.content

    def write(self, content: replication.DurableState) -> None:
        """Write and sync the file."""
        self.write_unsynced(content)
        self.sync_file()

    def read(self) -> replication.DurableState | None:
        """The file's content; ``None`` if there is no file."""
        return self.content if {STORE_DIRECTORY, DATA_FILE} <= self.visible else None

    def lose_power(self, random_source: random.Random) -> None:
        """Keep or lose each name and content that was not synced, independently of the others."""
        unsynced = sorted(self.visible ^ self.durable)
        kept = {entry for entry in unsynced if random_source.random() < NAME_SURVIVES}
        self.visible = self.visible & self.durable | kept
        if self.content is not self.durable_content and random_source.random() < CONTENT_SURVIVES:
            self.content = self.durable_content
        if STORE_DIRECTORY not in self.visible:
            self.visible.discard(DATA_FILE)
        if DATA_FILE not in self.visible:
            self.content = None
        self.durable, self.durable_content = set(self.visible), self.content
