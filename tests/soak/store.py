"""A stand-in for the platform's store, in the soak's event loop."""

import asyncio
import base64
import json
import random
import struct
from urllib.parse import parse_qs, urlsplit

from .wire import encode_answer, read_request


class Store:
    """The platform's store: keyed topics, long-poll reads and the lease of the planner.

    Attributes
    ----------
    mode : str
        Fault in force: `silent` (requests get no answer), `reset` (connections are
        aborted), `unavailable` (status 503), `lose-answers` (all POST requests take
        effect, but the answers to half of them are lost), or `normal`.
    topics : dict
        Records of each topic in the order of their offsets, as (key, value).
    lease_members : dict
        Candidates for the lease, each with the time at which its membership ends.
    term : int
        Number of changes of the membership; each change picks a holder at random.
    era : int or None
        How often the store has come back from a copy, plus one; told in all answers. None for
        a store that tells no era.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.appended = asyncio.Event()
        self.mode = "normal"
        self.lease_members: dict[str, float] = {}
        self.lease_holder: str | None = None
        self.term = 0
        self.era: int | None = None

    async def restore_from_copy(self, copy_age_s: float, away_s: float) -> None:
        """Take a copy, go away after a while, and come back from the copy.

        What the nodes have written since the copy is lost. The newest record of each key that
        the operator and the servers have written since is written again.
        """
        copied = {topic: len(records) for topic, records in self.topics.items()}
        lease = dict(self.lease_members), self.lease_holder, self.term
        await asyncio.sleep(copy_age_s)
        self.mode = "reset"
        await asyncio.sleep(away_s)
        lost = {topic: records[copied.get(topic, 0) :] for topic, records in self.topics.items()}
        for topic, records in self.topics.items():
            del records[copied.get(topic, 0) :]
        self.lease_members, self.lease_holder, self.term = lease
        assert self.era is not None
        self.era += 1
        self.mode = "normal"
        for topic in ("keyed.op", "keyed.servers"):
            for key, value in dict(lost.get(topic, ())).items():
                self.put(topic, key, value)

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Append a record and wake the reads that wait; an empty value deletes the key."""
        self.topics.setdefault(topic, []).append((key, value))
        self.appended.set()
        self.appended = asyncio.Event()

    async def serve(self, reader, writer) -> None:
        """Answer the requests of one connection."""
        while (request := await read_request(reader)) is not None:
            if self.mode == "silent":
                await asyncio.sleep(30)
                break
            if self.mode == "reset":
                writer.transport.abort()
                return
            if self.mode == "unavailable":
                writer.write(encode_answer(503))
                continue
            method, target, _, body = request
            url = urlsplit(target)
            query = {name: values[0] for name, values in parse_qs(url.query).items()}
            era = self.era
            answer = self.with_era(await self.handle_request(url.path, query, body))
            if self.era != era:
                writer.transport.abort()
                return
            if self.mode == "lose-answers" and method == "POST" and self.rng.random() < 0.5:
                await asyncio.sleep(30)
                break
            writer.write(answer)
        writer.close()

    def with_era(self, answer: bytes) -> bytes:
        """Add the era to an answer, if this store tells one."""
        if self.era is None:
            return answer
        return answer.replace(b"\r\n", b"\r\nStore-Era: %d\r\n" % self.era, 1)

    async def handle_request(self, path, query, body) -> bytes:
        """Carry out a request; a read at the end of a topic waits for up to `waitMs`."""
        if path == "/log-join":
            return self.join_lease(json.loads(body))
        if path == "/log-leave":
            self.lease_members.pop(json.loads(body)["member"], None)
            return encode_answer(200, b"{}")
        records = self.topics.setdefault(query["topic"], [])
        if path == "/log-append":
            key_size = body[4]
            self.put(query["topic"], body[5 : 5 + key_size].decode(), body[5 + key_size :])
            return encode_answer(
                200, json.dumps({"offset": len(records) - 1, "end": len(records)}).encode()
            )
        if path == "/log-newest":
            newest = {key: (value, offset) for offset, (key, value) in enumerate(records)}
            entries = [
                {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
                for key, (value, offset) in newest.items()
                if value
            ]
            page = {"entries": entries, "hasMore": False, "end": len(records)}
            return encode_answer(200, json.dumps(page).encode())
        start = int(query["from"])
        deadline = asyncio.get_event_loop().time() + int(query.get("waitMs", 0)) / 1000
        while len(records) <= start and (left_s := deadline - asyncio.get_event_loop().time()) > 0:
            try:
                await asyncio.wait_for(self.appended.wait(), left_s)
            except TimeoutError:
                break
        if start > len(records):
            return encode_answer(410, b'{"first": 0}')
        data = struct.pack(">QQ", len(records), 0)
        for key, value in records[start:]:
            encoded_key = key.encode()
            data += struct.pack(">I", 1 + len(encoded_key) + len(value))
            data += bytes([len(encoded_key)]) + encoded_key + value
        return encode_answer(200, data)

    def join_lease(self, lease_request) -> bytes:
        """Join the candidates for the planner's lease, or renew the membership."""
        now = asyncio.get_event_loop().time()
        before = sorted(self.lease_members)
        self.lease_members[lease_request["member"]] = now + lease_request["ttlMs"] / 1000
        self.lease_members = {
            name: ends_at for name, ends_at in self.lease_members.items() if ends_at > now
        }
        if sorted(self.lease_members) != before:
            self.term += 1
            self.lease_holder = self.rng.choice(sorted(self.lease_members))
        parts = [["planner", 0, 0]] if self.lease_holder == lease_request["member"] else []
        return encode_answer(200, json.dumps({"generation": self.term, "parts": parts}).encode())
