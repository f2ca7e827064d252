"""A model of the control plane's store: the order in which it creates, writes and syncs its file."""

from __future__ import annotations

from collections.abc import Iterator

from rowanshift.controlplane import replication
from rowanshift.modelcheck.file_system import DATA_FILE, STORE_DIRECTORY, FileSystemModel


class StoreModel:
    """The steps of `controlplane.store.Store.open`. A crash may occur between any two of them."""

    @staticmethod
    def open(file_system: FileSystemModel) -> Iterator[None]:
        """Create missing files, then sync the directories even if another process created the files."""
        file_system.create(STORE_DIRECTORY)
        yield
        file_system.create(DATA_FILE)
        yield
        file_system.sync_directory(DATA_FILE.directory)
        yield
        file_system.sync_directory(STORE_DIRECTORY.directory)
        yield

    @staticmethod
    def write(file_system: FileSystemModel, content: replication.DurableState) -> None:
        """Write a record and sync it."""
        file_system.write(content)
