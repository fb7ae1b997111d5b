"""Registration of nodes at the store, through which nodes first find each other."""

from collections.abc import Callable

import msgspec

from briarpond.ids import NodeId
from briarpond.logs import log_event, log_warning
from briarpond.net import Clock, LossReason
from briarpond.platform import (
    NODES_TOPIC,
    GatewaySettings,
    KeyedRecord,
    append_record_request,
    decode_newest,
    newest_records_request,
)

from ._store_link import StoreClient

# Timeout of a call to the store.
CALL_TIMEOUT_S = 1.0
# Wait before a failed registration or read is repeated.
RETRY_DELAY_S = 0.5
# How often the list of nodes is read again.
READ_INTERVAL_S = 30.0


class NodeRecord(msgspec.Struct):
    """Value that a node registers under its name.

    Attributes
    ----------
    host : str
        Address at which the node receives heartbeats.
    """

    host: str


class NodeRegistry:
    """Registers this node at the store, then reads the registered nodes repeatedly.

    Each node writes before it reads. So of any two nodes at least one finds the other in
    the list, and the other learns of it from its heartbeat.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    clock : Clock
        Source of timers.
    settings : GatewaySettings
        Name and host of this node.
    on_nodes : callable
        Called after each complete read with the hosts of all registered nodes, by name.
    """

    def __init__(
        self,
        store: StoreClient,
        clock: Clock,
        settings: GatewaySettings,
        on_nodes: Callable[[dict[NodeId, str]], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._settings = settings
        self._on_nodes = on_nodes
        self._unregistered = False
        self._listed_nodes: dict[NodeId, str] = {}

    def start(self) -> None:
        """Register this node; read the list once that has succeeded."""
        value = msgspec.json.encode(NodeRecord(self._settings.host))
        request = append_record_request(NODES_TOPIC, self._settings.node, value)
        self._store.call(request, CALL_TIMEOUT_S, self._on_registered, self._on_register_failed)

    def leave(self) -> None:
        """Remove this node from the list; stop registering and reading."""
        self._unregistered = True
        request = append_record_request(NODES_TOPIC, self._settings.node, None)
        self._store.call(
            request,
            CALL_TIMEOUT_S,
            lambda status, body: log_event("node_unregistered", status=status),
            lambda reason: log_warning("node_not_unregistered", reason=reason.value),
        )

    def _on_registered(self, status: int, _body: bytes) -> None:
        if status == 200:
            log_event("node_registered", node=self._settings.node)
            self._read(None)
        elif not self._unregistered:
            self._clock.after(RETRY_DELAY_S, self.start)

    def _on_register_failed(self, reason: LossReason) -> None:
        log_warning("node_not_registered", reason=reason.value)
        if not self._unregistered:
            self._clock.after(RETRY_DELAY_S, self.start)

    def _read(self, after: str | None) -> None:
        if self._unregistered:
            return
        request = newest_records_request(NODES_TOPIC, after)
        self._store.call(request, CALL_TIMEOUT_S, self._on_page, self._on_read_failed)

    def _on_page(self, status: int, body: bytes) -> None:
        page = decode_newest(body) if status == 200 else None
        if page is None or page.is_error():
            self._clock.after(RETRY_DELAY_S, lambda: self._read(None))
            return
        for entry in page.ok.entries:
            self._add_node(entry)
        if page.ok.next_after is not None:
            self._read(page.ok.next_after)
            return
        listed_nodes, self._listed_nodes = self._listed_nodes, {}
        self._on_nodes(listed_nodes)
        self._clock.after(READ_INTERVAL_S, lambda: self._read(None))

    def _add_node(self, entry: KeyedRecord) -> None:
        if entry.value is None:
            return
        try:
            node_record = msgspec.json.decode(entry.value, type=NodeRecord)
        except msgspec.MsgspecError as exc:
            log_warning("node_unreadable", key=entry.key, error=str(exc))
            return
        self._listed_nodes[NodeId(entry.key)] = node_record.host

    def _on_read_failed(self, reason: LossReason) -> None:
        log_warning("nodes_not_read", reason=reason.value)
        self._clock.after(RETRY_DELAY_S, lambda: self._read(None))
