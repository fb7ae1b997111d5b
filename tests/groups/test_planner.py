"""Planning: repair, weights between the users' measures, roll-out, load orders."""

import itertools

import pytest

from briarpond.configuration import Configuration, check_document
from briarpond.groups import (
    Planner,
    PlannerInput,
    PlannerPolicy,
    PresenceTable,
    ReadinessCode,
    due_orders,
    group_readiness,
    loading_groups,
)
from briarpond.journal import (
    GroupDissolve,
    GroupForm,
    GroupPhase,
    GroupRetire,
    GroupSpec,
    State,
    apply,
)
from briarpond.ports import EngineState, FleetInstance, InstanceState, StatusReport

SIZE = 2
TTL_S = 2.0
SETTLE_S = 1.0


class Site:
    """One data centre with instances that report as told."""

    def __init__(self, domains, groups, weight=0.5, version="1"):
        self.weight = weight
        self.ids = itertools.count()
        self.presence = PresenceTable()
        self.planner = Planner()
        self.fleet = {}
        self.silent = set()
        self.incarnations = {}
        self.now = 100.0
        self.state = State()
        self.configure(groups, version)
        for domain, count in domains.items():
            for number in range(count):
                name = f"{domain}{number}"
                self.fleet[name] = FleetInstance(
                    name, "pool", f"{name}:1", "dc", domain, 4, InstanceState.LIVE
                )
                self.incarnations[name] = f"{name}#1"

    def configure(self, groups, version):
        """Put a configuration in force."""
        deployment = {
            "service": "pool",
            "model": "m",
            "version": version,
            "group_size": SIZE,
            "groups": {"dc": groups},
        }
        document = check_document({"deployments": {"d": deployment}}).ok
        from msgspec.structs import replace

        config = Configuration(self.state.config.version + 1, document)
        self.state = replace(self.state, config=config)

    def report(self):
        """Let every instance that speaks report what the state wants of it."""
        for name, incarnation in self.incarnations.items():
            if name in self.silent:
                continue
            group = self.state.groups.get(self.state.member_of.get(name, ""))
            held = (group.generation, group.id, group.spec) if group else (0, None, None)
            state = EngineState.READY if group else EngineState.IDLE
            self.presence.observe(StatusReport(name, incarnation, state, *held), self.now)

    def plan(self):
        """Plan once without folding."""
        policy = PlannerPolicy(TTL_S, SETTLE_S, 60.0, self.weight)
        given = PlannerInput(
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
        return self.planner.plan(given, self.now)

    def run(self, seconds):
        """Report, plan and fold twice a second; return every record."""
        made = []
        for _ in range(round(seconds * 2)):
            self.report()
            for record in self.plan():
                made.append(record)
                self.state = apply(self.state, record, self.state.position + 1)
            self.now += 0.5
        return made

    def ready(self):
        """Return how many groups are ready."""
        return sum(
            group_readiness(group, self.presence, self.now, TTL_S).ready
            for group in self.state.groups.values()
        )


def _members(site):
    return {member.instance for group in site.state.groups.values() for member in group.members}


def test_forms_within_one_domain_only():
    site = Site({"a": 3, "b": 1}, groups=2)
    site.run(3)
    assert len(site.state.groups) == 1
    assert {name[0] for name in _members(site)} == {"a"}


@pytest.mark.parametrize(("weight", "domain"), [(0.9, "a"), (0.1, "b")])
def test_weight_moves_where_spares_are_left(weight, domain):
    site = Site({"a": 3, "b": 2}, groups=1, weight=weight)
    site.run(2)
    assert {name[0] for name in _members(site)} == {domain}


def test_lost_member_is_replaced_from_its_domain():
    site = Site({"a": 3}, groups=1)
    site.run(2)
    lost = next(iter(site.state.groups.values())).members[0].instance
    site.silent.add(lost)
    made = site.run(6)
    assert [type(record) for record in made] == [GroupForm]
    assert made[0].replaces is not None
    assert lost not in _members(site) and len(_members(site)) == SIZE


def test_restarted_member_means_a_new_generation_at_once():
    site = Site({"a": 2}, groups=1)
    site.run(2)
    before = next(iter(site.state.groups.values())).generation
    site.incarnations["a0"] = "a0#2"
    made = site.run(1)
    assert made[0].replaces is not None
    assert next(iter(site.state.groups.values())).generation > before


@pytest.mark.parametrize(("weight", "waits"), [(1.0, True), (0.0, False)])
def test_weight_moves_how_long_a_group_waits_for_a_member(weight, waits):
    site = Site({"a": 2}, groups=1, weight=weight)
    site.run(2)
    site.silent.add("a0")
    site.run(10)
    assert bool(site.state.groups) is waits
    site.run(20)
    assert not site.state.groups, "a group that cannot be whole gives its instances back"


def test_short_pause_changes_nothing():
    site = Site({"a": 3}, groups=1)
    site.run(2)
    site.silent.add("a0")
    assert site.run(3) == []
    site.silent.clear()
    site.run(1)
    assert site.ready() == 1


def test_leaving_member_retires_the_group_and_then_frees_it():
    from msgspec.structs import replace

    site = Site({"a": 4}, groups=1)
    site.run(2)
    leaving = next(iter(_members(site)))
    site.fleet[leaving] = replace(site.fleet[leaving], state=InstanceState.LEAVING)
    made = site.run(0.5)
    assert isinstance(made[0], GroupRetire)
    made += site.run(4)
    assert GroupDissolve in {type(record) for record in made}
    assert leaving not in _members(site)
    assert site.ready() == 1


def test_new_version_replaces_one_group_at_a_time():
    site = Site({"a": 4, "b": 2}, groups=3)
    site.run(3)
    assert site.ready() == 3
    site.configure(3, "2")
    lowest = 3
    for _ in range(60):
        site.run(0.5)
        lowest = min(lowest, site.ready())
    specs = {group.spec.version for group in site.state.groups.values()}
    assert (lowest, site.ready(), specs) == (2, 3, {"2"})


def test_new_version_surges_where_there_is_room():
    site = Site({"a": 4}, groups=1)
    site.run(2)
    site.configure(1, "2")
    for _ in range(30):
        site.run(0.5)
        formed = [g for g in site.state.groups.values() if g.phase is GroupPhase.FORMED]
        assert formed, "the old group stays until the new one is ready"
    assert [group.spec.version for group in formed] == ["2"]


def test_roll_out_goes_on_where_instances_are_short_for_good():
    site = Site({"a": 2}, groups=2)
    site.run(2)
    site.configure(2, "2")
    site.run(20)
    assert {group.spec.version for group in site.state.groups.values()} == {"1"}
    site.run(25)
    assert {group.spec.version for group in site.state.groups.values()} == {"2"}


def test_fewer_groups_wanted():
    site = Site({"a": 4}, groups=2)
    site.run(2)
    site.configure(1, "1")
    site.run(5)
    assert len(site.state.groups) == 1


def test_released_instance_waits_until_old_orders_are_gone():
    site = Site({"a": 2}, groups=1)
    site.run(2)
    group = next(iter(site.state.groups.values()))
    gone = GroupDissolve("d", 0, "n2", group.id, group.generation, "x")
    site.state = apply(site.state, gone, site.state.position + 1)
    assert site.run(0.5) == []
    assert site.run(SETTLE_S + 0.5) != []


def test_new_planner_assumes_that_instances_were_released_just_now():
    site = Site({"a": 2}, groups=1)
    site.run(2)
    group = next(iter(site.state.groups.values()))
    gone = GroupDissolve("d", 0, "n2", group.id, group.generation, "x")
    site.state = apply(site.state, gone, site.state.position + 1)
    site.planner = Planner()
    assert site.run(0.5) == []


def test_orders_go_to_members_that_do_not_hold_the_generation():
    site = Site({"a": 2}, groups=1)
    site.report()
    site.state = apply(site.state, site.plan()[0], 1)
    group = next(iter(site.state.groups.values()))
    orders = due_orders(group, site.presence, site.now, TTL_S)
    assert [due.order.rank for due in orders] == [0, 1]
    assert {due.order.generation for due in orders} == {group.generation}
    site.report()
    assert due_orders(group, site.presence, site.now, TTL_S) == []


def test_weight_store_is_not_asked_twice_for_the_same_bytes():
    site = Site({"a": 6}, groups=3)
    site.report()
    for record in site.plan():
        site.state = apply(site.state, record, site.state.position + 1)
    groups = list(site.state.groups.values())
    assert len(loading_groups(groups, site.presence, site.now, TTL_S, 3)) == 1


def test_readiness_names_what_is_wrong():
    site = Site({"a": 2}, groups=1)
    site.run(2)
    group = next(iter(site.state.groups.values()))

    def judge(**changed):
        fields = {
            "incarnation": "a0#1",
            "state": EngineState.READY,
            "generation": group.generation,
            "group": group.id,
            "spec": group.spec,
        }
        site.now += 0.1
        site.report()
        site.presence.observe(StatusReport("a0", **(fields | changed)), site.now)
        return group_readiness(group, site.presence, site.now, TTL_S).code

    assert judge() is ReadinessCode.READY
    assert judge(incarnation="a0#2") is ReadinessCode.RESTARTED
    assert judge(generation=10**6) is ReadinessCode.OTHER_GENERATION
    assert judge(spec=GroupSpec("m", "0")) is ReadinessCode.OTHER_LOAD
    assert judge(state=EngineState.LOADING) is ReadinessCode.LOADING
    site.now += TTL_S + 0.1
    assert group_readiness(group, site.presence, site.now, TTL_S).code is ReadinessCode.ABSENT
