"""A loopback proxy that delays, silences, cuts one way or resets connections."""

import asyncio
import contextlib
from enum import Enum


class Fault(Enum):
    """What is done to the bytes."""

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    ONE_WAY = "one-way"
    REFUSE = "refuse"


class Proxy:
    """Passes connections on to `port`; `fault` holds for all of them."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.fault = Fault.NONE
        self._writers: set = set()

    async def start(self) -> int:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self._server.sockets[0].getsockname()[1]

    def reset_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        if self.fault is Fault.REFUSE:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            writer.transport.abort()
            return
        self._writers.add(far_writer)
        await asyncio.gather(
            self._pass(reader, far_writer, back=False),
            self._pass(far_reader, writer, back=True),
        )
        self._writers -= {writer, far_writer}

    async def _pass(self, reader, writer, back: bool) -> None:
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65_536):
                if self.fault is Fault.DELAY:
                    await asyncio.sleep(0.15)
                while self.fault is Fault.SILENCE or (self.fault is Fault.ONE_WAY and back):
                    await asyncio.sleep(0.05)
                writer.write(data)
                await writer.drain()
        writer.close()
