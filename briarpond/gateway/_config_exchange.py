"""Passing of the configuration from node to node, so that few nodes read it from the store."""

import zlib
from collections.abc import Callable

import msgspec

from briarpond.directory import (
    ConfigRecord,
    StorePosition,
    decode_config_record,
    encode_config_record,
)
from briarpond.ids import DataCentre
from briarpond.logs import log_event, log_warning
from briarpond.net import (
    Address,
    Clock,
    HttpClient,
    HttpReply,
    HttpRequest,
    LossReason,
    run_guarded,
)

CONFIG_PATH = "/configuration"
# Timeout of a fetch from another node. A node whose fetches fail for longer than PATIENCE_S
# reads the store.
FETCH_TIMEOUT_S = 0.8
PATIENCE_S = 1.0
# The records are JSON with much repetition; the fastest level makes them small enough.
COMPRESSION_LEVEL = 1
# Position of a node that has not read the operator's records.
UNKNOWN_POSITION = StorePosition()
# Largest configuration that is accepted, uncompressed.
MAX_RECORD_BYTES = 8 * 1024 * 1024


class ConfigExchange:
    """Serves the record of the configuration in force to other nodes, and fetches theirs.

    Parameters
    ----------
    clock : Clock
        Source of time.
    client : HttpClient
        Client for calls to other nodes.
    port : int
        TCP port at which all nodes serve the record.
    age : callable
        Takes the present time; returns the seconds since the configuration in force was
        certainly the newest, None if it is not known.
    on_record : callable
        Takes a fetched record, the time up to which it was the newest, and the host it is from.
    on_fetch_end : callable
        Called after each fetch, also a failed one, when the next may begin.

    Attributes
    ----------
    is_fetching : bool
        Whether a fetch is under way.
    """

    def __init__(
        self,
        clock: Clock,
        client: HttpClient,
        port: int,
        age: Callable[[float], float | None],
        on_record: Callable[[ConfigRecord, float, str], None],
        on_fetch_end: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._client = client
        self._port = port
        self._age = age
        self._on_record = on_record
        self._on_fetch_end = on_fetch_end
        self._offset = 0
        self._compressed: bytes | None = None
        self.is_fetching = False
        self._position: StorePosition | None = None
        self._evacuated: frozenset[DataCentre] = frozenset()
        self._wanted_version = 0
        self._wanted_position = UNKNOWN_POSITION
        self._wanted_since = float("-inf")

    def set_record(self, offset: int, value: bytes) -> None:
        """Serve this record of the configuration from now on."""
        self._offset = offset
        self._compressed = zlib.compress(value, COMPRESSION_LEVEL)

    def set_position(self, position: StorePosition, evacuated: frozenset[DataCentre]) -> None:
        """Serve this position, and the data centres that are evacuated as of it, from now on."""
        self._position = position
        self._evacuated = evacuated

    def answer(self, request: HttpRequest, reply: HttpReply) -> None:
        """Answer another node's request for the record."""
        age = self._age(self._clock.now())
        if request.target != CONFIG_PATH or self._compressed is None or age is None:
            reply.send_whole(404, (), b"")
            return
        record = ConfigRecord(self._offset, age, self._compressed, self._position, self._evacuated)
        reply.send_whole(200, (), encode_config_record(record))

    def expect(self, version: int, position: StorePosition = UNKNOWN_POSITION) -> None:
        """Record that another node has a version, or has applied records up to a position."""
        if version > self._wanted_version or position > self._wanted_position:
            self._wanted_version = max(self._wanted_version, version)
            self._wanted_position = max(self._wanted_position, position)
            self._wanted_since = self._clock.now()

    def fetch(self, version: int, host: str) -> None:
        """Fetch a version that another node has, unless a fetch is under way."""
        now = self._clock.now()
        self.expect(version)
        if self.is_fetching:
            return
        self.is_fetching = True
        self._client.fetch(
            Address(host, self._port),
            "GET",
            CONFIG_PATH,
            (),
            b"",
            FETCH_TIMEOUT_S,
            lambda status, body: self._on_answer(host, now, status, body),
            self._on_failure,
        )

    def may_deliver(self, now: float) -> bool:
        """Whether a newer configuration may still arrive from another node."""
        return now - self._wanted_since < PATIENCE_S

    def _on_answer(self, host: str, requested_at: float, status: int, body: bytes) -> None:
        self.is_fetching = False
        run_guarded("config_record", self._take_answer, host, requested_at, status, body)
        self._on_fetch_end()

    def _take_answer(self, host: str, requested_at: float, status: int, body: bytes) -> None:
        if status != 200:
            return
        record = decode_config_record(body)
        if record.is_error():
            log_warning("config_record_malformed", error=record.error)
            return
        value = _decompress(record.ok.value)
        if value is None:
            log_warning("config_record_malformed", error="not decompressed")
            return
        log_event("config_fetched", offset=record.ok.offset, bytes=len(body))
        newest_at = requested_at - record.ok.age_s
        self._on_record(msgspec.structs.replace(record.ok, value=value), newest_at, host)

    def _on_failure(self, reason: LossReason) -> None:
        self.is_fetching = False
        log_warning("config_not_fetched", reason=reason.value)
        self._on_fetch_end()


def _decompress(data: bytes) -> bytes | None:
    """Return decompressed data; None if it is malformed or too large."""
    decompressor = zlib.decompressobj()
    try:
        value = decompressor.decompress(data, MAX_RECORD_BYTES)
    except zlib.error:
        return None
    return value if decompressor.eof else None
