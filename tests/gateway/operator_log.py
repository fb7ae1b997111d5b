"""Store with the topic of the operator's records, in virtual time, for tests of its readers."""

import base64
import json
import struct
from urllib.parse import parse_qs, urlsplit

from briarpond.net import LossReason

from ..platform_samples import config_bytes

# Time that the store takes to answer.
ANSWER_S = 0.01


class OperatorLog:
    """Answers reads of one topic, and holds back those for which there is no record yet.

    Attributes
    ----------
    records : list of tuple
        Key and value of each record; None as value removes the key.
    visible : int or None
        Offset up to which answers show the records; None shows all.
    rejecting : bool
        Whether each call is rejected.
    calls : int
        Calls so far.
    era : int
        Era that the answers name.
    """

    def __init__(self, clock):
        self.clock = clock
        self.records = [("config", config_bytes(version=7))]
        self.visible = None
        self.rejecting = False
        self.calls = 0
        self.era = 0
        self._is_compacted = False
        self._first_kept = 0

    @property
    def end(self):
        return len(self.records) if self.visible is None else self.visible

    def append(self, key, value=b"{}"):
        self.records.append((key, value))

    def evacuate(self, data_centre):
        self.append(f"evacuate/{data_centre}")

    def cancel(self, data_centre):
        self.append(f"evacuate/{data_centre}", None)

    def compact(self, first_kept=0):
        """Keep only the newest record of each key, and none of a key that was removed.

        Reads then begin at `first_kept` at the earliest.
        """
        self._is_compacted = True
        self._first_kept = first_kept

    def note_era(self, era):
        """Another node has named an era; this store tells its own with each answer."""

    def restore(self, end):
        """Come back from a copy that ends at an offset: the records after it are lost."""
        del self.records[end:]
        self.era += 1

    def call(self, request, timeout_s, on_answer, on_lost):
        self.calls += 1
        query = {key: value[0] for key, value in parse_qs(urlsplit(request.target).query).items()}
        if self.rejecting:
            self.clock.after(ANSWER_S, lambda: on_lost(LossReason.CONNECT_FAILED))
        elif "log-newest" in request.target:
            self.clock.after(ANSWER_S, lambda: on_answer(200, self._newest()))
        else:
            ends_at = self.clock.now() + int(query["waitMs"]) / 1000
            self._read(int(query["from"]), ends_at, self.era, on_answer, on_lost)

    def _newest(self):
        newest = {}
        for offset, (key, value) in enumerate(self.records[: self.end]):
            newest[key] = {"key": key, "offset": offset}
            if value is not None:
                newest[key]["value"] = base64.b64encode(value).decode()
        entries = [row for row in newest.values() if "value" in row or not self._is_compacted]
        return json.dumps({"entries": entries, "hasMore": False, "end": self.end}).encode()

    def _read(self, offset, ends_at, era, on_answer, on_lost):
        if era != self.era:
            on_lost(LossReason.CONNECTION_LOST)
            return
        if self.visible is None and offset > self.end:
            self.clock.after(ANSWER_S, lambda: on_answer(410, b""))
            return
        if offset >= self.end and self.clock.now() < ends_at:
            self.clock.after(ANSWER_S, lambda: self._read(offset, ends_at, era, on_answer, on_lost))
            return
        offset = max(offset, self._first_kept)
        body = struct.pack(">QQ", self.end, offset)
        for key, value in self.records[offset : self.end]:
            record = bytes([len(key)]) + key.encode() + (value or b"")
            body += struct.pack(">I", len(record)) + record
        self.clock.after(ANSWER_S, lambda: on_answer(200, body))
