"""The link to the other nodes: what cannot be sent or taken costs one datagram and no loop."""

import socket

import pytest

from briarpond.directory import (
    MAX_DATAGRAM_BYTES,
    Load,
    Member,
    ModelDemand,
    PlanVersion,
    Pull,
    ServerInFlight,
    SyncCallbacks,
    decode_datagram,
    encode_datagram,
)
from briarpond.gateway._peers import PeerLink
from briarpond.net import Address
from briarpond.quarantine import CrashKey, CrashReport, Evidence

from .world import VirtualClock


class NullPoller:
    """Poller that never reports anything."""

    def addReader(self, *_args):  # noqa: N802 - name of circuits
        pass


class Link:
    """A `PeerLink` with one other node, whose datagrams the test reads."""

    def __init__(self, own_load):
        self.clock = VirtualClock()
        self.other = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.other.bind(("127.0.0.2", 0))
        self.other.settimeout(0.5)
        port = self.other.getsockname()[1]
        own = Member("n1", 1, 1, Address("127.0.0.1", 80), "a", True, False)
        callbacks = SyncCallbacks(
            own_load=own_load,
            plan_status=lambda now: None,
            config_status=lambda now: None,
            on_plan=lambda *_: None,
            on_config=lambda *_: None,
            on_config_version=lambda *_: None,
            on_load=lambda *_: None,
            on_stalled=lambda *_: None,
            on_members=lambda *_: None,
            evidence=lambda now: None,
            on_evidence=lambda *_: None,
            on_pause=lambda *_: None,
        )
        address = Address("127.0.0.1", port)
        self.link = PeerLink(self.clock, NullPoller(), address, own, callbacks, lambda: {}, False)
        self.link.sync.add_contacts(["127.0.0.2"])

    def close(self):
        self.other.close()
        self.link._sock.close()

    def received(self):
        """Return how many datagrams have arrived."""
        count = 0
        self.other.setblocking(False)
        while True:
            try:
                self.other.recv(65536)
            except BlockingIOError:
                return count
            count += 1


@pytest.fixture
def make_link():
    links = []

    def make(own_load):
        links.append(Link(own_load))
        return links[-1]

    yield make
    for link in links:
        link.close()


# Guards against a count of a caller that the messages can't carry: the node sent no pull any
# more, and fell back on the store.
def test_load_beyond_what_messages_carry_is_told_as_the_most(make_link):
    load = Load((ServerInFlight("i", 3, 2**40),), ())
    link = make_link(lambda now: load)
    link.link.start()
    link.clock.advance(15.0)
    assert link.received() > 1


# Guards against pulls that end for good with one unexpected error.
def test_pulls_go_on_after_an_unexpected_error(make_link):
    failures = [KeyError("unexpected"), UnicodeEncodeError("utf-8", "x", 0, 1, "odd")]

    def own_load(now):
        if failures:
            raise failures.pop()
        return Load((), ())

    link = make_link(own_load)
    link.link.start()
    link.clock.advance(15.0)
    assert not failures and link.received() > 1


# Guards against a message that is lost whole because one thing in it is too large: the node's
# pulls, answers and notices failed for seconds after each end of a server.
@pytest.mark.parametrize("large", ["evidence", "load", "both"])
def test_message_larger_than_a_datagram_loses_what_is_told_again(make_link, large):
    load = Load((), (ModelDemand("big", 1.0),))
    if large != "evidence":
        rows = tuple(ServerInFlight(f"server-{number}", 3, 500) for number in range(4_000))
        load = Load(rows, load.demand)
    evidence = None
    if large != "load":
        parts = tuple(f"{number:032x}" for number in range(2_500))
        evidence = Evidence((CrashReport(CrashKey("s", 1), 0.1, (parts,)),))
    link = make_link(lambda now: load)
    pull = Pull(link.link.sync.members.own, 1, 0, 0, PlanVersion(), 0, load, evidence)
    data = link.link._encode(pull)
    assert len(encode_datagram(pull)) > MAX_DATAGRAM_BYTES >= len(data)
    read = decode_datagram(data).ok
    assert read.sender == pull.sender and read.load.demand == load.demand
    assert read.evidence is None
    assert read.load.servers == ()


def test_message_that_fits_is_sent_whole(make_link):
    load = Load((ServerInFlight("i", 3, 4),), ())
    link = make_link(lambda now: load)
    pull = Pull(link.link.sync.members.own, 1, 0, 0, PlanVersion(), 0, load, Evidence())
    assert link.link._encode(pull) == encode_datagram(pull)
