"""The durable state of a core machine: opening its disk at startup and decoding the state on it."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from loguru import logger

from rowanshift.controlplane.machine_disk import CoreRuntime, Disk
from rowanshift.controlplane.record_kinds import CODEC
from rowanshift.controlplane.replication import DurableState
from rowanshift.controlplane.store import STORE_DIRECTORY, DamagedRecord, NewerFormat, StoreError
from rowanshift.wire.codec import FRAME_HEADER
from rowanshift.wire.errors import MalformedRecord

DISK_RETRY_SECONDS = 0.5  # between attempts to open the disk


@dataclass(frozen=True, slots=True)
class OpenedDisk:
    """The disk, None if the machine has none, and the durable state on it, None if it is empty or damaged."""

    disk: Disk | None
    durable_state: DurableState | None


async def open_disk(
    runtime: CoreRuntime, data_directory: Path | None, store_directory: str = STORE_DIRECTORY
) -> OpenedDisk:
    """Open a store on the machine's disk and read it, retrying until that succeeds.

    A damaged disk is treated as empty: the replica recovers its state from the others. Raises ``NewerFormat``.
    """
    if data_directory is None:
        return OpenedDisk(None, None)
    disk = runtime.disk(data_directory / store_directory)
    while True:
        try:
            await runtime.in_thread(disk.open)
            record = await runtime.in_thread(disk.read)
            if disk.damage:  # the intact slot may be older than the machine's last promise
                raise DamagedRecord(disk.damage)
            return OpenedDisk(disk, decode_durable_state(record))
        except NewerFormat:
            raise
        except (DamagedRecord, MalformedRecord) as error:
            logger.error("event=disk_damaged why={!r}", str(error))
            return OpenedDisk(disk, None)
        except StoreError as error:
            logger.error("event=disk_not_open why={!r}", str(error))
            await runtime.pause(DISK_RETRY_SECONDS)


def decode_durable_state(record: bytes | None) -> DurableState | None:
    """Decode the record of a disk, None if there is none. Raises ``MalformedRecord``."""
    if record is None:
        return None
    if len(record) < FRAME_HEADER.size:
        raise MalformedRecord(
            f"record cut short: {len(record)} bytes, shorter than its frame header of {FRAME_HEADER.size} bytes"
        )
    _, _, kind, _, _ = FRAME_HEADER.unpack_from(record)
    durable_state = CODEC.unpack(kind, record[FRAME_HEADER.size :])
    if not isinstance(durable_state, DurableState):
        raise MalformedRecord(f"the record is a {type(durable_state).__name__} where a DurableState belongs")
    return durable_state
