"""Planning of groups: repair, the downtime weight, roll-outs, load orders, readiness."""

import itertools

import pytest

from briarpond.configuration import Configuration, check_document
from briarpond.groups import (
    GroupProposer,
    PlannerInput,
    PlannerPolicy,
    PresenceTable,
    ReadinessCode,
    group_readiness,
    groups_to_load,
    pending_orders,
)
from briarpond.journal import (
    FoldedState,
    GroupDissolve,
    GroupForm,
    GroupPhase,
    GroupRetire,
    GroupSpec,
    apply_record,
)
from briarpond.ports import EngineState, ListedInstance, ListedState, StatusReport

GROUP_SIZE = 2
TTL_S = 2.0
SETTLE_S = 1.0


class DataCentreSimulation:
    """One data centre with a planner, its instances and the folded state.

    Instances carry out load orders at once, unless they are silent.

    Attributes
    ----------
    weight : float
        Weight of downtime against stranded accelerators, 0 to 1.
    silent : set of str
        Instances that send no status reports.
    incarnations : dict
        Incarnation of each instance; a new one stands for a restart.
    """

    def __init__(self, domains, groups, weight=0.5, version="1"):
        self.weight = weight
        self.ids = itertools.count()
        self.presence = PresenceTable()
        self.planner = GroupProposer()
        self.fleet = {}
        self.silent = set()
        self.incarnations = {}
        self.now = 100.0
        self.state = FoldedState()
        self.configure(groups, version)
        for domain, count in domains.items():
            for number in range(count):
                name = f"{domain}{number}"
                self.fleet[name] = ListedInstance(
                    name, "pool", f"{name}:1", "dc", domain, 4, ListedState.LIVE
                )
                self.incarnations[name] = f"{name}#1"

    def configure(self, groups, version):
        """Put a configuration in force with a number of groups of a model version."""
        deployment = {
            "service": "pool",
            "model": "m",
            "version": version,
            "group_size": GROUP_SIZE,
            "groups": {"dc": groups},
        }
        document = check_document({"deployments": {"d": deployment}}).ok
        from msgspec.structs import replace

        config = Configuration(self.state.config.version + 1, document)
        self.state = replace(self.state, config=config)

    def report(self):
        """Store a report of each instance that is not silent, as if its load was done."""
        for name, incarnation in self.incarnations.items():
            if name in self.silent:
                continue
            group = self.state.groups.get(self.state.member_of.get(name, ""))
            load = (group.generation, group.id, group.spec) if group else (0, None, None)
            state = EngineState.READY if group else EngineState.IDLE
            self.presence.record_report(StatusReport(name, incarnation, state, *load), self.now)

    def plan(self):
        """Run one planning round; return its records without folding them."""
        policy = PlannerPolicy(TTL_S, SETTLE_S, 60.0, self.weight)
        inputs = PlannerInput(
            0,
            "n1",
            "dc",
            self.state,
            tuple(self.fleet.values()),
            self.presence,
            policy,
            lambda: f"x{next(self.ids)}",
            lambda group: group_readiness(group, self.presence, self.now, TTL_S).ready,
            frozenset({"dc"}),
        )
        return self.planner.plan(inputs, self.now)

    def run(self, seconds):
        """Report, plan and fold every 0.5 s; return all records."""
        records = []
        for _ in range(round(seconds * 2)):
            self.report()
            for record in self.plan():
                records.append(record)
                self.state = apply_record(self.state, record, self.state.position + 1)
            self.now += 0.5
        return records

    def ready_count(self):
        """Return how many groups are ready."""
        return sum(
            group_readiness(group, self.presence, self.now, TTL_S).ready
            for group in self.state.groups.values()
        )


def _members(simulation):
    return {
        member.instance for group in simulation.state.groups.values() for member in group.members
    }


