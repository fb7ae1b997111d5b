"""Instances that could join a group now."""

from collections import defaultdict
from collections.abc import Callable

from briarpond.ids import FabricDomain, InstanceId
from briarpond.journal import Member
from briarpond.ports import InstanceState

from ._inputs import PlannerInput


class FreePool:
    """Instances that could join a group now, by service and fabric domain."""

    def __init__(
        self, given: PlannerInput, settled: Callable[[InstanceId], bool], now: float
    ) -> None:
        self._by_place: dict[tuple[str, FabricDomain], list[Member]] = defaultdict(list)
        for row in sorted(given.fleet, key=lambda row: row.instance):
            if row.data_centre != given.data_centre or row.state is not InstanceState.LIVE:
                continue
            if row.instance in given.state.member_of or not settled(row.instance):
                continue
            report = given.presence.fresh(row.instance, now, given.policy.presence_ttl_s)
            if report is not None:
                member = Member(row.instance, report.incarnation, row.address)
                self._by_place[row.service, row.domain].append(member)

    def domains(self, service: str) -> dict[FabricDomain, int]:
        """Return how many instances each domain has free for `service`."""
        return {
            domain: len(members)
            for (name, domain), members in self._by_place.items()
            if name == service and members
        }

    def take(self, service: str, domain: FabricDomain, count: int) -> list[Member]:
        """Remove and return `count` instances."""
        members = self._by_place[service, domain]
        taken, self._by_place[service, domain] = members[:count], members[count:]
        return taken
