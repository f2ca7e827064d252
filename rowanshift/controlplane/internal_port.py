"""The internal port of a core machine, to which routers connect for polls and other core machines for replication."""

from __future__ import annotations

import trio
from loguru import logger

from rowanshift.controlplane.poll_endpoint import PollEndpoint
from rowanshift.controlplane.record_kinds import CODEC, CoordinationHello, Hello
from rowanshift.controlplane.replica_runner import ReplicaRunner
from rowanshift.transport.record_links import ConnectionFailed, RecordReader
from rowanshift.transport.runtime import Nursery, Runtime
from rowanshift.transport.streams import Listener, Stream
from rowanshift.wire.errors import MalformedRecord

MAX_CONNECTIONS = 2048  # concurrent connections; further ones are closed at once
ACCEPT_RETRY_SECONDS = 0.02  # delay after a failed accept


class InternalPort:
    """Accepts connections, and passes each to the poll endpoint or to a replica.

    ``coordination`` runs the replica of the coordination state, None if no application requires it.
    """

    def __init__(
        self,
        runtime: Runtime,
        replica_runner: ReplicaRunner,
        poll_endpoint: PollEndpoint,
        coordination: ReplicaRunner | None = None,
    ) -> None:
        self.runtime = runtime
        self.replica_runner = replica_runner
        self.poll_endpoint = poll_endpoint
        self.coordination = coordination
        self.connections = 0  # number of open connections

    async def accept(self, listener: Listener, nursery: Nursery) -> None:
        """Accept connections and serve each in its own task, until cancelled."""
        while True:
            await listener.wait()
            try:
                stream = listener.accept()
            except BlockingIOError:
                continue
            except OSError:
                await self.runtime.pause(ACCEPT_RETRY_SECONDS)
                continue
            if self.connections >= MAX_CONNECTIONS:
                stream.close()
                continue
            nursery.start_soon(self._serve, stream)

    async def _serve(self, stream: Stream) -> None:
        """Serve one connection of a router or a core machine until it ends."""
        self.connections += 1
        try:
            await self._serve_records(stream)
        except MalformedRecord as error:
            logger.warning("event=bad_record why={!r}", str(error))
        except (ConnectionFailed, OSError, trio.ClosedResourceError, trio.TooSlowError):
            pass  # the peer reconnects
        except Exception:  # a defect ends this connection, but not the process
            logger.exception("event=internal_connection_failed")
        finally:
            self.connections -= 1
            stream.close()

    async def _serve_records(self, stream: Stream) -> None:
        """Serve the records of a connection. Connections of core machines start with the hello of a replica."""
        reader = RecordReader(stream, CODEC)
        number, record = await reader.next()
        if isinstance(record, Hello):
            await self.replica_runner.receive_from(reader, record.machine)
        if isinstance(record, CoordinationHello):
            if self.coordination is None:
                raise MalformedRecord(
                    "received a CoordinationHello, but this machine runs no replica of the coordination state"
                )
            await self.coordination.receive_from(reader, record.machine)
        while True:
            await self.poll_endpoint.serve(stream, number, record)
            number, record = await reader.next()
