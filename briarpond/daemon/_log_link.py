"""Link to the platform's log: reads pages, sends appends, settles records."""

from collections.abc import Callable

from briarpond.journal import Page, TailStatus
from briarpond.logs import log_event, log_warning
from briarpond.ports import append_request, decode_append, decode_page, read_request
from briarpond.requests import LossReason

from ._node import NodeContext

PUMP_S = 0.05
RELAY_LAPSE_S = 1.0
_REFUSED_STATUSES = frozenset({429, 503})


class LogLink:
    """Drives the tail and the outbox of one node."""

    def __init__(self, node: NodeContext, on_folded: Callable[[], None]) -> None:
        self._node = node
        self._on_folded = on_folded
        self.reads_often: Callable[[], bool] = lambda: True
        self._reading = False
        self._appending = False
        self._status = TailStatus.BOOTING

    def start(self) -> None:
        """Schedule reads and appends."""
        clock = self._node.clock
        clock.every(self._node.settings.timing.log_poll_s, self._poll)
        clock.every(PUMP_S, self.pump)

    def _poll(self) -> None:
        """Read if this node reads for its data centre, or the relay has failed."""
        node = self._node
        lapsed = node.clock.now() - node.contact_at > RELAY_LAPSE_S
        if self.reads_often() or lapsed:
            self.read()

    def read(self) -> None:
        """Ask for the next page unless one is under way."""
        if self._reading:
            return
        self._reading = True
        asked_at = self._node.clock.now()
        request = read_request(self._node.tail.next_offset)

        def done(status: int, body: bytes) -> None:
            self._reading = False
            page = decode_page(body) if status == 200 else None
            if page is None or page.is_error():
                self._count_read("refused")
                return
            self._count_read("ok")
            self.take_page(page.ok, asked_at)
            if self._node.tail.next_offset < page.ok.following:
                self.read()

        def lost(reason: LossReason) -> None:
            self._reading = False
            self._count_read(reason.value)

        self._fetch(request.method, request.target, request.body, done, lost)

    def take_page(self, page: Page, asked_at: float) -> None:
        """Fold a page from the log or from a peer that reached it at `asked_at`."""
        node = self._node
        before = node.tail.state.position
        node.tail.on_page(page)
        if node.tail.next_offset >= page.following and node.tail.usable:
            node.contact_at = max(node.contact_at, asked_at)
        if node.tail.status is not self._status:
            self._note_status(page)
        if node.tail.state.position != before:
            self.folded()

    def folded(self) -> None:
        """Settle records after the state has moved, and tell the rest of the node."""
        self._node.outbox.settle(self._node.tail.state, self._node.clock.now())
        self._on_folded()

    def pump(self) -> None:
        """Send the next append if one is due; settle what is past its deadline."""
        node = self._node
        now = node.clock.now()
        node.outbox.settle(node.tail.state, now)
        value = node.outbox.next_append(now)
        if value is None:
            return
        request = append_request(value)

        def done(status: int, body: bytes) -> None:
            if status == 200 and decode_append(body).is_ok():
                node.metrics.appends.inc({"result": "ok"})
                node.outbox.on_appended()
                self.read()
                self.pump()
            elif status in _REFUSED_STATUSES:
                node.metrics.appends.inc({"result": "refused"})
                node.outbox.on_refused(node.clock.now())
            else:
                node.metrics.appends.inc({"result": "unsure"})
                node.outbox.on_unsure(node.clock.now())

        def lost(reason: LossReason) -> None:
            node.metrics.appends.inc({"result": reason.value})
            if reason is LossReason.CONNECT_FAILED:
                node.outbox.on_refused(node.clock.now())
            else:
                node.outbox.on_unsure(node.clock.now())

        self._fetch(request.method, request.target, request.body, done, lost)

    def _fetch(
        self,
        method: str,
        target: str,
        body: bytes,
        done: Callable[[int, bytes], None],
        lost: Callable[[LossReason], None],
    ) -> None:
        node = self._node
        headers = (("Content-Type", "application/json"),)
        if node.settings.platform.token:
            headers += (("Authorization", f"Bearer {node.settings.platform.token}"),)
        timeout_s = node.settings.timing.log_timeout_s
        node.client.fetch(
            node.settings.platform.log, method, target, headers, body, timeout_s, done, lost
        )

    def _count_read(self, result: str) -> None:
        self._node.metrics.reads.inc({"result": result})

    def _note_status(self, page: Page) -> None:
        tail = self._node.tail
        self._status = tail.status
        report = log_warning if tail.status is TailStatus.TRUNCATED else log_event
        report(
            "log_status",
            status=tail.status.value,
            folded=tail.folded_offset,
            oldest=page.oldest,
            following=page.following,
        )
