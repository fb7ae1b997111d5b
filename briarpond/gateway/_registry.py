"""How a node first finds others: through its settings, otherwise through the store."""

from collections.abc import Callable, Iterable
from typing import Any

import msgspec

from briarpond.decoding import decode_json
from briarpond.logs import log_event, log_warning
from briarpond.net import Clock, LossReason, is_ipv4
from briarpond.platform import (
    NODES_TOPIC,
    GatewaySettings,
    KeyedRecord,
    append_record_request,
    decode_newest,
    newest_records_request,
)

from ._start_wait import SEED_WAIT_S
from ._store_client import StoreClient

# Timeout of a call to the store.
CALL_TIMEOUT_S = 1.0
# Wait before a failed registration or read is repeated.
RETRY_DELAY_S = 0.5
# How often it is checked whether this node has lost contact with all others.
CHECK_INTERVAL_S = 1.0
# How often a candidate for the planner's lease reads the whole list, so that parts of the
# system that have lost sight of each other meet again.
READ_INTERVAL_S = 30.0


class NodeRecord(msgspec.Struct):
    """Value that a node registers under its name.

    Attributes
    ----------
    host : str
        Address at which the node receives datagrams.
    """

    host: str


_decoder: Any = msgspec.json.Decoder(NodeRecord)


class NodeRegistry:
    """Finds other nodes, and lets itself be found by them.

    Nodes that the settings name are tried first. A node that finds nobody there registers at
    the store and reads the list of registered nodes; each node writes before it reads, so of
    any two nodes at least one finds the other. Candidates for the planner's lease register in
    any case, so that the list is never empty for long.

    Parameters
    ----------
    store : StoreClient
        Client of the store.
    clock : Clock
        Source of timers.
    settings : GatewaySettings
        Name and host of this node, and hosts of others.
    add_hosts : callable
        Takes the hosts at which other nodes may be found.
    is_connected : callable
        Returns whether another node has answered lately.
    is_candidate : callable
        Returns whether this node applies for the planner's lease.
    """

    def __init__(
        self,
        store: StoreClient,
        clock: Clock,
        settings: GatewaySettings,
        add_hosts: Callable[[Iterable[str]], None],
        is_connected: Callable[[], bool],
        is_candidate: Callable[[], bool],
    ) -> None:
        self._store = store
        self._clock = clock
        self._settings = settings
        self._add_hosts = add_hosts
        self._is_connected = is_connected
        self._is_candidate = is_candidate
        self._left = False
        self._registered = False
        # Whether what was registered may be missing in the store.
        self._must_repeat = False
        self._busy = False
        self._next_read_at = 0.0

    def start(self) -> None:
        """Try the nodes that the settings name; without any, ask the store at once."""
        self._add_hosts(self._settings.seed_hosts)
        delay = SEED_WAIT_S if self._settings.seed_hosts else 0.0
        self._clock.after(delay, lambda: self._clock.every(CHECK_INTERVAL_S, self._check))

    def on_store_restored(self) -> None:
        """Register again: the copy from which the store has come back may be from before."""
        self._must_repeat = self._registered or self._busy

    def leave(self) -> None:
        """Remove this node from the list; stop registering and reading."""
        self._left = True
        if not self._registered:
            return
        request = append_record_request(NODES_TOPIC, self._settings.node, None)
        self._store.call(
            request,
            CALL_TIMEOUT_S,
            lambda status, body: log_event("node_unregistered", status=status),
            lambda reason: log_warning("node_not_unregistered", reason=reason.value),
        )

    def _check(self) -> None:
        """Register if this node should be in the list, and read the list if that is due."""
        if self._busy or self._left:
            return
        isolated = not self._is_connected()
        must_register = not self._registered and (isolated or self._is_candidate())
        if must_register or self._must_repeat:
            self._register()
        elif isolated or (self._is_candidate() and self._clock.now() >= self._next_read_at):
            self._read(None)

    def _register(self) -> None:
        self._busy = True
        self._must_repeat = False
        value = msgspec.json.encode(NodeRecord(self._settings.host))
        request = append_record_request(NODES_TOPIC, self._settings.node, value)
        self._store.call(request, CALL_TIMEOUT_S, self._on_registered, self._on_register_failed)

    def _on_registered(self, status: int, _body: bytes) -> None:
        if status == 200:
            self._registered = True
            log_event("node_registered", node=self._settings.node)
            self._read(None)
        else:
            self._repeat_later()

    def _on_register_failed(self, reason: LossReason) -> None:
        log_warning("node_not_registered", reason=reason.value)
        self._repeat_later()

    def _repeat_later(self) -> None:
        self._must_repeat = self._must_repeat or self._registered
        self._retry_later()

    def _read(self, after: str | None) -> None:
        self._busy = True
        request = newest_records_request(NODES_TOPIC, after)
        self._store.call(request, CALL_TIMEOUT_S, self._on_page, self._on_read_failed)

    def _on_page(self, status: int, body: bytes) -> None:
        page = decode_newest(body) if status == 200 else None
        if page is None or page.is_error():
            self._retry_later()
            return
        hosts = [host for entry in page.ok.entries if (host := read_host(entry)) is not None]
        self._add_hosts(hosts)
        if page.ok.next_after is not None and not self._left:
            self._read(page.ok.next_after)
            return
        self._busy = False
        self._next_read_at = self._clock.now() + READ_INTERVAL_S

    def _on_read_failed(self, reason: LossReason) -> None:
        log_warning("nodes_not_read", reason=reason.value)
        self._retry_later()

    def _retry_later(self) -> None:
        def retry() -> None:
            self._busy = False
            self._check()

        self._clock.after(RETRY_DELAY_S, retry)


def read_host(entry: KeyedRecord) -> str | None:
    """Return the address of a registered node; None if the record has none that can be used."""
    if entry.value is None:
        return None
    decoded = decode_json(_decoder, entry.value)
    host = decoded.ok.host if decoded.is_ok() else ""
    if is_ipv4(host):
        return host
    log_warning("node_unreadable", key=entry.key)
    return None
