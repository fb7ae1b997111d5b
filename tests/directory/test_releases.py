"""Messages between this release and earlier ones, which run side by side during an upgrade.

`releases/` has of each earlier release the definition of its messages, and messages as it encodes
them. Those of a new release are added when it is made.
"""

import json
import re
from pathlib import Path

import msgspec
import pytest
from thrift.protocol.TBase import TBase
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.Thrift import TType
from thrift.transport.TTransport import TMemoryBuffer

from briarpond import directory
from briarpond.directory import (
    CURRENT_VERSION,
    Answer,
    ConfigStatus,
    ExchangeVersion,
    Load,
    Member,
    MemberTable,
    Notice,
    PlanVersion,
    Pull,
    StorePosition,
    decode_config_record,
    decode_datagram,
    encode_datagram,
)
from briarpond.net import Address

from .test_directory import MESSAGES, member, sync_with_position

FOLDER = Path(__file__).with_name("releases")
RELEASES = sorted(path.stem for path in FOLDER.glob("*.thrift"))
PRESENT = Path(directory.__file__).with_name("exchange.thrift")
VERSIONS = {
    "0.6": ExchangeVersion.WITHOUT_ERAS,
    "0.7": ExchangeVersion.WITHOUT_ERAS,
    "0.8": ExchangeVersion.STORE_ERAS,
}
PLAIN_TYPES = {
    "bool": TType.BOOL,
    "i32": TType.I32,
    "i64": TType.I64,
    "double": TType.DOUBLE,
    "string": TType.STRING,
    "binary": TType.STRING,
}
STRUCT_OF_TAG = {b"P": "Pull", b"A": "Answer", b"N": "Notice"}
FIELD = re.compile(r"(\d+): (required|optional) ([\w<>]+) (\w+)")
STRUCT = re.compile(r"struct (\w+) \{(.*?)\}", re.DOTALL)


def definition(path):
    """Return the fields of each struct: number, whether it is required, type and name."""
    return {
        name: [
            (int(number), need, kind, field) for number, need, kind, field in FIELD.findall(body)
        ]
        for name, body in STRUCT.findall(path.read_text())
    }


def structs_of(path):
    """Return classes that read the structs of a definition, as its release did."""
    classes = {}
    for name, fields in definition(path).items():
        spec = [None] * (1 + max(number for number, *_ in fields))
        for number, _, kind, field in fields:
            wire_type, arguments = _field_type(kind, classes)
            spec[number] = (number, wire_type, field, arguments, None)
        classes[name] = type(name, (TBase,), {"thrift_spec": tuple(spec)})
    return classes


def _field_type(kind, classes):
    if kind.startswith("list<"):
        element_type, arguments = _field_type(kind[len("list<") : -1], classes)
        return TType.LIST, (element_type, arguments, False)
    if kind in classes:
        return TType.STRUCT, [classes[kind], classes[kind].thrift_spec]
    is_text = kind == "string"
    return PLAIN_TYPES[kind], "UTF8" if is_text else None


def samples(release):
    return json.loads((FOLDER / f"{release}.json").read_text())


def read_as(release, data):
    """Read a datagram as a release did; required fields that lack are errors."""
    path = FOLDER / f"{release}.thrift"
    name = STRUCT_OF_TAG[data[:1]]
    struct = structs_of(path)[name]()
    struct.read(TCompactProtocol(TMemoryBuffer(data[1:])))
    for _, need, _, field in definition(path)[name]:
        assert need == "optional" or getattr(struct, field) is not None, (name, field)
    return struct


# Guards against a message that nodes of another release take for malformed, and drop.
@pytest.mark.parametrize("release", RELEASES)
def test_definition_keeps_all_fields_and_adds_optional_ones(release):
    present, former = definition(PRESENT), definition(FOLDER / f"{release}.thrift")
    for name, fields in former.items():
        assert set(fields) <= set(present[name]), name
        added = set(present[name]) - set(fields)
        assert all(need == "optional" for _, need, _, _ in added), name


