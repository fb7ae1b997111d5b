"""A stand-in for the platform's store, with lease groups and the drill of the third news page."""

import asyncio
import base64
import contextlib
import copy
import json
import struct
from urllib.parse import parse_qs, urlsplit

from .wire import encode_answer, encode_json, read_request, reset

# Topics that only the operator and the servers write to.
FOREIGN_TOPICS = ("keyed.op", "keyed.servers")
# Partitions of each topic (`parts` in the settings).
PARTS = 12
# How often the store keeps a copy of itself.
COPY_INTERVAL_S = 0.1


class LeaseGroup:
    """Members of a group and the partitions that each of them holds.

    Attributes
    ----------
    generation : int
        Rises with each change of the members.
    expires : dict
        Time at which each member is dropped unless it joins again.
    dealt : dict
        Member to which each partition belongs in this generation.
    held : dict
        Member that still holds each partition.
    """

    def __init__(self):
        self.generation = 0
        self.expires = {}
        self.dealt = {}
        self.held = {}

    def drop_expired(self, now):
        """Drop the members that have not joined again in time."""
        gone = [name for name, at in self.expires.items() if at <= now]
        for name in gone:
            self.leave(name)

    def leave(self, member):
        """Remove a member, which frees its partitions."""
        if self.expires.pop(member, None) is not None:
            self.held = {part: name for part, name in self.held.items() if name != member}
            self._deal()

    def join(self, member, generation, expires_at):
        """Join or renew; return the partitions of the member."""
        is_new = member not in self.expires
        self.expires[member] = expires_at
        if is_new:
            self._deal()
        if generation >= self.generation:
            for part, name in list(self.held.items()):
                if name == member and self.dealt[part] != member:
                    del self.held[part]
        own = [
            part
            for part, name in self.dealt.items()
            if name == member and self.held.get(part, member) == member
        ]
        for part in own:
            self.held[part] = member
        return own

    def _deal(self):
        """Distribute the partitions evenly, in the order in which the members joined."""
        self.generation += 1
        members = list(self.expires)
        self.dealt = {part: members[part % len(members)] for part in range(PARTS) if members}


