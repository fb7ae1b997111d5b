"""Test bench: several gateways that pass requests to each other, in virtual time."""

from pathlib import Path

from briarpond.directory import Member
from briarpond.gateway._hop_headers import read_hop
from briarpond.gateway._hop_receiver import answer_hop
from briarpond.ids import NodeId
from briarpond.net import Address, HttpRequest, LossReason
from briarpond.reachability import LinkState, Reachability

from ..platform_samples import SETTINGS
from .world import Gateway, ScriptedClient, VirtualClock

# One way between two nodes, in seconds.
LINK_S = 0.002
PEER_PORT = 7340


class StubReachability(Reachability):
    """A node that is cut off, or not, as the test says."""

    def __init__(self) -> None:
        super().__init__()
        self.cut_off = False

    def is_cut_off(self, now):
        return self.cut_off

    def state(self):
        return LinkState.CUT_OFF if self.cut_off else super().state()


class PassedRequest:
    """A request on its way from one node to another, with both ends of its connection."""

    def __init__(self, world, origin, helper, call) -> None:
        self.origin, self.helper, self.call = origin, helper, call
        self.is_open = True
        self.reply = PassedReply(self)
        self._clock = world.clock
        self.request = HttpRequest(call.method, call.target, call.headers, call.body, 0.0)
        call.on_sent()
        self._clock.after(LINK_S, self._arrive)

    def header(self, name):
        return next((value for each, value in self.call.headers if each == name), None)

    def cancel(self) -> None:
        """Close the connection at the origin."""
        if self.is_open:
            self.is_open = False
            self._clock.after(LINK_S, self._disconnect)

    def lose(self) -> None:
        """Reset the connection at both ends."""
        self.is_open = False
        self._disconnect()
        self.call.on_lost(LossReason.CONNECTION_LOST)

    def later(self, step) -> None:
        """Run a step at the origin after the time of the link, unless it has closed."""
        self._clock.after(LINK_S, lambda: step() if self.is_open else None)

    def _arrive(self) -> None:
        state = self.helper.state
        self.request.read_at = self._clock.now()
        answer_hop(
            state,
            self.helper.ingress,
            self.helper.ready,
            self.request,
            self.reply,
            read_hop(self.request),
        )

    def _disconnect(self) -> None:
        if not self.reply.ended:
            self.reply.ended = True
            if self.reply.on_disconnect is not None:
                self.reply.on_disconnect()


class PassedReply:
    """Stands in for the `HttpReply` of the helper; what it sends reaches the origin."""

    def __init__(self, passed) -> None:
        self.on_disconnect = None
        self.ended = False
        self._passed = passed

    def send_whole(self, status, headers, body):
        self.start(status, (*headers, ("Content-Length", str(len(body)))))
        if body:
            self.write(body)
        self.end()

    def start(self, status, headers):
        received = tuple((name.lower(), value) for name, value in headers)
        if not any(name == "content-length" for name, _ in received):
            received = (*received, ("transfer-encoding", "chunked"))
        call = self._passed.call
        self._passed.later(lambda: call.on_head(status, received))

    def write(self, data):
        call = self._passed.call
        self._passed.later(lambda: call.on_body(data))

    def end(self, trailers=()):
        assert not self.ended
        self.ended = True
        call = self._passed.call

        def end():
            if trailers:
                call.on_trailers(tuple(trailers))
            call.on_end()

        self._passed.later(end)

    def abort(self):
        self.ended = True
        call = self._passed.call
        self._passed.later(lambda: call.on_lost(LossReason.CONNECTION_LOST))


class ConnectingCall:
    """A call whose connection is not established."""

    def __init__(self) -> None:
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class NodeClient(ScriptedClient):
    """Records sends to servers, and passes on those to other nodes."""

    def __init__(self, world, gateway) -> None:
        super().__init__(world.clock)
        self.passed: list[PassedRequest] = []
        # Whether connections to servers hang, and the calls that wait for one.
        self.hanging = False
        self.connecting: list[ConnectingCall] = []
        self._world, self._gateway = world, gateway

    def start(self, call):
        helper = self._world.at(call.address)
        if helper is None and self.hanging:
            self.connecting.append(ConnectingCall())
            return self.connecting[-1]
        if helper is None or call.address in self.refusing:
            return super().start(call)
        passed = PassedRequest(self._world, self._gateway, helper, call)
        self.passed.append(passed)
        return passed


class HopWorld:
    """Nodes `n0`, `n1`, ... that all see each other as alive.

    Parameters
    ----------
    tmp_path : Path
        Folder for the settings.
    zones : sequence of str
        Data centre of each node.
    """

    def __init__(self, tmp_path: Path, zones=("hobart-a",) * 3) -> None:
        self.clock = VirtualClock()
        self.nodes = [self._make(tmp_path, n, zone) for n, zone in enumerate(zones)]

    def _make(self, tmp_path, n, zone):
        folder = tmp_path / f"n{n}"
        folder.mkdir()
        settings = SETTINGS.replace("edge-hobart-a-1", f"n{n}").replace("hobart-a", zone)
        settings = settings.replace("10.1.0.40", f"10.1.0.{40 + n}")
        gateway = Gateway(folder, clock=self.clock, settings=settings)
        client = NodeClient(self, gateway)
        gateway.client = gateway.state.client = client
        gateway.state.reachability = StubReachability()
        gateway.state.hops.members = lambda now: self.members_but(gateway)
        gateway.ready = True
        # What the others know of it; None: the truth.
        gateway.described_cut_off = None
        gateway.ingress.start()
        return gateway

    def at(self, address):
        """Return the node at a peer address; None if there is none."""
        return next((each for each in self.nodes if peer_address(each) == address), None)

    def cut(self, *nodes) -> None:
        """Cut nodes off from all servers."""
        for node in nodes:
            node.state.reachability.cut_off = True

    def members_but(self, own):
        """Return what a node knows of the others."""
        return [self._describe(each) for each in self.nodes if each is not own]

    def _describe(self, gateway):
        settings = gateway.state.settings
        cut_off = gateway.described_cut_off
        return Member(
            NodeId(settings.node),
            1,
            1,
            Address(settings.host, 8227),
            settings.data_centre,
            gateway.ready,
            gateway.state.leaving,
            cut_off=gateway.state.reachability.cut_off if cut_off is None else cut_off,
        )


def peer_address(gateway):
    return Address(gateway.state.settings.host, PEER_PORT)


def all_passed(world):
    """Return all requests that nodes have passed on, those of the first node first."""
    return [passed for node in world.nodes for passed in node.client.passed]


def all_sent(world):
    """Return all sends to servers, those of the first node first."""
    return [sent for node in world.nodes for sent in node.client.sent]
