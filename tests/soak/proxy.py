"""A TCP proxy on the loopback interface that injects network faults."""

import asyncio
import contextlib
from enum import Enum


class Fault(Enum):
    """Network fault that a proxy applies to all its connections.

    DELAY adds 150 ms to each chunk of data. PARTITION holds back the data of both
    directions until the fault ends, ONE_WAY_PARTITION only the data from the target to
    the client. REFUSE resets new connections; those that are open go on.
    """

    NONE = "none"
    DELAY = "delay"
    PARTITION = "partition"
    ONE_WAY_PARTITION = "one-way-partition"
    REFUSE = "refuse"


class Proxy:
    """Relays connections to `target_port` under the network fault `fault`."""

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.fault = Fault.NONE
        self._writers: set = set()

    async def start(self) -> int:
        """Start to listen; return the port."""
        self._server = await asyncio.start_server(self._relay, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    def reset_all(self) -> None:
        """Abort all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _relay(self, reader, writer) -> None:
        if self.fault is Fault.REFUSE:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers.add(target_writer)
        await asyncio.gather(
            self._copy(reader, target_writer, to_client=False),
            self._copy(target_reader, writer, to_client=True),
        )
        self._writers -= {writer, target_writer}

    async def _copy(self, reader, writer, to_client: bool) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                if self.fault is Fault.DELAY:
                    await asyncio.sleep(0.15)
                while self.fault is Fault.PARTITION or (
                    self.fault is Fault.ONE_WAY_PARTITION and to_client
                ):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        writer.close()
