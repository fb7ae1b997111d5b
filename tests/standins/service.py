"""Server of a plain service that counts how often each order ran.

``GET /runs`` shows the counts; ``POST /control`` takes ``{"up": bool,
"die_after_run": int, "work_s": float}``: a server that dies after a run has
run the order and gives no answer.
"""

from collections import Counter

from .web import body_json, send_json


class ServiceStandIn:
    """State of one server."""

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
            for name, value in body_json(request).items():
                setattr(self, name, value)
            send_json(reply, {})
        elif request.path == "/runs":
            send_json(reply, dict(self.runs))
        elif not self.up:
            reply.abort()
        elif request.method == "GET":
            send_json(reply, {"server": self.instance, "path": request.path})
        else:
            order = str(body_json(request).get("order", ""))
            self.clock.after(self.work_s, lambda: self._run(order, reply))

    def _run(self, order: str, reply) -> None:
        self.runs[order] += 1
        if self.die_after_run > 0:
            self.die_after_run -= 1
            reply.abort()
            return
        send_json(reply, {"server": self.instance, "order": order, "runs": self.runs[order]})
