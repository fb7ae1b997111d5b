"""Data centres that the operator has evacuated: no request is sent to a server there."""

from briarpond.directory import RoutingTargets, StorePosition
from briarpond.ids import DataCentre, InstanceId
from briarpond.logs import log_event

from ._state import NodeState


def set_evacuated(
    state: NodeState, evacuated: frozenset[DataCentre], position: StorePosition, source: str
) -> bool:
    """Put a set of evacuated data centres into force; return whether it differs.

    Parameters
    ----------
    state : NodeState
        Holds the set.
    evacuated : frozenset of DataCentre
        The new set.
    position : StorePosition
        Position up to which the operator's records are contained in it.
    source : str
        Where it comes from, for the log.
    """
    previous = state.evacuated
    if evacuated == previous:
        return False
    state.evacuated = evacuated
    state.metrics.evacuated_data_centres.set({}, len(evacuated))
    for data_centre in sorted(evacuated ^ previous):
        change = "begun" if data_centre in evacuated else "ended"
        log_event(
            "evacuation",
            data_centre=data_centre,
            state=change,
            era=position.era,
            position=position.offset,
            source=source,
        )
    return True


def is_evacuated(state: NodeState, server: InstanceId, data_centre: DataCentre) -> bool:
    """Whether no request may be sent to a server because its data centre is evacuated.

    Parameters
    ----------
    state : NodeState
        Evacuated data centres, and this node's view of the instance list.
    server : InstanceId
        The plain server, or the head of the group.
    data_centre : DataCentre
        Its data centre as the plan says; empty in a plan of a node that does not state it.
        It is then looked up in this node's own view of the list.
    """
    if not state.evacuated:
        return False
    if not data_centre:
        listed_instance = state.fleet.get(server)
        return listed_instance is not None and listed_instance.data_centre in state.evacuated
    return data_centre in state.evacuated


def without_evacuated(state: NodeState, targets: RoutingTargets) -> RoutingTargets:
    """Return targets without the groups and plain servers of evacuated data centres."""
    if not state.evacuated:
        return targets
    return RoutingTargets(
        tuple(
            target
            for target in targets.groups
            if not is_evacuated(state, target.head, target.data_centre)
        ),
        tuple(
            target
            for target in targets.servers
            if not is_evacuated(state, target.instance, target.data_centre)
        ),
    )
