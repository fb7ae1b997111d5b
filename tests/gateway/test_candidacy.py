"""Which terms of the lease a node knows to be in use, and when terms must have the store's era."""

from types import SimpleNamespace

import msgspec
import pytest

from briarpond.directory import ExchangeVersion, Plan, RoutingTargets
from briarpond.fleet import Membership, MemberState
from briarpond.gateway._candidacy import Candidacy

from .world import Gateway, make_instance


@pytest.fixture
def node(tmp_path):
    gateway = Gateway(tmp_path)
    fleet = gateway.state.fleet
    for listed in fleet.all_instances():
        fleet.put(msgspec.structs.replace(listed, membership=None), 0.0)
    members = SimpleNamespace(lowest_version=lambda: ExchangeVersion.TOLD)
    store = SimpleNamespace(was_restored=False)
    feed = SimpleNamespace(age=lambda now: 0.0)
    candidacy = Candidacy(gateway.state, SimpleNamespace(members=members), store, feed)
    return SimpleNamespace(gateway=gateway, members=members, store=store, candidacy=candidacy)


def list_member_of(node, epoch):
    membership = Membership("g", epoch, 0, MemberState.OPEN)
    listed = msgspec.structs.replace(make_instance("i-1"), membership=membership)
    node.gateway.state.fleet.put(listed, 0.0)


def test_no_term_is_in_use_where_nobody_has_planned(node):
    node.gateway.state.plan = None
    assert node.candidacy.highest_used_term() == 0


# Guards against a term that the newest plan doesn't show, since its planner has formed groups and
# ended before other nodes heard of it.
@pytest.mark.parametrize(
    ("plan_term", "epoch", "highest"), [(7, 9_000_004, 9), (12, 9_000_004, 12)]
)
def test_terms_in_use_are_those_of_the_plan_and_of_listed_groups(node, plan_term, epoch, highest):
    node.gateway.state.accept_plan(Plan(plan_term, 1, True, RoutingTargets()), 0.0)
    list_member_of(node, epoch)
    assert node.candidacy.highest_used_term() == highest


@pytest.mark.parametrize(
    ("version", "highest"),
    [(ExchangeVersion.WITHOUT_ERAS, 9), (ExchangeVersion.STORE_ERAS, None)],
)
def test_terms_must_have_the_era_after_a_restoration_unless_a_node_knows_none(
    node, version, highest
):
    list_member_of(node, 9_000_004)
    node.store.was_restored = True
    node.members.lowest_version = lambda: version
    assert node.candidacy.highest_used_term() == highest