def test_groups_are_formed_within_one_domain():
    simulation = DataCentreSimulation({"a": 3, "b": 1}, groups=2)
    simulation.run(3)
    assert len(simulation.state.groups) == 1
    assert {name[0] for name in _members(simulation)} == {"a"}


@pytest.mark.parametrize(("weight", "domain"), [(0.9, "a"), (0.1, "b")])
def test_downtime_weight_decides_which_domain_keeps_spares(weight, domain):
    simulation = DataCentreSimulation({"a": 3, "b": 2}, groups=1, weight=weight)
    simulation.run(2)
    assert {name[0] for name in _members(simulation)} == {domain}


def test_lost_member_is_replaced_from_its_domain():
    simulation = DataCentreSimulation({"a": 3}, groups=1)
    simulation.run(2)
    lost = next(iter(simulation.state.groups.values())).members[0].instance
    simulation.silent.add(lost)
    records = simulation.run(6)
    assert [type(record) for record in records] == [GroupForm]
    assert records[0].replaces is not None
    assert lost not in _members(simulation) and len(_members(simulation)) == GROUP_SIZE


def test_group_of_a_restarted_member_is_formed_again_at_once():
    simulation = DataCentreSimulation({"a": 2}, groups=1)
    simulation.run(2)
    before = next(iter(simulation.state.groups.values())).generation
    simulation.incarnations["a0"] = "a0#2"
    records = simulation.run(1)
    assert records[0].replaces is not None
    assert next(iter(simulation.state.groups.values())).generation > before


@pytest.mark.parametrize(("weight", "waits"), [(1.0, True), (0.0, False)])
def test_downtime_weight_decides_how_long_a_group_waits_for_an_absent_member(weight, waits):
    simulation = DataCentreSimulation({"a": 2}, groups=1, weight=weight)
    simulation.run(2)
    simulation.silent.add("a0")
    simulation.run(10)
    assert bool(simulation.state.groups) is waits
    simulation.run(20)
    assert not simulation.state.groups, "a group that cannot be completed is dissolved"


def test_short_absence_of_a_member_changes_nothing():
    simulation = DataCentreSimulation({"a": 3}, groups=1)
    simulation.run(2)
    simulation.silent.add("a0")
    assert simulation.run(3) == []
    simulation.silent.clear()
    simulation.run(1)
    assert simulation.ready_count() == 1


def test_group_of_a_leaving_member_is_retired_and_then_formed_without_it():
    from msgspec.structs import replace

    simulation = DataCentreSimulation({"a": 4}, groups=1)
    simulation.run(2)
    leaving = next(iter(_members(simulation)))
    simulation.fleet[leaving] = replace(simulation.fleet[leaving], state=ListedState.LEAVING)
    records = simulation.run(0.5)
    assert isinstance(records[0], GroupRetire)
    records += simulation.run(4)
    assert GroupDissolve in {type(record) for record in records}
    assert leaving not in _members(simulation)
    assert simulation.ready_count() == 1


def test_new_version_replaces_one_group_at_a_time():
    simulation = DataCentreSimulation({"a": 4, "b": 2}, groups=3)
    simulation.run(3)
    assert simulation.ready_count() == 3
    simulation.configure(3, "2")
    lowest = 3
    for _ in range(60):
        simulation.run(0.5)
        lowest = min(lowest, simulation.ready_count())
    specs = {group.spec.version for group in simulation.state.groups.values()}
    assert (lowest, simulation.ready_count(), specs) == (2, 3, {"2"})


def test_new_version_forms_a_replacement_first_where_instances_are_free():
    simulation = DataCentreSimulation({"a": 4}, groups=1)
    simulation.run(2)
    simulation.configure(1, "2")
    for _ in range(30):
        simulation.run(0.5)
        formed = [g for g in simulation.state.groups.values() if g.phase is GroupPhase.FORMED]
        assert formed, "the old group was retired before its replacement was ready"
    assert [group.spec.version for group in formed] == ["2"]


