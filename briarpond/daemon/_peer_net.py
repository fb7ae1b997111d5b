"""Connections between peers: framed calls out, answers in."""

import socket
from collections.abc import Callable

from circuits import BaseComponent, handler
from circuits.net.events import close
from circuits.net.sockets import TCPServer

from briarpond.conf import Address
from briarpond.logs import log_warning
from briarpond.net import Clock, Connection, Connector, Timer
from briarpond.peers import Envelope, FrameAssembler, decode_frame, encode_frame

CALL_TIMEOUT_S = 1.5
MAX_PEER_CONNECTIONS = 2_000
READ_BYTES = 64 * 1024

AnswerDone = Callable[[Envelope | None], None]


class _PeerConn:
    """Connection to one peer with the calls that wait for an answer."""

    def __init__(self, caller: "PeerCaller", address: Address) -> None:
        self.address = address
        self.conn: Connection | None = None
        self._caller = caller
        self._frames = FrameAssembler()
        self._waiting: dict[str, tuple[AnswerDone, Timer]] = {}
        self._unsent = bytearray()

    def call(self, envelope: Envelope, done: AnswerDone) -> None:
        clock = self._caller.clock
        timer = clock.after(CALL_TIMEOUT_S, self._lose)
        self._waiting[envelope.call] = (done, timer)
        data = encode_frame(envelope, self._caller.secret)
        if self.conn is None:
            self.conn = self._caller.connector.open(self.address, self, CALL_TIMEOUT_S)
        if self.conn.established:
            self.conn.send(data)
        else:
            self._unsent += data

    def on_open(self) -> None:
        assert self.conn is not None
        self.conn.send(bytes(self._unsent))
        self._unsent.clear()

    def on_data(self, data: bytes) -> None:
        frames = self._frames.feed(data)
        if frames.is_error():
            self._lose()
            return
        for frame in frames.ok:
            decoded = decode_frame(frame, self._caller.secret)
            if decoded.is_error():
                log_warning("peer_frame", peer=self.address, code=decoded.error.code.value)
                self._lose()
                return
            waiting = self._waiting.pop(decoded.ok.call, None)
            if waiting is not None:
                waiting[1].cancel()
                waiting[0](decoded.ok)

    def on_closed(self, established: bool) -> None:
        self._lose()

    def _lose(self) -> None:
        """End the connection; every waiting call has no answer."""
        self._caller.forget(self)
        if self.conn is not None:
            self.conn.close()
        waiting, self._waiting = self._waiting, {}
        for done, timer in waiting.values():
            timer.cancel()
            done(None)


class PeerCaller:
    """Makes calls to peers over one connection each."""

    def __init__(self, connector: Connector, clock: Clock, secret: bytes) -> None:
        self.connector = connector
        self.clock = clock
        self.secret = secret
        self._conns: dict[Address, _PeerConn] = {}

    def call(self, address: Address, envelope: Envelope, done: AnswerDone) -> None:
        """Send a call; `done` gets its answer, or None if none comes in time."""
        conn = self._conns.get(address)
        if conn is None:
            conn = self._conns[address] = _PeerConn(self, address)
        conn.call(envelope, done)

    def forget(self, conn: _PeerConn) -> None:
        """Drop a connection that has ended."""
        if self._conns.get(conn.address) is conn:
            del self._conns[conn.address]


class PeerServer(BaseComponent):
    """Answers the calls of peers on the peers' port."""

    channel = "peers"

    def __init__(self, address: Address, answer: Callable[[Envelope], Envelope | None], secret):
        super().__init__()
        self._answer = answer
        self._secret = secret
        self._frames: dict[socket.socket, FrameAssembler] = {}
        self.server = TCPServer(
            (address.host, address.port), channel=self.channel, bufsize=READ_BYTES
        ).register(self)

    @handler("connect")
    def _on_connect(self, sock: socket.socket, *peer) -> None:
        if len(self._frames) >= MAX_PEER_CONNECTIONS:
            self.fire(close(sock))
            return
        self._frames[sock] = FrameAssembler()

    @handler("disconnect")
    def _on_disconnect(self, sock: socket.socket) -> None:
        self._frames.pop(sock, None)

    @handler("read")
    def _on_bytes(self, sock: socket.socket, data: bytes) -> None:
        assembler = self._frames.get(sock)
        if assembler is None:
            return
        frames = assembler.feed(data)
        if frames.is_error():
            self._refuse(sock, frames.error.code.value)
            return
        for frame in frames.ok:
            decoded = decode_frame(frame, self._secret)
            if decoded.is_error():
                self._refuse(sock, decoded.error.code.value)
                return
            answer = self._answer(decoded.ok)
            if answer is not None and sock.fileno() >= 0:
                self.server.write(sock, encode_frame(answer, self._secret))

    def _refuse(self, sock: socket.socket, code: str) -> None:
        log_warning("peer_refused", code=code)
        self._frames.pop(sock, None)
        self.fire(close(sock))
