"""Requests with a prompt part that ends each server that begins to write an answer on it."""

import pytest

from briarpond.gateway._caller_request import read_caller_request
from briarpond.gateway._send_state import BLAMABLE_STREAMING_S, SendState
from briarpond.net import HttpRequest, LossReason

from .crashing_servers import EVENTS, Callers, SimulatedServers
from .world import STAMP_HEADER, Gateway, VirtualClock

HEADS = [f"h{number}" for number in range(12)]
# Server ends after which such requests must stop, and the time in which they must.
CRASHES_UNTIL_STOP = 5
STOP_WITHIN_S = 3.0
# Sends with the part that may still follow.
MAX_SENDS_AFTER_STOP = 3
# Interval at which nodes exchange evidence, and the time that a notice takes.
EXCHANGE_S = 0.4
NOTICE_S = 0.01


class Deployment:
    """Nodes with common servers that exchange evidence, and their callers."""

    def __init__(self, tmp_path, node_count):
        self.clock = VirtualClock()
        self.gateways = [Gateway(tmp_path, HEADS, self.clock) for _ in range(node_count)]
        self.servers = SimulatedServers(self.clock, self.gateways)
        self.callers = Callers(self.clock, self.gateways)
        for number, gateway in enumerate(self.gateways):
            link = gateway.state.quarantine_link
            link.is_trial_node = lambda part, now, number=number: number == 0
            link.announce = lambda evidence, sender=gateway: self.clock.after(
                NOTICE_S, lambda: self._tell_others(sender, evidence)
            )
        self.clock.every(EXCHANGE_S, self._exchange)
        self.callers.send_every(0.1, "sound", "f1")
        self.clock.advance(4.0)

    def sends_after_stop(self):
        """Return the sends with a deadly part after the time in which they must stop."""
        crashes = self.servers.crashes
        if len(crashes) < CRASHES_UNTIL_STOP:
            return 0
        stop_at = crashes[CRASHES_UNTIL_STOP - 1] + STOP_WITHIN_S
        return sum(1 for at in self.servers.deadly_sends if at > stop_at)

    def quarantined(self):
        now = self.clock.now()
        return {
            status.part
            for gateway in self.gateways
            for status in gateway.state.quarantine.statuses(now)
        }

    def _exchange(self):
        for gateway in self.gateways:
            self._tell_others(gateway, gateway.state.quarantine.evidence(self.clock.now()))

    def _tell_others(self, sender, evidence):
        if evidence is None:
            return
        for gateway in self.gateways:
            if gateway is not sender:
                gateway.state.quarantine.merge(evidence, self.clock.now())


# Guards against one part of a prompt ending server after server, request after request (BUDGET).
def test_requests_with_a_part_that_ends_servers_are_stopped(tmp_path):
    deployment = Deployment(tmp_path, 1)
    deployment.servers.deadly_parts.add("bad1")
    deployment.callers.send_every(1.0, "deadly", "f1", "bad1")
    deployment.clock.advance(30.0)
    assert deployment.sends_after_stop() <= MAX_SENDS_AFTER_STOP
    assert deployment.callers.share_answered("sound", deployment.clock.now() - 24.0) > 0.9


# Guards against the same where no node sees two of the requests.
def test_requests_that_come_at_different_nodes_are_stopped(tmp_path):
    deployment = Deployment(tmp_path, 5)
    deployment.servers.deadly_parts.add("bad1")
    deployment.callers.send_every(1.7, "deadly", "f1", "bad1")
    deployment.clock.advance(30.0)
    assert len(deployment.servers.crashes) <= CRASHES_UNTIL_STOP
    assert deployment.callers.share_answered("sound", deployment.clock.now() - 24.0) > 0.9
    assert "f1" not in deployment.quarantined()


OTHERS = tuple(f"{0xC0000 + number:x}" for number in range(70))