def test_roll_out_continues_where_instances_are_permanently_too_few():
    simulation = DataCentreSimulation({"a": 2}, groups=2)
    simulation.run(2)
    simulation.configure(2, "2")
    simulation.run(20)
    assert {group.spec.version for group in simulation.state.groups.values()} == {"1"}
    simulation.run(25)
    assert {group.spec.version for group in simulation.state.groups.values()} == {"2"}


def test_surplus_group_is_removed_when_fewer_are_configured():
    simulation = DataCentreSimulation({"a": 4}, groups=2)
    simulation.run(2)
    simulation.configure(1, "1")
    simulation.run(5)
    assert len(simulation.state.groups) == 1


def test_released_instance_is_not_used_while_old_orders_may_be_in_transit():
    simulation = DataCentreSimulation({"a": 2}, groups=1)
    simulation.run(2)
    group = next(iter(simulation.state.groups.values()))
    dissolve_record = GroupDissolve("d", 0, "n2", group.id, group.generation, "x")
    simulation.state = apply_record(
        simulation.state, dissolve_record, simulation.state.position + 1
    )
    assert simulation.run(0.5) == []
    assert simulation.run(SETTLE_S + 0.5) != []


def test_new_planner_treats_free_instances_as_released_just_now():
    simulation = DataCentreSimulation({"a": 2}, groups=1)
    simulation.run(2)
    group = next(iter(simulation.state.groups.values()))
    dissolve_record = GroupDissolve("d", 0, "n2", group.id, group.generation, "x")
    simulation.state = apply_record(
        simulation.state, dissolve_record, simulation.state.position + 1
    )
    simulation.planner = GroupProposer()
    assert simulation.run(0.5) == []


def test_orders_go_only_to_members_that_do_not_report_the_generation():
    simulation = DataCentreSimulation({"a": 2}, groups=1)
    simulation.report()
    simulation.state = apply_record(simulation.state, simulation.plan()[0], 1)
    group = next(iter(simulation.state.groups.values()))
    orders = pending_orders(group, simulation.presence, simulation.now, TTL_S)
    assert [pending.order.rank for pending in orders] == [0, 1]
    assert {pending.order.generation for pending in orders} == {group.generation}
    simulation.report()
    assert pending_orders(group, simulation.presence, simulation.now, TTL_S) == []


def test_only_one_group_of_a_model_and_version_loads_at_a_time():
    simulation = DataCentreSimulation({"a": 6}, groups=3)
    simulation.report()
    for record in simulation.plan():
        simulation.state = apply_record(simulation.state, record, simulation.state.position + 1)
    groups = list(simulation.state.groups.values())
    assert len(groups_to_load(groups, simulation.presence, simulation.now, TTL_S, 3)) == 1


def test_readiness_code_names_the_reason():
    simulation = DataCentreSimulation({"a": 2}, groups=1)
    simulation.run(2)
    group = next(iter(simulation.state.groups.values()))

    def reported_code(**changed):
        """Return the code of the group after a report of its head with changed fields."""
        fields = {
            "incarnation": "a0#1",
            "state": EngineState.READY,
            "generation": group.generation,
            "group": group.id,
            "spec": group.spec,
        }
        simulation.now += 0.1
        simulation.report()
        simulation.presence.record_report(StatusReport("a0", **(fields | changed)), simulation.now)
        return group_readiness(group, simulation.presence, simulation.now, TTL_S).code

    assert reported_code() is ReadinessCode.READY
    assert reported_code(incarnation="a0#2") is ReadinessCode.RESTARTED
    assert reported_code(generation=10**6) is ReadinessCode.OTHER_GENERATION
    assert reported_code(spec=GroupSpec("m", "0")) is ReadinessCode.OTHER_LOAD
    assert reported_code(state=EngineState.LOADING) is ReadinessCode.LOADING
    simulation.now += TTL_S + 0.1
    assert (
        group_readiness(group, simulation.presence, simulation.now, TTL_S).code
        is ReadinessCode.ABSENT
    )
