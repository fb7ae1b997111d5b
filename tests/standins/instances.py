"""Instance list that shows changes after a delay.

``POST /control`` takes ``{"instance": name, "state": "live" | "leaving" | "gone"}``;
the list shows the change after `lag_s` seconds.
"""

import msgspec

from briarpond.ports import InstanceList, ListedState

from .web import decode_json_body, send_json


class ListStandIn:
    """The instance list."""

    def __init__(self, clock, rows: InstanceList, lag_s: float) -> None:
        self.clock = clock
        self.lag_s = lag_s
        self.rows = {row.instance: row for row in rows.instances}

    def handle(self, request, reply) -> None:
        """Handle one request."""
        if request.path == "/control":
            change = decode_json_body(request)
            self.clock.after(self.lag_s, lambda: self._apply_change(change))
            send_json(reply, {})
            return
        send_json(reply, InstanceList(tuple(self.rows.values())))

    def _apply_change(self, change) -> None:
        row = self.rows[change["instance"]]
        if change["state"] == "gone":
            del self.rows[row.instance]
        else:
            state = ListedState(change["state"])
            self.rows[row.instance] = msgspec.structs.replace(row, state=state)
