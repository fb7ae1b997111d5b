"""Connections between peers: calls with framed, authenticated envelopes, and their answers."""

import socket
from collections.abc import Callable

from circuits import BaseComponent, handler
from circuits.net.events import close
from circuits.net.sockets import TCPServer

from briarpond.conf import Address
from briarpond.logs import log_warning
from briarpond.net import Clock, Connection, Connector, Timer
from briarpond.peers import Envelope, FrameAssembler, decode_frame, encode_frame

# Wait for an answer; a call that exceeds it ends its connection.
CALL_TIMEOUT_S = 1.5
# Incoming connections beyond which new ones are closed.
MAX_PEER_CONNECTIONS = 2_000
# Most bytes taken from a socket in one read.
READ_BYTES = 64 * 1024

# Called with the answer of a peer, None if there is none.
OnAnswer = Callable[[Envelope | None], None]


class _PeerConnection:
    """Outgoing connection to one peer, with the calls that wait for an answer.

    Attributes
    ----------
    conn : Connection or None
        None until the first call; it is opened by that call.
    """

    def __init__(self, client: "PeerClient", address: Address) -> None:
        self.address = address
        self.conn: Connection | None = None
        self._client = client
        self._assembler = FrameAssembler()
        self._pending_calls: dict[str, tuple[OnAnswer, Timer]] = {}
        self._unsent = bytearray()

    def call(self, envelope: Envelope, on_answer: OnAnswer) -> None:
        clock = self._client.clock
        timer = clock.after(CALL_TIMEOUT_S, self._fail)
        self._pending_calls[envelope.call] = (on_answer, timer)
        data = encode_frame(envelope, self._client.secret)
        if self.conn is None:
            self.conn = self._client.connector.open(self.address, self, CALL_TIMEOUT_S)
        if self.conn.established:
            self.conn.send(data)
        else:
            self._unsent += data

    def on_open(self) -> None:
        assert self.conn is not None
        self.conn.send(bytes(self._unsent))
        self._unsent.clear()

    def on_data(self, data: bytes) -> None:
        frames = self._assembler.feed(data)
        if frames.is_error():
            self._fail()
            return
        for frame in frames.ok:
            decoded = decode_frame(frame, self._client.secret)
            if decoded.is_error():
                log_warning("peer_frame", peer=self.address, code=decoded.error.code.value)
                self._fail()
                return
            pending = self._pending_calls.pop(decoded.ok.call, None)
            if pending is not None:
                pending[1].cancel()
                pending[0](decoded.ok)

    def on_closed(self, established: bool) -> None:
        self._fail()

    def _fail(self) -> None:
        """End the connection; every pending call gets None as its answer."""
        self._client.remove(self)
        if self.conn is not None:
            self.conn.close()
        pending, self._pending_calls = self._pending_calls, {}
        for on_answer, timer in pending.values():
            timer.cancel()
            on_answer(None)


class PeerClient:
    """Calls peers over one connection to each address.

    Parameters
    ----------
    secret : bytes
        Shared secret of the deployment, with which frames are authenticated.
    """

    def __init__(self, connector: Connector, clock: Clock, secret: bytes) -> None:
        self.connector = connector
        self.clock = clock
        self.secret = secret
        self._connections: dict[Address, _PeerConnection] = {}

    def call(self, address: Address, envelope: Envelope, on_answer: OnAnswer) -> None:
        """Send a call; `on_answer` gets the answer, or None if none comes in time."""
        connection = self._connections.get(address)
        if connection is None:
            connection = self._connections[address] = _PeerConnection(self, address)
        connection.call(envelope, on_answer)

    def remove(self, connection: _PeerConnection) -> None:
        """Drop a connection that has ended."""
        if self._connections.get(connection.address) is connection:
            del self._connections[connection.address]


class PeerServer(BaseComponent):
    """Answers calls of peers on the port for peers.

    Parameters
    ----------
    answer : callable
        Returns the answer to an envelope, None if it needs none.
    secret : bytes
        Shared secret of the deployment; a frame whose authentication code is invalid
        ends its connection.
    """

    channel = "peers"

    def __init__(self, address: Address, answer: Callable[[Envelope], Envelope | None], secret):
        super().__init__()
        self._answer = answer
        self._secret = secret
        self._assemblers: dict[socket.socket, FrameAssembler] = {}
        self.server = TCPServer(
            (address.host, address.port), channel=self.channel, bufsize=READ_BYTES
        ).register(self)

    @handler("connect")
    def _on_connect(self, sock: socket.socket, *peer) -> None:
        if len(self._assemblers) >= MAX_PEER_CONNECTIONS:
            self.fire(close(sock))
            return
        self._assemblers[sock] = FrameAssembler()

    @handler("disconnect")
    def _on_disconnect(self, sock: socket.socket) -> None:
        self._assemblers.pop(sock, None)

    @handler("read")
    def _on_read(self, sock: socket.socket, data: bytes) -> None:
        assembler = self._assemblers.get(sock)
        if assembler is None:
            return
        frames = assembler.feed(data)
        if frames.is_error():
            self._close_refused(sock, frames.error.code.value)
            return
        for frame in frames.ok:
            decoded = decode_frame(frame, self._secret)
            if decoded.is_error():
                self._close_refused(sock, decoded.error.code.value)
                return
            answer = self._answer(decoded.ok)
            if answer is not None and sock.fileno() >= 0:
                self.server.write(sock, encode_frame(answer, self._secret))

    def _close_refused(self, sock: socket.socket, code: str) -> None:
        log_warning("peer_refused", code=code)
        self._assemblers.pop(sock, None)
        self.fire(close(sock))
