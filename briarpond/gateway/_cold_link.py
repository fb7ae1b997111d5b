"""Connects the pacing of requests to cold servers to the routing targets and the logs."""

from collections.abc import Callable

from briarpond.directory import RoutingTargets
from briarpond.dispatch import ColdLimit, ColdSends
from briarpond.ids import InstanceId, NodeId
from briarpond.logs import log_event
from briarpond.platform import BoundSettings
from briarpond.routes import GatewayConfiguration, ServiceSpec

# A node that was alive within this time still counts when senders are chosen. It spans a restart
# and the time in which nodes learn at different moments that one is gone.
RECENT_NODES_S = 5.0
# Time after the start of a node in which its view of the others may be incomplete.
VIEW_SETTLING_S = 3.0


class ColdLink:
    """Tells `ColdSends` which servers are cold, and logs when that changes.

    Parameters
    ----------
    own : NodeId
        Name of this node.
    started_at : float
        Time of the start of this node.
    cold_until : callable
        Takes a server; returns the time at which it ceases to be cold by this node's own view of
        the instance list, which may be outdated.

    Attributes
    ----------
    sends : ColdSends
        Pacing of this node's requests to cold servers.
    """

    def __init__(
        self, own: NodeId, started_at: float, cold_until: Callable[[InstanceId], float]
    ) -> None:
        self.sends = ColdSends(own)
        self._started_at = started_at
        self._cold_until = cold_until
        self._targets = RoutingTargets()
        self._config: GatewayConfiguration | None = None
        self._bounds: BoundSettings | None = None

    def update_nodes(self, nodes: frozenset[NodeId], now: float) -> None:
        """Replace the nodes that are or recently were alive."""
        self.sends.set_nodes(nodes, now - self._started_at >= VIEW_SETTLING_S, now)
        self.sends.prune(now)

    def update_targets(
        self,
        targets: RoutingTargets,
        config: GatewayConfiguration | None,
        bounds: BoundSettings,
        now: float,
    ) -> None:
        """Take over which of the routing targets are cold.

        Parameters
        ----------
        targets : RoutingTargets
            Targets in force.
        config : GatewayConfiguration or None
            Configuration in force; None until one was read.
        bounds : BoundSettings
            Limits that the deployment guarantees.
        now : float
            Present time.
        """
        if self._is_known(targets, config, bounds):
            return
        self._targets, self._config, self._bounds = targets, config, bounds
        limits = cold_limits(targets, config, bounds)
        known = self.sends.cold_servers
        for server in sorted(known - limits.keys()):
            self._log(server, "ended", 0)
        self.sends.set_cold(limits, now)
        for server in sorted(limits.keys() - known):
            left_s = self._cold_until(server) - now
            # A node that follows the plan knows only that the server is cold.
            self._log(server, "begun", int(left_s * 1000) if left_s > 0 else -1)

    def _is_known(
        self,
        targets: RoutingTargets,
        config: GatewayConfiguration | None,
        bounds: BoundSettings,
    ) -> bool:
        """Whether nothing was replaced; contents are not compared, as this runs at each choice."""
        known = self._targets
        same_targets = targets.groups is known.groups and targets.servers is known.servers
        return same_targets and config is self._config and bounds is self._bounds

    def _log(self, server: InstanceId, state: str, left_ms: int) -> None:
        sender = "yes" if self.sends.is_sender(server) else "no"
        log_event("server_cold", server=server, state=state, left_ms=left_ms, sender=sender)


def cold_limit(spec: ServiceSpec, bounds: BoundSettings) -> ColdLimit | None:
    """Return what a cold server of a service can take; None if that is not limited."""
    if bounds.cold is None or spec.cold_per_s <= 0:
        return None
    max_per_s = spec.cold_per_s * bounds.cold.overage + bounds.cold.slack
    return ColdLimit(spec.cold_per_s, max_per_s)


def cold_limits(
    targets: RoutingTargets, config: GatewayConfiguration | None, bounds: BoundSettings
) -> dict[InstanceId, ColdLimit]:
    """Return what each cold target can take; targets without a limit are left out."""
    if config is None or bounds.cold is None:
        return {}
    cold_targets = [(each.head, each.service) for each in targets.groups if each.cold]
    cold_targets += [(each.instance, each.service) for each in targets.servers if each.cold]
    limits = {
        server: cold_limit(config.services[service], bounds)
        for server, service in cold_targets
        if service in config.services
    }
    return {server: limit for server, limit in limits.items() if limit is not None}
