"""Simulated model servers that end when they begin to write an answer on a certain prompt part.

A server that has ended loses all requests that it runs and refuses connections until it is back.
"""

import itertools

from briarpond.net import LossReason

from .world import STAMP_HEADER

# A server writes its first event this long after it got a request, and another each interval.
FIRST_EVENT_S = 0.2
EVENT_INTERVAL_S = 0.1
EVENTS = 12
# Time until a server that has ended takes requests again.
RESTART_S = 3.0


class SimulatedServers:
    """Backend servers of one or more gateways with a common clock.

    Parameters
    ----------
    clock : VirtualClock
        Clock of the gateways.
    gateways : list of Gateway
        Gateways whose sends the servers receive.
    """

    def __init__(self, clock, gateways) -> None:
        self.clock = clock
        self.gateways = gateways
        self.deadly_parts: set[str] = set()
        self.crashes: list[float] = []
        self.deadly_sends: list[float] = []
        self._running: dict = {}
        self._taken = [0] * len(gateways)
        clock.every(0.005, self._take_new_sends)

    def crash(self, address) -> None:
        """End the server at an address; it is back after `RESTART_S`."""
        self.crashes.append(self.clock.now())
        for gateway in self.gateways:
            gateway.client.refusing.add(address)
        for sent in self._running.pop(address, []):
            if not sent.cancelled and not sent.ended:
                sent.ended = True
                sent.call.on_lost(LossReason.CONNECTION_LOST)
        self.clock.after(RESTART_S, lambda: self._restart(address))

    def _restart(self, address) -> None:
        for gateway in self.gateways:
            gateway.client.refusing.discard(address)

    def _take_new_sends(self) -> None:
        for index, gateway in enumerate(self.gateways):
            new = gateway.client.sent[self._taken[index] :]
            self._taken[index] += len(new)
            for sent in new:
                self._take(sent)

    def _take(self, sent) -> None:
        sent.ended = False
        if self._is_deadly(sent):
            self.deadly_sends.append(self.clock.now())
        self._running.setdefault(sent.call.address, []).append(sent)
        self.clock.after(FIRST_EVENT_S, lambda: self._begin(sent))

    def _is_deadly(self, sent) -> bool:
        return any(part in sent.header("x-briarpond-prompt-prefix") for part in self.deadly_parts)

    def _begin(self, sent) -> None:
        if sent.cancelled or sent.ended:
            return
        sent.answer_head(200, STAMP_HEADER)
        if self._is_deadly(sent):
            self.crash(sent.call.address)
            return
        last_event = sent.header("last-event-id")
        self._write(sent, 0 if last_event is None else int(last_event) + 1)

    def _write(self, sent, number) -> None:
        if sent.cancelled or sent.ended:
            return
        if number >= EVENTS:
            sent.ended = True
            self._running[sent.call.address].remove(sent)
            sent.call.on_end()
            return
        sent.call.on_body(b"id: %d\ndata: x\n\n" % number)
        self.clock.after(EVENT_INTERVAL_S, lambda: self._write(sent, number + 1))


class Callers:
    """Callers that send requests at regular intervals, and once more after a failure.

    Parameters
    ----------
    clock : VirtualClock
        Clock of the gateways.
    gateways : list of Gateway
        Gateways that take the requests in turn.
    """

    def __init__(self, clock, gateways) -> None:
        self.clock = clock
        self.gateways = itertools.cycle(gateways)
        self.replies: list[tuple[float, str, object]] = []
        self._numbers = itertools.count(1)

    def send_every(self, interval_s, kind, *shared_parts) -> None:
        """Send a request with `shared_parts` and one part of its own at each interval."""
        self.clock.every(interval_s, lambda: self._send(kind, shared_parts))

    def share_answered(self, kind, since) -> float:
        """Return the share of the requests of a kind that were answered whole."""
        replies = [reply for at, each, reply in self.replies if each == kind and at >= since]
        whole = [reply for reply in replies if reply.ended and not reply.aborted]
        return sum(1 for reply in whole if reply.status == 200) / len(replies)

    def _send(self, kind, shared_parts) -> None:
        parts = [*shared_parts, f"{0xA0000 + next(self._numbers):x}"]
        self._send_parts(kind, parts, retries=1)

    def _send_parts(self, kind, parts, retries) -> None:
        header = ",".join(f"{part}:40" for part in parts)
        reply = next(self.gateways).send_stream_request(x_briarpond_prompt_prefix=header)
        self.replies.append((self.clock.now(), kind, reply))
        if retries:
            self.clock.after(2.0, lambda: self._retry_failed(kind, parts, reply))

    def _retry_failed(self, kind, parts, reply) -> None:
        if reply.ended and (reply.aborted or reply.status != 200):
            self._send_parts(kind, parts, 0)