@pytest.mark.parametrize("release", RELEASES)
def test_messages_of_earlier_releases_are_read(release):
    for sample in samples(release)["datagrams"]:
        decoded = decode_datagram(bytes.fromhex(sample))
        assert decoded.is_ok(), decoded
        version = decoded.ok.sender.exchange_version
        # A sample of 0.8 whose sender doesn't tell whether it is cut off was passed on by 0.7.
        assert version == VERSIONS[release] or decoded.ok.sender.cut_off is None
    record = decode_config_record(bytes.fromhex(samples(release)["config_record"])).ok
    era = 2 if VERSIONS[release] >= ExchangeVersion.STORE_ERAS else 0
    assert record.position == StorePosition(era, 9)
    assert record.value == b'{"version": 4}' and record.evacuated == {"north"}


@pytest.mark.parametrize("release", RELEASES)
@pytest.mark.parametrize("message", MESSAGES)
def test_earlier_releases_read_messages_of_this_one(release, message):
    struct = read_as(release, encode_datagram(message))
    sender = message.sender
    assert (struct.sender.node, struct.sender.ready) == (sender.node, sender.ready)
    match message:
        case Pull():
            assert struct.plan_term == message.plan.term
            assert [row.instance for row in struct.load.servers] == ["i"]
        case Answer():
            assert [row.node for row in struct.members] == [row.node for row in message.members]
        case Notice():
            assert struct.relayed is message.relayed


# Guards against a release of which no messages are kept: its upgrade would be untested.
def test_messages_of_the_last_releases_are_kept():
    assert set(VERSIONS) == set(RELEASES)
    assert max(VERSIONS.values()) < CURRENT_VERSION


def passed_on_by_earlier_release(description):
    """Return a description as a node of 0.7 passes it on: without the fields that it lacks."""
    return Member(
        *(getattr(description, name) for name in description.__struct_fields__[:10]),
        cut_off=None,
        exchange_version=ExchangeVersion.WITHOUT_ERAS,
    )


# Guards against callers of a cut-off node who are not helped: the description of the helper came
# through a node of 0.7 first, and the whole one was not taken, as nothing in it had changed.
def test_whole_description_replaces_one_that_an_earlier_release_has_passed_on():
    table = MemberTable(member("1"))
    whole = member("2", cut_off=False)
    table.merge(passed_on_by_earlier_release(whole), 10.0)
    assert table.lowest_version() == ExchangeVersion.WITHOUT_ERAS
    table.heard(whole, 10.1)
    assert table.live(10.1) == [whole] and table.lowest_version() == CURRENT_VERSION
    table.merge(passed_on_by_earlier_release(whole), 10.2)
    assert table.live(10.2) == [whole]


# Guards against a node of 0.7 that refuses all keys after a restoration, since it takes none of the
# confirmations: its position is that of before, which the records have not reached again.
@pytest.mark.parametrize(
    ("version", "offset", "told"),
    [
        (ExchangeVersion.WITHOUT_ERAS, 9, None),
        (ExchangeVersion.WITHOUT_ERAS, 4, StorePosition(2, 4)),
        (ExchangeVersion.WITHOUT_ERAS, 3, StorePosition(2, 4)),
        (ExchangeVersion.STORE_ERAS, 9, StorePosition(2, 4)),
    ],
)
def test_position_is_not_told_to_a_node_without_eras_that_is_beyond_it(version, offset, told):
    status = ConfigStatus(7, 0.5, StorePosition(2, 4))
    sync = sync_with_position(member("1"), status, [])
    asker = member("2", exchange_version=version)
    position = StorePosition(0, offset)
    pull = Pull(asker, 1, 0, 0, PlanVersion(), 7, Load(), config_position=position)
    (answer,) = sync.on_pull(pull, 10.0)
    assert answer.message.config == msgspec.structs.replace(status, position=told)


def test_mark_of_a_node_that_is_gone_is_taken_from_an_earlier_release():
    table = MemberTable(member("1"))
    whole = member("2")
    table.heard(whole, 10.0)
    table.merge(passed_on_by_earlier_release(member("2", gone=True)), 10.1)
    assert table.live(10.1) == []


# Guards against terms with an era too soon: a killed node of an earlier release comes back.
def test_node_that_is_gone_counts_for_the_lowest_version_until_it_is_replaced():
    table = MemberTable(member("1"))
    old = passed_on_by_earlier_release(member("2", gone=True))
    table.merge(old, 10.0)
    assert table.lowest_version() == ExchangeVersion.WITHOUT_ERAS
    replacement = Member("2", old.incarnation + 1, 0, Address("10.0.0.2", 80), "a", True, False)
    table.heard(replacement, 12.0)
    assert table.lowest_version() == CURRENT_VERSION
