"""What a node knows of the others that pass requests to servers for it while it is cut off."""

import random
from collections.abc import Callable, Container, Iterable

import msgspec

from briarpond.directory import Member
from briarpond.ids import DataCentre, InstanceId, NodeId
from briarpond.net import Address

from ._hop_choice import choose_helper, usable_members
from ._hop_headers import target_name


class HopTarget(msgspec.Struct, frozen=True):
    """A node that a request is passed to.

    Attributes
    ----------
    node : NodeId
        The node.
    name : InstanceId
        Name by which it stands among the servers that the request was sent to.
    address : Address
        Where it takes requests of other nodes.
    """

    node: NodeId
    name: InstanceId
    address: Address


class HopLink:
    """Requests that this node has passed to others, and the choice of the next one.

    Parameters
    ----------
    data_centre : DataCentre
        Data centre of this node.
    port : int
        Port at which nodes take requests of other nodes; all use the same one.
    rng : random.Random
        Decides which nodes are compared.
    is_cut_off : callable
        Takes the present time; returns whether this node reaches no server.

    Attributes
    ----------
    members : callable
        Takes the present time; returns the other nodes that are alive.
    """

    def __init__(
        self,
        data_centre: DataCentre,
        port: int,
        rng: random.Random,
        is_cut_off: Callable[[float], bool],
    ) -> None:
        self.is_cut_off = is_cut_off
        self.members: Callable[[float], Iterable[Member]] = lambda now: ()
        self._data_centre = data_centre
        self._port = port
        self._rng = rng
        self._in_flight: dict[NodeId, int] = {}

    def choose(
        self,
        tried: Container[InstanceId],
        is_avoided: Callable[[InstanceId, float], bool],
        now: float,
    ) -> HopTarget | None:
        """Return the node that a request is passed to; None if there is none.

        One that has just failed is used only if no other is left.

        Parameters
        ----------
        tried : container of InstanceId
            Names of nodes that are left out.
        is_avoided : callable
            Takes the name of a node and the present time; returns whether it has just failed.
        now : float
            Present time.
        """
        members = list(self.members(now))
        left_out = {each.node for each in members if target_name(each.node) in tried}
        usable = usable_members(members, left_out)
        sound = [each for each in usable if not is_avoided(target_name(each.node), now)]
        member = choose_helper(sound or usable, self._in_flight, self._data_centre, self._rng)
        if member is None:
            return None
        address = Address(member.caller_address.host, self._port)
        return HopTarget(member.node, target_name(member.node), address)

    def record_begin(self, node: NodeId) -> None:
        """Count a request that is passed to a node."""
        self._in_flight[node] = self._in_flight.get(node, 0) + 1

    def record_end(self, node: NodeId) -> None:
        """Count a request that was passed to a node as ended."""
        left = self._in_flight.pop(node, 0) - 1
        if left > 0:
            self._in_flight[node] = left
