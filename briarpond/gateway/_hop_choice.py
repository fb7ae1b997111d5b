"""Choice of the node that passes requests to servers for one that is cut off from them."""

import random
from collections.abc import Collection, Iterable, Sequence

import msgspec

from briarpond.directory import Member
from briarpond.ids import DataCentre, NodeId
from briarpond.net import LossReason

# Requests in flight beyond those at a node of another data centre up to which one of the own is
# used: near nodes come first, but few of them must not take all.
NEAR_ADVANTAGE = 4
# Nodes of the own data centre, and of the others, of which the least loaded is used.
COMPARED_NODES = 2
# Refusals by nodes after which a request is offered to none any more: those that come at once, and
# those after a try.
MAX_REFUSALS = 8
MAX_REFUSALS_AFTER_A_TRY = 2
# After each so many refusals there is a pause, in which this node learns who reaches servers.
REFUSALS_WITHOUT_PAUSE = 2
REFUSED_PAUSE_S = 0.05
# Why a node that reaches no server takes no request of another one, or gives it back.
CUT_OFF_REASON = "cut_off"
# What the answer of a node's HTTP server comes to, which has not handed the request on.
NOT_TAKEN_REASON = "not_taken"
# Refusals that say nothing about servers, only about the node, and come at once.
REASONS_OF_ONE_NODE = frozenset(
    {
        CUT_OFF_REASON,
        NOT_TAKEN_REASON,
        "checking_links",
        "stopping",
        "not_ready",
        "older_configuration",
        "no_configuration",
        "keys_stale",
    }
)
# The same of a node that has tried: it found no server, and may be cut off without knowing it yet.
REASONS_AFTER_A_TRY = frozenset({"no_group", LossReason.CONNECT_FAILED.value})


class Helper(msgspec.Struct, frozen=True):
    """A node that may pass requests to servers.

    Attributes
    ----------
    member : Member
        The node.
    is_near : bool
        Whether it is in the data centre of the node that is cut off.
    in_flight : int
        Requests that the node that is cut off has passed to it and that have not ended.
    """

    member: Member
    is_near: bool
    in_flight: int


def usable_members(members: Iterable[Member], tried: Collection[NodeId]) -> list[Member]:
    """Return the nodes to which requests may be passed.

    Parameters
    ----------
    members : iterable of Member
        Other nodes that are alive.
    tried : collection of NodeId
        Nodes that are left out.
    """
    return [
        member
        for member in members
        if member.ready
        and not member.leaving
        and not member.gone
        and member.cut_off is False
        and member.node not in tried
    ]


def choose_helper(
    members: Sequence[Member],
    in_flight: dict[NodeId, int],
    own_data_centre: DataCentre,
    rng: random.Random,
) -> Member | None:
    """Return the least loaded of a few nodes, those of the own data centre first.

    Parameters
    ----------
    members : sequence of Member
        Nodes to which requests may be passed.
    in_flight : dict of int
        Requests that were passed to a node and have not ended; no entry means none.
    own_data_centre : DataCentre
        Data centre of the node that is cut off.
    rng : random.Random
        Decides which nodes are compared.

    Returns
    -------
    Member or None
        The node; None if there is none.
    """
    helpers = [
        Helper(each, each.data_centre == own_data_centre, in_flight.get(each.node, 0))
        for each in members
    ]
    near = _sample([each for each in helpers if each.is_near], rng)
    far = _sample([each for each in helpers if not each.is_near], rng)
    best = min(near + far, key=_rank, default=None)
    return None if best is None else best.member


def _rank(helper: Helper) -> tuple[int, bool]:
    cost = helper.in_flight + (0 if helper.is_near else NEAR_ADVANTAGE)
    return cost, not helper.is_near


def _sample(helpers: list[Helper], rng: random.Random) -> list[Helper]:
    return rng.sample(helpers, min(len(helpers), COMPARED_NODES))


def pause_after_refusal_s(reason: str, refusals: int) -> float | None:
    """Return the seconds until a request that a node has refused as not run is offered to another.

    Where servers have no room, another node would say the same.

    Parameters
    ----------
    reason : str
        Why the node has refused it.
    refusals : int
        Refusals of the request by nodes so far, this one included.

    Returns
    -------
    float or None
        The pause, 0 for none; None if the request is not offered again.
    """
    is_after_try = reason in REASONS_AFTER_A_TRY
    if not is_after_try and reason not in REASONS_OF_ONE_NODE:
        return None
    if refusals >= (MAX_REFUSALS_AFTER_A_TRY if is_after_try else MAX_REFUSALS):
        return None
    return 0.0 if refusals % REFUSALS_WITHOUT_PAUSE else REFUSED_PAUSE_S
