"""Plain server that counts how often it ran each order.

``GET /runs`` returns the counts. ``POST /control`` takes any of these keys:

- ``up`` (bool): while false, close each connection without an answer;
- ``die_after_run`` (int): number of next orders that run but are not answered;
- ``work_s`` (float): time that an order takes.
"""

from collections import Counter

from .web import decode_json_body, send_json


class ServiceStandIn:
    """One plain server; `/control` sets the attributes by name, so their names are its keys."""

    def __init__(self, clock, instance: str, work_s: float) -> None:
        self.clock = clock
        self.instance = instance
        self.work_s = work_s
        self.up = True
        self.die_after_run = 0
        self.runs: Counter[str] = Counter()

    def handle(self, request, reply) -> None:
        """Handle one request."""
        if request.path == "/control":
            for name, value in decode_json_body(request).items():
                setattr(self, name, value)
            send_json(reply, {})
        elif request.path == "/runs":
            send_json(reply, dict(self.runs))
        elif not self.up:
            reply.abort()
        elif request.method == "GET":
            send_json(reply, {"server": self.instance, "path": request.path})
        else:
            order = str(decode_json_body(request).get("order", ""))
            self.clock.after(self.work_s, lambda: self._run(order, reply))

    def _run(self, order: str, reply) -> None:
        self.runs[order] += 1
        if self.die_after_run > 0:
            self.die_after_run -= 1
            reply.abort()
            return
        send_json(reply, {"server": self.instance, "order": order, "runs": self.runs[order]})
