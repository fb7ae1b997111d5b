"""Append-only log with offsets, limited retention and faults on demand.

``POST /control`` takes ``{"down": bool, "delay_s": float, "lose_answers": int,
"refuse": int, "retention": int}``; a lost answer is one whose append took
effect. ``partitioned`` lists node names that get no answer.
"""

from .web import body_json, query, send_json


class LogStandIn:
    """State of the log."""

    def __init__(self, clock, retention: int) -> None:
        self.clock = clock
        self.retention = retention
        self.entries: list[str] = []
        self.oldest = 0
        self.down = False
        self.delay_s = 0.0
        self.lose_answers = 0
        self.refuse = 0
        self.appends = 0
        self.reads = 0

    def handle(self, request, reply) -> None:
        """Handle one request."""
        if request.path == "/control":
            self._control(request, reply)
            return
        if self.down:
            reply.abort()
            return
        if self.delay_s:
            self.clock.after(self.delay_s, lambda: self._answer(request, reply))
        else:
            self._answer(request, reply)

    def _answer(self, request, reply) -> None:
        if request.method == "POST":
            self._append(request, reply)
        else:
            self._read(request, reply)

    def _append(self, request, reply) -> None:
        if self.refuse > 0:
            self.refuse -= 1
            send_json(reply, {"error": "busy"}, 503)
            return
        self.appends += 1
        self.entries.append(body_json(request)["value"])
        offset = self.oldest + len(self.entries) - 1
        surplus = len(self.entries) - self.retention
        if surplus > 0:
            del self.entries[:surplus]
            self.oldest += surplus
        if self.lose_answers > 0:
            self.lose_answers -= 1
            reply.abort()
            return
        send_json(reply, {"offset": offset})

    def _read(self, request, reply) -> None:
        self.reads += 1
        asked = query(request)
        start = max(int(asked.get("from", 0)), self.oldest)
        limit = int(asked.get("limit", 512))
        first = start - self.oldest
        rows = [
            {"offset": start + index, "value": value}
            for index, value in enumerate(self.entries[first : first + limit])
        ]
        following = self.oldest + len(self.entries)
        send_json(reply, {"oldest": self.oldest, "following": following, "entries": rows})

    def _control(self, request, reply) -> None:
        for name, value in body_json(request).items():
            setattr(self, name, value)
        send_json(reply, {"appends": self.appends, "reads": self.reads})
