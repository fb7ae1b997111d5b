"""Which nodes read the configuration from the store, and what is put into force.

The pattern guarded against: settings that change often, each change read by every one of 195
nodes; and a node that goes back to an older configuration.
"""

import zlib

import pytest

from briarpond.directory import (
    ConfigRecord,
    ConfigStatus,
    StorePosition,
    encode_config_record,
)
from briarpond.gateway._config_keeper import CONFIRMED_MAX_AGE_S, ConfigKeeper
from briarpond.gateway._state import NodeState
from briarpond.net import LossReason
from briarpond.platform import load_gateway_settings

from ..platform_samples import SETTINGS, config_bytes
from .test_config_exchange import FetchingClient
from .world import VirtualClock

RELAY = "10.0.0.2"


class CountingStore:
    """Counts the calls, which are never answered."""

    era = 0

    def note_era(self, era):
        self.era = max(self.era, era)

    def __init__(self):
        self.calls = 0

    def call(self, request, timeout_s, on_answer, on_lost):
        self.calls += 1


class World:
    """A configuration keeper, with other nodes whose answers the test gives."""

    def __init__(self, tmp_path):
        path = tmp_path / "node.yaml"
        path.write_text(SETTINGS)
        self.clock = VirtualClock()
        self.client = FetchingClient()
        self.store = CountingStore()
        self.state = NodeState(load_gateway_settings(path).ok, self.clock, self.client)
        self.is_candidate = False
        self.may_read_store = False
        self.applied = []
        self.keeper = ConfigKeeper(
            self.state,
            self.store,
            lambda: self.is_candidate,
            lambda now: self.may_read_store,
            lambda config: self.applied.append(config.version),
            lambda failure_age_s: None,
        )
        self.keeper.start()

    def deliver(self, version, value=None):
        """Let another node offer a version, and deliver it if this node asks for it."""
        self.keeper.on_version(version, "10.0.0.2")
        if not self.client.fetches:
            return
        value = config_bytes(version=version) if value is None else value
        record = ConfigRecord(version, 0.1, zlib.compress(value))
        self.client.fetches.pop()[2](200, encode_config_record(record))

    def confirm_for(self, version, seconds):
        """Let relays confirm a version for a while, four times a second."""
        for _ in range(int(seconds * 4)):
            self.clock.advance(0.25)
            self.keeper.on_status(ConfigStatus(version, 0.1), self.clock.now() - 0.1, RELAY)


@pytest.fixture
def world(tmp_path):
    return World(tmp_path)


def test_configurations_come_from_other_nodes_without_a_call_to_the_store(world):
    for version in range(8, 20):
        world.deliver(version)
        world.confirm_for(version, 2.0)
    assert world.applied == list(range(8, 20))
    assert world.store.calls == 0


def test_age_follows_from_the_confirmations(world):
    world.deliver(8)
    world.confirm_for(8, 5.0)
    assert world.keeper.age(world.clock.now()) == pytest.approx(0.1)
    world.clock.advance(1.0)
    assert world.keeper.age(world.clock.now()) == pytest.approx(1.1)


def test_store_is_read_when_confirmations_stop(world):
    world.deliver(8)
    world.confirm_for(8, 2.0)
    world.clock.advance(CONFIRMED_MAX_AGE_S + 0.5)
    assert world.store.calls == 1


def test_store_is_read_if_no_node_delivers_a_newer_configuration(world):
    world.deliver(8)
    world.confirm_for(8, 1.0)
    world.keeper.on_version(9, "10.0.0.2")
    world.confirm_for(8, 0.5)
    assert world.store.calls == 0
    world.confirm_for(8, 1.5)
    assert world.store.calls == 1


def test_candidate_reads_the_store(world):
    world.deliver(8)
    world.confirm_for(8, 0.5)
    world.is_candidate = True
    world.clock.advance(0.3)
    assert world.store.calls == 1


def test_older_configuration_is_never_put_into_force(world):
    """Another node may still offer what was in force before."""
    world.deliver(9)
    world.deliver(8)
    record = ConfigRecord(8, 0.0, config_bytes(version=8))
    world.keeper._on_record(record, world.clock.now(), RELAY)
    assert world.state.config.version == 9 and world.applied == [9]


