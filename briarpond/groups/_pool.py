"""Instances that are free to join a group."""

from collections import defaultdict
from collections.abc import Callable

from briarpond.ids import FabricDomain, InstanceId
from briarpond.journal import Member
from briarpond.ports import ListedState

from ._inputs import PlannerInput


class FreePool:
    """Instances that are free to join a group, by service and fabric domain.

    Free are the live instances of this data centre that are in no group, have a recent
    status report and to which no old order can still be in transit.

    Parameters
    ----------
    is_settled : callable
        Whether no old order to an instance can still be in transit.
    """

    def __init__(
        self, inputs: PlannerInput, is_settled: Callable[[InstanceId], bool], now: float
    ) -> None:
        self._members_by_domain: dict[tuple[str, FabricDomain], list[Member]] = defaultdict(list)
        for listed in sorted(inputs.fleet, key=lambda listed: listed.instance):
            if listed.data_centre != inputs.data_centre or listed.state is not ListedState.LIVE:
                continue
            if listed.instance in inputs.state.member_of or not is_settled(listed.instance):
                continue
            report = inputs.presence.recent_report(
                listed.instance, now, inputs.policy.presence_ttl_s
            )
            if report is not None:
                member = Member(listed.instance, report.incarnation, listed.address)
                self._members_by_domain[listed.service, listed.domain].append(member)

    def free_counts(self, service: str) -> dict[FabricDomain, int]:
        """Return the number of free instances of a service in each domain that has any."""
        return {
            domain: len(members)
            for (name, domain), members in self._members_by_domain.items()
            if name == service and members
        }

    def take(self, service: str, domain: FabricDomain, count: int) -> list[Member]:
        """Remove and return `count` instances, or fewer if there are not so many."""
        members = self._members_by_domain[service, domain]
        taken, self._members_by_domain[service, domain] = members[:count], members[count:]
        return taken
