"""Heartbeats to and from the other nodes, as UDP datagrams."""

import random
import socket
from collections.abc import Callable

from circuits import BaseComponent

from briarpond.directory import (
    ConfigConfirmation,
    Heartbeat,
    HeartbeatTable,
    decode_datagram,
    encode_confirmation,
    encode_heartbeat,
)
from briarpond.ids import NodeId
from briarpond.logs import log_event, log_warning
from briarpond.net import Address, Clock, DirectPoller

# Time between two heartbeats to the same node, as long as MAX_HEARTBEATS_PER_S allows it.
HEARTBEAT_INTERVAL_S = 0.2
# Largest number of periodic heartbeats that a node sends in a second, to all others together;
# with more nodes the interval grows.
MAX_HEARTBEATS_PER_S = 120.0
# Buffer for one datagram.
MAX_DATAGRAM_BYTES = 65_000
# Datagrams that are read before the event loop goes on to other work.
MAX_DATAGRAMS_PER_READ = 64


class HeartbeatLink(BaseComponent):
    """Sends this node's heartbeat to all known nodes and receives theirs.

    Parameters
    ----------
    clock : Clock
        Source of time and timers.
    poller : DirectPoller
        Calls `on_readable` when the socket has datagrams.
    address : Address
        UDP address to bind; all nodes use the same port.
    node : NodeId
        Name of this node.
    make_heartbeat : callable
        Returns the heartbeat to send.
    on_heartbeat : callable
        Takes each heartbeat of another node.
    make_confirmation : callable
        Takes the heartbeat of another node; returns the answer to send to it, or None.
    on_confirmation : callable
        Takes each confirmation that another node sent to this one.

    Attributes
    ----------
    heartbeats : HeartbeatTable
        Last heartbeat of each other node.
    """

    channel = "peers"

    def __init__(
        self,
        clock: Clock,
        poller: DirectPoller,
        address: Address,
        node: NodeId,
        make_heartbeat: Callable[[], Heartbeat],
        on_heartbeat: Callable[[Heartbeat], None],
        make_confirmation: Callable[[Heartbeat], ConfigConfirmation | None],
        on_confirmation: Callable[[ConfigConfirmation], None],
    ) -> None:
        super().__init__()
        self.heartbeats = HeartbeatTable(node)
        self._clock = clock
        self._node = node
        self._port = address.port
        self._make_heartbeat = make_heartbeat
        self._on_heartbeat = on_heartbeat
        self._make_confirmation = make_confirmation
        self._on_confirmation = on_confirmation
        self._hosts: dict[NodeId, str] = {}
        self._unread = 0
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(address)
        poller.addReader(self, self._sock)

    def start(self) -> None:
        """Start to send periodic heartbeats."""
        self._send_periodically()

    def add_nodes(self, hosts: dict[NodeId, str]) -> None:
        """Add the registered nodes, given as hosts by name, to those that get heartbeats."""
        self._hosts.update({node: host for node, host in hosts.items() if node != self._node})

    def forget(self, node: NodeId) -> None:
        """Send no more heartbeats to a node that has left."""
        self._hosts.pop(node, None)

    def send_now(self) -> None:
        """Send a heartbeat to all known nodes immediately."""
        data = encode_heartbeat(self._make_heartbeat())
        for host in set(self._hosts.values()):
            self._send(data, host)

    def on_readable(self, _sock: socket.socket) -> None:
        """Receive waiting datagrams; called by the poller."""
        for _ in range(MAX_DATAGRAMS_PER_READ):
            try:
                data, _address = self._sock.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as exc:
                log_warning("beat_not_read", error=str(exc))
                return
            self._handle_datagram(data)

    def on_writable(self, _sock: socket.socket) -> None:
        """Do nothing; the poller never calls this, as no writer is registered."""

    def _handle_datagram(self, data: bytes) -> None:
        message = decode_datagram(data)
        if message.is_error():
            log_warning("beat_malformed", error=message.error)
        elif isinstance(message.ok, ConfigConfirmation):
            self._on_confirmation(message.ok)
        elif message.ok.node != self._node:
            self._handle_heartbeat(message.ok)

    def _handle_heartbeat(self, heartbeat: Heartbeat) -> None:
        host = heartbeat.caller_address.host
        self._hosts[heartbeat.node] = host
        if self.heartbeats.record(heartbeat, self._clock.now()):
            log_event("node_heard", node=heartbeat.node, host=host)
        self._on_heartbeat(heartbeat)
        confirmation = self._make_confirmation(heartbeat)
        if confirmation is not None:
            self._send(encode_confirmation(confirmation), host)

    def _send(self, data: bytes, host: str) -> None:
        try:
            self._sock.sendto(data, (host, self._port))
        except OSError as exc:
            # No retry: the next heartbeat carries the same content.
            log_warning("beat_not_sent", host=host, error=str(exc))

    def _send_periodically(self) -> None:
        self.send_now()
        interval = max(HEARTBEAT_INTERVAL_S, len(self._hosts) / MAX_HEARTBEATS_PER_S)
        self._clock.after(interval * random.uniform(0.9, 1.1), self._send_periodically)