class Store:
    """The platform's store.

    Parameters
    ----------
    record : Record
        Gets a line for what the store does beside answering.

    Attributes
    ----------
    is_away : bool
        Whether the store resets each channel on which a request arrives.
    rejects_nodes : bool
        Whether it does so to the nodes, while it serves the operator and the servers.
    era : int
        Value of the header `Store-Era`.
    """

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.groups = {}
        self.is_away = False
        self.rejects_nodes = False
        self.era = 1
        self._copies = []
        self._awaited = ""
        self._turned_away = asyncio.Event()
        self._appended = asyncio.Event()
        self._tasks = set()

    async def start(self):
        """Listen on a free port of 127.0.0.1 and begin to keep copies."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        task = asyncio.create_task(self._keep_copies())
        self._tasks.add(task)

    def close(self):
        """Stop to listen."""
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def put(self, topic, key, value):
        """Append a record of the operator or of a server; return whether the store took it."""
        if self.is_away:
            return False
        self._append(topic, key, value)
        return True

    # Drill

    async def drill(self, away_s, copy_age_s, returns_after=None):
        """Be away for a moment, and come back from a copy that is some seconds old.

        What the operator and the servers wrote since is written again: the newest record of
        each key that was lost, in the order in which they were written.

        Parameters
        ----------
        away_s, copy_age_s : float
            How long the store is away, and how much older than the begin of that its copy is.
        returns_after : str or None
            Lease group whose holder of partition 0 is the last to be turned away before the
            store is back; it is away for up to half a second longer then.
        """
        now = self._now()
        at, lengths, groups = next(
            each for each in reversed(self._copies) if each[0] <= now - copy_age_s
        )
        self.record.line(f"store: away; the copy is {now - at:.2f} s old")
        self.is_away = True
        self._wake()
        await asyncio.sleep(away_s)
        if returns_after is not None:
            holder = self.groups[returns_after].held.get(0)
            await self._turn_away_once_more(holder)
        back_at = self._now()
        lost = {name: rows[lengths.get(name, 0) :] for name, rows in self.topics.items()}
        for name, rows in self.topics.items():
            del rows[lengths.get(name, 0) :]
        self.groups = copy.deepcopy(groups)
        for group in self.groups.values():
            # Times pause while the store is down.
            group.expires = {name: back_at + end - at for name, end in group.expires.items()}
        self._copies.clear()
        self.era += 1
        self.is_away = False
        self.record.line(f"store: back, Store-Era {self.era}")
        for name in FOREIGN_TOPICS:
            newest = {}
            for key, value in lost.get(name, ()):
                newest.pop(key, None)
                newest[key] = value
            for key, value in newest.items():
                self._append(name, key, value)
            self.record.line(
                f"store: {name}: {len(lost.get(name, ()))} records lost, "
                f"{len(newest)} written again, end {len(self.topics.get(name, ()))}"
            )

    async def _turn_away_once_more(self, member):
        self._awaited = member
        self._turned_away.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._turned_away.wait(), 0.5)

    async def _keep_copies(self):
        while True:
            if not self.is_away:
                lengths = {name: len(rows) for name, rows in self.topics.items()}
                self._copies.append((self._now(), lengths, copy.deepcopy(self.groups)))
                del self._copies[:-600]
            await asyncio.sleep(COPY_INTERVAL_S)

    # Calls

    @staticmethod
    def _now():
        return asyncio.get_running_loop().time()

    def _wake(self):
        self._appended.set()
        self._appended = asyncio.Event()

    def _append(self, topic, key, value):
        self.topics.setdefault(topic, []).append((key, value))
        self._wake()

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                if self.is_away and self._awaited in request[3].decode("latin-1"):
                    self._turned_away.set()
                is_closed = self.is_away or self.rejects_nodes
                answer = None if is_closed else await self._answer(*request)
                if answer is None or self.is_away or self.rejects_nodes:
                    reset(writer)
                    return
                writer.write(answer)
        except asyncio.CancelledError:
            # The run has ended.
            return
        writer.close()

    async def _answer(self, method, target, _headers, body):
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        era = (("Store-Era", self.era),)
        match (method, url.path):
            case ("POST", "/log-join"):
                return encode_json(200, self._join(json.loads(body)), era)
            case ("POST", "/log-leave"):
                call = json.loads(body)
                self.record.line(f"store: {call['member']} leaves the group {call['group']}")
                self.groups.setdefault(call["group"], LeaseGroup()).leave(call["member"])
                return encode_json(200, {}, era)
            case ("POST", "/log-append"):
                return self._append_records(query, body, era)
            case ("GET", "/log-newest"):
                return encode_json(200, self._newest(query["topic"]), era)
            case ("GET", "/log-read"):
                return await self._read(query, era)
        return encode_answer(404, b"", era)

    def _join(self, call):
        now = self._now()
        group = self.groups.setdefault(call["group"], LeaseGroup())
        before = group.generation, group.held.get(0)
        group.drop_expired(now)
        expires_at = now + call["ttlMs"] / 1000
        parts = group.join(call["member"], call["generation"], expires_at)
        after = group.generation, group.held.get(0)
        if after != before:
            self.record.line(
                f"store: group {call['group']}: generation {after[0]}, part 0 at {after[1]}"
            )
        rows = [[call["topics"][0], part, 0] for part in parts]
        return {"generation": group.generation, "ttlMs": call["ttlMs"], "parts": rows}

    def _append_records(self, query, body, era):
        topic = query["topic"]
        if topic in FOREIGN_TOPICS:
            return encode_answer(403, b"", era)
        first = len(self.topics.get(topic, ()))
        position = 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            row = body[position + 4 : position + 4 + length]
            self._append(topic, row[1 : 1 + row[0]].decode(), row[1 + row[0] :])
            position += 4 + length
        end = len(self.topics.get(topic, ()))
        return encode_json(200, {"offset": first, "end": end}, era)

    def _newest(self, topic):
        rows = self.topics.get(topic, [])
        newest = {key: (value, offset) for offset, (key, value) in enumerate(rows)}
        entries = [
            {"key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in sorted(newest.items())
            if value
        ]
        return {"entries": entries, "hasMore": False, "end": len(rows)}

    async def _read(self, query, era):
        topic, start = query["topic"], int(query["from"])
        deadline = self._now() + int(query.get("waitMs", 0)) / 1000
        while not self.is_away:
            rows = self.topics.get(topic, [])
            if start > len(rows):
                return encode_json(410, {"first": 0}, era)
            left_s = deadline - self._now()
            if start < len(rows) or left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._appended.wait(), left_s)
            except TimeoutError:
                break
        rows = self.topics.get(topic, [])
        data = struct.pack(">QQ", len(rows), 0)
        for key, value in rows[start:]:
            name = key.encode()
            data += struct.pack(">IB", 1 + len(name) + len(value), len(name)) + name + value
        return encode_answer(200, data, era)
