"""The list of nodes at the store, by which nodes first hear of each other."""

from collections.abc import Callable

import msgspec

from briarpond.ids import NodeId
from briarpond.logs import log_event, log_warning
from briarpond.net import Clock, LossReason
from briarpond.platform import (
    NODES_TOPIC,
    Entry,
    GatewaySettings,
    append_entry,
    decode_newest,
    read_newest,
)

from ._store_link import StoreLink

CALL_TIMEOUT_S = 1.0
RETRY_S = 0.5
READ_EVERY_S = 30.0


class NodeRow(msgspec.Struct):
    """What a node registers."""

    host: str


class NodeRegistry:
    """Registers this node, then reads who else is there.

    Each node writes before it reads; so of any two at least one sees the other,
    and the other learns of it by its heartbeat.
    """

    def __init__(
        self,
        store: StoreLink,
        clock: Clock,
        settings: GatewaySettings,
        on_nodes: Callable[[dict[NodeId, str]], None],
    ) -> None:
        self._store = store
        self._clock = clock
        self._settings = settings
        self._on_nodes = on_nodes
        self._left = False
        self._found: dict[NodeId, str] = {}

    def start(self) -> None:
        """Register and read."""
        value = msgspec.json.encode(NodeRow(self._settings.host))
        call = append_entry(NODES_TOPIC, self._settings.node, value)
        self._store.call(call, CALL_TIMEOUT_S, self._registered, self._not_registered)

    def leave(self) -> None:
        """Take this node off the list."""
        self._left = True
        call = append_entry(NODES_TOPIC, self._settings.node, None)
        self._store.call(
            call,
            CALL_TIMEOUT_S,
            lambda status, body: log_event("node_unregistered", status=status),
            lambda reason: log_warning("node_not_unregistered", reason=reason.value),
        )

    def _registered(self, status: int, _body: bytes) -> None:
        if status == 200:
            log_event("node_registered", node=self._settings.node)
            self._read(None)
        elif not self._left:
            self._clock.after(RETRY_S, self.start)

    def _not_registered(self, reason: LossReason) -> None:
        log_warning("node_not_registered", reason=reason.value)
        if not self._left:
            self._clock.after(RETRY_S, self.start)

    def _read(self, after: str | None) -> None:
        if self._left:
            return
        call = read_newest(NODES_TOPIC, after)
        self._store.call(call, CALL_TIMEOUT_S, self._got_page, self._not_read)

    def _got_page(self, status: int, body: bytes) -> None:
        page = decode_newest(body) if status == 200 else None
        if page is None or page.is_error():
            self._clock.after(RETRY_S, lambda: self._read(None))
            return
        for entry in page.ok.entries:
            self._note(entry)
        if page.ok.more_after is not None:
            self._read(page.ok.more_after)
            return
        found, self._found = self._found, {}
        self._on_nodes(found)
        self._clock.after(READ_EVERY_S, lambda: self._read(None))

    def _note(self, entry: Entry) -> None:
        if entry.value is None:
            return
        try:
            row = msgspec.json.decode(entry.value, type=NodeRow)
        except msgspec.MsgspecError as exc:
            log_warning("node_unreadable", key=entry.key, error=str(exc))
            return
        self._found[NodeId(entry.key)] = row.host

    def _not_read(self, reason: LossReason) -> None:
        log_warning("nodes_not_read", reason=reason.value)
        self._clock.after(RETRY_S, lambda: self._read(None))
