"""A disk with names: what the kernel shows of it, and what of that outlasts a loss of power.

A name that was made or renamed is kept or lost by itself unless its directory was synced afterwards, in this life of
the process or in a later one. What is written to a file is kept or lost unless the file was synced. The end of a
process alone loses nothing.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

from rowanshift.controlplane import replication

Name = tuple[str, str]  # a directory, and a name in it
STORE_DIRECTORY: Name = ("data", "store")
DATA_FILE: Name = ("store", "data.mdb")


@dataclass
class FileSystemModel:
    """Names and the one file's content, as shown and as they surely last."""

    shown: set[Name] = field(default_factory=set)
    lasting: set[Name] = field(default_factory=set)
    content: replication.DurableState | None = None
    lasting_content: replication.DurableState | None = None

    def make(self, name: Name) -> None:
        """Make a directory or a file."""
        self.shown.add(name)

    def rename(self, old: Name, new: Name) -> None:
        """Rename, within one directory. Until that is synced, power may bring either name back."""
        self.shown.discard(old)
        self.shown.add(new)

    def sync_directory(self, directory: str) -> None:
        """From now on the names shown in a directory last, and no others of it."""
        others = {name for name in self.lasting if name[0] != directory}
        self.lasting = others | {name for name in self.shown if name[0] == directory}

    def write_unsynced(self, content: replication.DurableState) -> None:
        """Write the file and leave it to the kernel when that reaches the disk."""
        self.content = content

    def sync_file(self) -> None:
        """What is written in the file lasts from now on."""
        self.lasting_content = self.content

    def write(self, content: replication.DurableState) -> None:
        """Write and sync the file."""
        self.write_unsynced(content)
        self.sync_file()

    def read(self) -> replication.DurableState | None:
        """What the file holds; None if there is none."""
        return self.content if {STORE_DIRECTORY, DATA_FILE} <= self.shown else None

    def lose_power(self, random_source: random.Random) -> None:
        """Each name and content that was not synced is kept or lost by itself."""
        unsure = sorted(self.shown ^ self.lasting)
        self.shown = self.shown & self.lasting | {name for name in unsure if random_source.random() < 0.5}
        if self.content is not self.lasting_content and random_source.random() < 0.5:
            self.content = self.lasting_content
        if STORE_DIRECTORY not in self.shown:
            self.shown.discard(DATA_FILE)
        if DATA_FILE not in self.shown:
            self.content = None
        self.lasting, self.lasting_content = set(self.shown), self.content


class StoreModel:
    """The steps of `controlplane.store.Store.open`; a crash may come between any two."""

    @staticmethod
    def open(files: FileSystemModel) -> Iterator[None]:
        """Make what is absent, then sync the directories, whoever made it."""
        files.make(STORE_DIRECTORY)
        yield
        files.make(DATA_FILE)
        yield
        files.sync_directory("store")
        yield
        files.sync_directory("data")
        yield

    @staticmethod
    def write(files: FileSystemModel, content: replication.DurableState) -> None:
        """Write a record and sync it."""
        files.write(content)