def test_confirmation_of_another_version_does_not_count(world):
    world.deliver(9)
    world.clock.advance(1.0)
    world.keeper.on_status(ConfigStatus(8, 0.0), world.clock.now(), RELAY)
    assert world.keeper.age(world.clock.now()) == pytest.approx(1.1)


def test_unreadable_configuration_changes_nothing(world):
    world.deliver(8)
    world.deliver(9, b"not a configuration")
    assert world.state.config.version == 8


def confirm_ever_older(world, version, newest_at, until_age_s):
    """Let relays that the store rejects repeat the last confirmation that they got."""
    while world.clock.now() - newest_at < until_age_s - 0.1:
        world.clock.advance(0.1)
        status = ConfigStatus(version, world.clock.now() - newest_at)
        world.keeper.on_status(status, newest_at, RELAY)


def test_announced_version_does_not_delay_the_read_of_outdated_records(world):
    """Guards against a change applied 3.4 s after its acknowledgement.

    The store rejected 35 of 100 nodes; the fetch from a node that did not answer was awaited for
    1 s although the node's own confirmation had become too old to rely on.
    """
    world.deliver(8)
    newest_at = world.clock.now()
    confirm_ever_older(world, 8, newest_at, CONFIRMED_MAX_AGE_S - 0.1)
    assert world.store.calls == 0
    world.keeper.on_version(9, "10.0.0.3")
    world.clock.advance(0.3)
    assert world.store.calls == 1


def test_versions_in_quick_succession_do_not_put_off_the_read(world):
    """Guards against a wait that each newer version begins anew."""
    world.deliver(8)
    for version in range(9, 19):
        world.keeper.on_version(version, "10.0.0.3")
        world.clock.advance(0.4)
    assert world.store.calls >= 1


def test_version_announced_during_a_fetch_that_fails_is_fetched_from_its_host(world):
    """Guards against a host that does not answer, while others announce the same version."""
    world.deliver(8)
    world.keeper.on_version(9, "10.0.0.3")
    world.keeper.on_version(9, "10.0.0.4")
    world.client.fetches.pop()[3](LossReason.TIMEOUT)
    assert [fetch[0].host for fetch in world.client.fetches] == ["10.0.0.4"]


def test_version_announced_during_a_fetch_of_an_older_one_is_fetched(world):
    """Guards against a host that is itself behind what another has announced meanwhile."""
    world.keeper.on_version(8, "10.0.0.3")
    world.keeper.on_version(9, "10.0.0.4")
    record = ConfigRecord(8, 0.1, zlib.compress(config_bytes(version=8)))
    world.client.fetches.pop()[2](200, encode_config_record(record))
    assert world.applied == [8]
    assert [fetch[0].host for fetch in world.client.fetches] == ["10.0.0.4"]


def test_host_is_not_asked_again_for_a_version_that_has_arrived(world):
    world.keeper.on_version(9, "10.0.0.3")
    world.keeper.on_version(9, "10.0.0.4")
    record = ConfigRecord(9, 0.1, zlib.compress(config_bytes(version=9)))
    world.client.fetches.pop()[2](200, encode_config_record(record))
    assert world.client.fetches == []


# Guards against nodes that confirm an older version to each other after they were told of a newer
# one: a node that gets outdated answers from the store goes on telling what it has.
def test_version_that_is_known_not_to_be_the_newest_is_not_confirmed(world):
    world.deliver(8)
    world.clock.advance(0.5)
    age = world.keeper.age(world.clock.now())
    world.keeper.on_version(9, "10.0.0.3")
    world.client.fetches.pop()[3](LossReason.TIMEOUT)
    world.confirm_for(8, 0.5)
    assert world.keeper.age(world.clock.now()) == pytest.approx(age + 0.5)


def test_record_that_is_known_not_to_be_the_newest_is_used_but_not_confirmed(world):
    world.keeper.on_version(9, "10.0.0.3")
    world.client.fetches.pop()[3](LossReason.TIMEOUT)
    record = ConfigRecord(8, 0.0, config_bytes(version=8), StorePosition(0, 9))
    world.keeper._on_record(record, world.clock.now(), RELAY)
    assert world.applied == [8]
    assert world.keeper.age(world.clock.now()) is None
