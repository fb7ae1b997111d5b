"""Append-only log with offsets, limited retention and faults on request.

``POST /control`` takes any of these keys and answers with the numbers of appends and reads:

- ``down`` (bool): close each connection without an answer;
- ``delay_s`` (float): delay before each request takes effect;
- ``lose_answers`` (int): number of next appends that take effect but are not answered;
- ``refuse`` (int): number of next appends that are refused with status 503;
- ``retention`` (int): number of entries kept.
"""

from .web import decode_json_body, query_parameters, send_json


class LogStandIn:
    """The log; `/control` sets the attributes by name, so their names are its keys."""

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
        self.entries.append(decode_json_body(request)["value"])
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
        parameters = query_parameters(request)
        start = max(int(parameters.get("from", 0)), self.oldest)
        limit = int(parameters.get("limit", 512))
        first_index = start - self.oldest
        rows = [
            {"offset": start + index, "value": value}
            for index, value in enumerate(self.entries[first_index : first_index + limit])
        ]
        following = self.oldest + len(self.entries)
        send_json(reply, {"oldest": self.oldest, "following": following, "entries": rows})

    def _control(self, request, reply) -> None:
        for name, value in decode_json_body(request).items():
            setattr(self, name, value)
        send_json(reply, {"appends": self.appends, "reads": self.reads})
