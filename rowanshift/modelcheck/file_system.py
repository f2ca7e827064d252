"""A model of the file system: its visible content, and which part of it survives a power loss.

At a power loss each created or renamed name is kept or lost independently unless its directory was synced afterwards,
by this process or a later one. Content written to a file is kept or lost unless the file was synced. The end of a
process alone loses nothing.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import NamedTuple

from rowanshift.controlplane import replication

NAME_SURVIVAL_PROBABILITY = 0.5  # of a name that was not synced, at a power loss
UNSYNCED_CONTENT_LOSS_PROBABILITY = 0.5  # of content that was not synced, at a power loss


class DirectoryEntry(NamedTuple):
    """A name in a directory."""

    directory: str
    name: str


STORE_DIRECTORY = DirectoryEntry("data", "store")
DATA_FILE = DirectoryEntry("store", "data.mdb")


@dataclass
class FileSystemModel:
    """The names, and the content of the only file, both as visible to processes and as durable on disk."""

    visible: set[DirectoryEntry] = field(default_factory=set)
    durable: set[DirectoryEntry] = field(default_factory=set)
    content: replication.DurableState | None = None
    durable_content: replication.DurableState | None = None

    def create(self, entry: DirectoryEntry) -> None:
        """Create a directory or a file."""
        self.visible.add(entry)

    def rename(self, old: DirectoryEntry, new: DirectoryEntry) -> None:
        """Rename within one directory. Until the directory is synced, either name may survive a power loss."""
        self.visible.discard(old)
        self.visible.add(new)

    def sync_directory(self, directory: str) -> None:
        """Make exactly the visible names of a directory durable."""
        elsewhere = {entry for entry in self.durable if entry.directory != directory}
        self.durable = elsewhere | {entry for entry in self.visible if entry.directory == directory}

    def write_unsynced(self, content: replication.DurableState) -> None:
        """Write the file without syncing it, so that a power loss may revert it."""
        self.content = content

    def sync_file(self) -> None:
        """Make the file's content durable."""
        self.durable_content = self.content

    def write(self, content: replication.DurableState) -> None:
        """Write and sync the file."""
        self.write_unsynced(content)
        self.sync_file()

    def read(self) -> replication.DurableState | None:
        """The file's visible content; ``None`` if the file does not exist."""
        return self.content if {STORE_DIRECTORY, DATA_FILE} <= self.visible else None

    def lose_power(self, random_source: random.Random) -> None:
        """Keep or lose each unsynced name, and the unsynced content, independently of the others."""
        unsynced = sorted(self.visible ^ self.durable)
        kept = {entry for entry in unsynced if random_source.random() < NAME_SURVIVAL_PROBABILITY}
        self.visible = self.visible & self.durable | kept
        if self.content is not self.durable_content and random_source.random() < UNSYNCED_CONTENT_LOSS_PROBABILITY:
            self.content = self.durable_content
        if STORE_DIRECTORY not in self.visible:
            self.visible.discard(DATA_FILE)
        if DATA_FILE not in self.visible:
            self.content = None
        self.durable, self.durable_content = set(self.visible), self.content