# Guards against a part that no node sees: its id was too long, or too many came before it.
@pytest.mark.parametrize(
    "parts",
    [("d" * 64,), ("0" * 8 + "d" * 64,), (*OTHERS, "bad1"), (*OTHERS, "d" * 200, *OTHERS)],
    ids=["long", "leading_zeros", "late", "long_and_late"],
)
@pytest.mark.parametrize("nodes", [1, 5])
def test_part_with_any_id_at_any_place_is_stopped(tmp_path, parts, nodes):
    deployment = Deployment(tmp_path, nodes)
    deployment.servers.deadly_parts.add(max(parts, key=len) if "bad1" not in parts else "bad1")
    deployment.callers.send_every(0.1, "sound", "f1", *OTHERS)
    deployment.clock.advance(1.0)
    deployment.callers.send_every(1.0, "deadly", "f1", *parts)
    deployment.clock.advance(30.0)
    assert deployment.sends_after_stop() <= MAX_SENDS_AFTER_STOP
    assert deployment.callers.share_answered("sound", deployment.clock.now() - 24.0) > 0.9
    assert "f1" not in deployment.quarantined()


# Guards against the same part in two spellings, of which each ends its own servers.
def test_part_in_two_spellings_is_stopped(tmp_path):
    deployment = Deployment(tmp_path, 2)
    deployment.servers.deadly_parts |= {"bad1", "BAD1"}
    deployment.callers.send_every(2.0, "deadly", "f1", "000bad1")
    deployment.callers.send_every(1.3, "deadly", "f1", "BAD1")
    deployment.clock.advance(30.0)
    assert deployment.sends_after_stop() <= MAX_SENDS_AFTER_STOP


# Guards against a server's own error that clears a part which goes on to end servers.
@pytest.mark.parametrize("status", [500, 400, 429, 503])
def test_error_of_a_server_does_not_show_that_a_part_is_harmless(tmp_path, status):
    gateway = Gateway(tmp_path)
    survivals = gateway.state.quarantine._survivals
    gateway.send_stream_request(x_briarpond_prompt_prefix="f1:1,bad1:2,a1:3")
    gateway.client.sent[-1].answer_whole(status, b"failed", STAMP_HEADER)
    assert survivals.last("bad1", gateway.clock.now()) == float("-inf")
    gateway.send_stream_request(x_briarpond_prompt_prefix="f1:1,c1:3")
    gateway.client.sent[-1].answer_whole(200, b"id: 0\ndata: x\n\n", STAMP_HEADER)
    assert survivals.last("f1", gateway.clock.now()) > 0


# Guards against a second line of the same header, which a server may read as well.
def test_parts_in_two_headers_are_all_read():
    pairs = [("x-briarpond-prompt-prefix", value) for value in ("a1:1", "bad1:1,a2:1")]
    request = HttpRequest("POST", "/plan/x", tuple(pairs), b"", 0.0)
    assert read_caller_request(request, 1.0).prompt_parts == ("a1", "bad1", "a2")


def test_many_requests_with_two_such_parts_are_stopped(tmp_path):
    deployment = Deployment(tmp_path, 4)
    deployment.servers.deadly_parts |= {"bad1", "bad2"}
    deployment.callers.send_every(0.4, "deadly", "f1", "bad1")
    deployment.callers.send_every(0.7, "deadly", "f1", "bad2")
    deployment.clock.advance(30.0)
    assert deployment.sends_after_stop() <= MAX_SENDS_AFTER_STOP
    assert deployment.callers.share_answered("sound", deployment.clock.now() - 20.0) > 0.9


# Guards against blame for parts because servers end for reasons of their own.
def test_servers_that_end_for_other_reasons_put_no_shared_part_under_suspicion(tmp_path):
    deployment = Deployment(tmp_path, 4)
    addresses = [target.address for target in deployment.gateways[0].state.groups(100.0)]
    for _ in range(15):
        deployment.clock.advance(2.0)
        for address in deployment.gateways[0].state.rng.sample(addresses, 2):
            deployment.servers.crash(address)
    assert "f1" not in deployment.quarantined()
    assert deployment.callers.share_answered("sound", 104.0) > 0.9


