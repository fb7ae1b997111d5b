"""Lagging list of instances.

``POST /control`` takes ``{"instance": name, "state": "live" | "leaving" | "gone"}``;
the list shows it after the lag.
"""

import msgspec

from briarpond.ports import FleetList, InstanceState

from .web import body_json, send_json


class ListStandIn:
    """State of the list."""

    def __init__(self, clock, rows: FleetList, lag_s: float) -> None:
        self.clock = clock
        self.lag_s = lag_s
        self.rows = {row.instance: row for row in rows.instances}

    def handle(self, request, reply) -> None:
        """Handle one request."""
        if request.path == "/control":
            change = body_json(request)
            self.clock.after(self.lag_s, lambda: self._change(change))
            send_json(reply, {})
            return
        send_json(reply, FleetList(tuple(self.rows.values())))

    def _change(self, change) -> None:
        row = self.rows[change["instance"]]
        if change["state"] == "gone":
            del self.rows[row.instance]
        else:
            state = InstanceState(change["state"])
            self.rows[row.instance] = msgspec.structs.replace(row, state=state)
