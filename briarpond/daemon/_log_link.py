"""Calls to the platform's log: reads pages, sends appends, settles records."""

from collections.abc import Callable

from briarpond.journal import Page, TailStatus
from briarpond.logs import log_event, log_warning
from briarpond.ports import (
    append_log_request,
    decode_append_answer,
    decode_log_page,
    read_log_request,
)
from briarpond.requests import LossReason

from ._node import NodeContext

# How often the outbox is checked; an answered append sends the next one at once.
APPEND_INTERVAL_S = 0.05
# Age of the last contact with the log after which a node that gets entries from its
# peers reads the log itself.
RELAY_TIMEOUT_S = 1.0
# Statuses that show that an append had no effect.
_REFUSED_STATUSES = frozenset({429, 503})


class LogLink:
    """Feeds pages of the log to the tail, and records of the outbox to the log.

    Parameters
    ----------
    on_folded : callable
        Called after the folded state has changed.

    Attributes
    ----------
    reads_for_data_centre : callable
        Whether this node reads the log for its data centre; called at each poll. Other
        nodes get the entries from peers. Set after construction, because `PeerLink`
        needs this object.
    """

    def __init__(self, node: NodeContext, on_folded: Callable[[], None]) -> None:
        self._node = node
        self._on_folded = on_folded
        self.reads_for_data_centre: Callable[[], bool] = lambda: True
        self._read_pending = False
        self._appending = False
        self._logged_status = TailStatus.BOOTING

    def start(self) -> None:
        """Schedule reads and appends."""
        clock = self._node.clock
        clock.every(self._node.settings.timing.log_poll_s, self._poll)
        clock.every(APPEND_INTERVAL_S, self.send_append)

    def _poll(self) -> None:
        """Read if this node reads for its data centre, or peers no longer relay entries."""
        node = self._node
        relay_timed_out = node.clock.now() - node.log_contact_at > RELAY_TIMEOUT_S
        if self.reads_for_data_centre() or relay_timed_out:
            self.read()

    def read(self) -> None:
        """Read pages up to the end of the log; do nothing if a read is under way."""
        if self._read_pending:
            return
        self._read_pending = True
        sent_at = self._node.clock.now()
        request = read_log_request(self._node.tail.next_offset)

        def on_answer(status: int, body: bytes) -> None:
            self._read_pending = False
            page = decode_log_page(body) if status == 200 else None
            if page is None or page.is_error():
                self._count_read("refused")
                return
            self._count_read("ok")
            self.fold_page(page.ok, sent_at)
            if self._node.tail.next_offset < page.ok.following:
                self.read()

        def on_lost(reason: LossReason) -> None:
            self._read_pending = False
            self._count_read(reason.value)

        self._fetch(request.method, request.target, request.body, on_answer, on_lost)

    def fold_page(self, page: Page, up_to_date_at: float) -> None:
        """Fold a page from the log or from a peer.

        Parameters
        ----------
        up_to_date_at : float
            Time at which the source was known to reach the end of the log, seconds of
            the node's clock.
        """
        node = self._node
        before = node.tail.state.position
        node.tail.on_page(page)
        if node.tail.next_offset >= page.following and node.tail.has_state:
            node.log_contact_at = max(node.log_contact_at, up_to_date_at)
        if node.tail.status is not self._logged_status:
            self._log_status_change(page)
        if node.tail.state.position != before:
            self.after_fold()

    def after_fold(self) -> None:
        """Settle records against the changed state, then call `on_folded`."""
        self._node.outbox.settle(self._node.tail.state, self._node.clock.now())
        self._on_folded()

    def send_append(self) -> None:
        """Settle records with a verdict or past their deadline; send an append if one is due."""
        node = self._node
        now = node.clock.now()
        node.outbox.settle(node.tail.state, now)
        value = node.outbox.next_append(now)
        if value is None:
            return
        request = append_log_request(value)

        def on_answer(status: int, body: bytes) -> None:
            if status == 200 and decode_append_answer(body).is_ok():
                node.metrics.log_appends.inc({"result": "ok"})
                node.outbox.on_appended()
                self.read()
                self.send_append()
            elif status in _REFUSED_STATUSES:
                node.metrics.log_appends.inc({"result": "refused"})
                node.outbox.on_refused(node.clock.now())
            else:
                # The append may have taken effect although the answer is an error.
                node.metrics.log_appends.inc({"result": "unsure"})
                node.outbox.on_unknown_outcome(node.clock.now())

        def on_lost(reason: LossReason) -> None:
            node.metrics.log_appends.inc({"result": reason.value})
            if reason.not_sent:
                node.outbox.on_refused(node.clock.now())
            else:
                node.outbox.on_unknown_outcome(node.clock.now())

        self._fetch(request.method, request.target, request.body, on_answer, on_lost)

    def _fetch(
        self,
        method: str,
        target: str,
        body: bytes,
        on_answer: Callable[[int, bytes], None],
        on_lost: Callable[[LossReason], None],
    ) -> None:
        node = self._node
        headers = (("Content-Type", "application/json"),)
        if node.settings.platform.token:
            headers += (("Authorization", f"Bearer {node.settings.platform.token}"),)
        timeout_s = node.settings.timing.log_timeout_s
        node.client.fetch(
            node.settings.platform.log, method, target, headers, body, timeout_s, on_answer, on_lost
        )

    def _count_read(self, result: str) -> None:
        self._node.metrics.log_reads.inc({"result": result})

    def _log_status_change(self, page: Page) -> None:
        tail = self._node.tail
        self._logged_status = tail.status
        emit = log_warning if tail.status is TailStatus.TRUNCATED else log_event
        emit(
            "log_status",
            status=tail.status.value,
            folded=tail.folded_offset,
            oldest=page.oldest,
            following=page.following,
        )