def test_part_that_has_become_harmless_comes_back_without_another_crash(tmp_path):
    deployment = Deployment(tmp_path, 3)
    deployment.servers.deadly_parts.add("bad1")
    deployment.callers.send_every(1.0, "deadly", "f1", "bad1")
    deployment.clock.advance(10.0)
    deployment.servers.deadly_parts.clear()
    crashes = len(deployment.servers.crashes)
    deployment.clock.advance(50.0)
    assert len(deployment.servers.crashes) == crashes
    assert not deployment.quarantined()
    assert deployment.callers.share_answered("deadly", deployment.clock.now() - 8.0) > 0.5


def test_part_that_stays_deadly_costs_one_server_a_trial(tmp_path):
    deployment = Deployment(tmp_path, 3)
    deployment.servers.deadly_parts.add("bad1")
    deployment.callers.send_every(1.0, "deadly", "f1", "bad1")
    deployment.clock.advance(10.0)
    crashes = len(deployment.servers.crashes)
    deployment.clock.advance(120.0)
    assert len(deployment.servers.crashes) <= crashes + 2


def quarantine_part(gateway, part):
    """Let two servers end under two requests with a part."""
    for number in range(2):
        gateway.clock.advance(1.0)
        gateway.send_stream_request(x_briarpond_prompt_prefix=f"{part}:1,a{number}:1")
        gateway.client.sent[-1].call.on_lost(LossReason.CONNECTION_LOST)
        gateway.clock.advance(0.2)


def test_refusal_for_a_quarantine_says_not_run_and_when_to_come_back(tmp_path):
    gateway = Gateway(tmp_path, HEADS)
    gateway.clock.advance(5.0)
    quarantine_part(gateway, "bad1")
    sends = len(gateway.client.sent)
    reply = gateway.send_stream_request(x_briarpond_prompt_prefix="bad1:1,b1:1")
    assert reply.status == 503 and len(gateway.client.sent) == sends
    assert float(reply.header("retry-after")) > 1.0


# Guards against requests that end their server after the verdict, because they were under way.
def test_requests_in_flight_without_an_answer_are_ended_by_the_verdict(tmp_path):
    gateway = Gateway(tmp_path, HEADS)
    gateway.clock.advance(5.0)
    waiting = gateway.send_stream_request(x_briarpond_prompt_prefix="bad1:1,c1:1")
    streaming = gateway.send_stream_request(x_briarpond_prompt_prefix="bad1:1,c2:1")
    other = gateway.send_stream_request(x_briarpond_prompt_prefix="good:1,c3:1")
    gateway.client.sent[1].answer_head(200, STAMP_HEADER)
    gateway.client.sent[1].call.on_body(b"id: 0\ndata: x\n\n")
    quarantine_part(gateway, "bad1")
    # It may have run, so the answer promises nothing.
    assert waiting.status == 502 and gateway.client.sent[0].cancelled
    assert not streaming.ended and not other.ended


def test_request_without_parts_is_never_in_quarantine(tmp_path):
    gateway = Gateway(tmp_path, HEADS)
    gateway.clock.advance(5.0)
    for _ in range(4):
        gateway.send_stream_request()
        gateway.clock.advance(0.5)
        gateway.client.sent[-1].call.on_lost(LossReason.CONNECTION_LOST)
    assert not gateway.state.quarantine.statuses(gateway.clock.now())
    assert gateway.send_stream_request().status is None


def test_stream_that_was_written_for_a_while_is_not_blamed():
    send = SendState(10.0, was_sent=True)
    assert send.may_have_ended_server(10.5)
    send.events_began_at = 10.5
    assert send.may_have_ended_server(10.6)
    assert not send.may_have_ended_server(10.5 + BLAMABLE_STREAMING_S)
    assert not SendState(10.0).may_have_ended_server(10.1)


def test_simulated_callers_get_whole_answers(tmp_path):
    deployment = Deployment(tmp_path, 2)
    deployment.clock.advance(3.0)
    _, _, reply = deployment.callers.replies[0]
    assert reply.body.count(b"data:") == EVENTS
