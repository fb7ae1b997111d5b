"""Records, answers and reports that another party wrote: any bytes are decoded or refused.

Each decoder returns an error for what it can't read; it never raises, and what it accepts can be
sent on to other nodes and servers.
"""

import json
import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from briarpond.directory import (
    GroupTarget,
    Member,
    Notice,
    PlainServerTarget,
    PlanDelta,
    PlanVersion,
    decode_datagram,
    encode_datagram,
)
from briarpond.gateway._registry import read_host
from briarpond.net import Address
from briarpond.platform import (
    KeyedRecord,
    decode_configuration,
    decode_instance,
    decode_lease,
    decode_newest,
    decode_records,
    decode_report,
)

from ..platform_samples import server_bytes

# Deeper than any parser follows.
DEEP = 100_000
NESTED = b'{"shelves":' + b"[" * DEEP

DECODERS = [
    lambda body: decode_instance("i-1", body),
    decode_report,
    decode_configuration,
    decode_lease,
    decode_newest,
    lambda body: decode_records(body, 0),
]

JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**80), 2**80)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda values: st.lists(values, max_size=3)
    | st.dictionaries(st.text(max_size=6), values, max_size=3),
    max_leaves=8,
)
FIELDS = [
    "service",
    "addr",
    "zone",
    "state",
    "slots",
    "born",
    "coldLeftMs",
    "domain",
    "staged",
    "models",
    "group",
]


# Guards against one unreadable record after which no node follows the list of servers any more.
@pytest.mark.parametrize("decode", DECODERS)
@pytest.mark.parametrize("body", [NESTED, b"[" * DEEP, b'{"end":1,"entries":' + b"[" * DEEP])
def test_deeply_nested_record_is_an_error(decode, body):
    assert decode(body).is_error()


@pytest.mark.parametrize("decode", DECODERS)
@given(body=st.binary(max_size=64))
@settings(max_examples=60, deadline=None)
def test_random_bytes_are_decoded_or_refused(decode, body):
    decode(body)


def encodable(instance):
    """Encode what a node tells others of an instance; return it as they read it."""
    epoch = 0 if instance.membership is None else instance.membership.epoch
    group = GroupTarget("g", epoch, "m", instance.id, instance.address, instance.data_centre)
    server = PlainServerTarget(
        instance.id, instance.service, instance.address, instance.data_centre, instance.slots
    )
    delta = PlanDelta(PlanVersion(1, 1), None, (group,), (server,), ())
    sender = Member("n", 1, 1, Address("10.0.0.1", 80), "a", True, False)
    return decode_datagram(encode_datagram(Notice(sender, (), 1, None, delta, False)))


# Guards against a readable entry whose numbers or texts the messages between nodes can't carry.
@given(changes=st.dictionaries(st.sampled_from(FIELDS), JSON_VALUES, max_size=3))
@settings(max_examples=300, deadline=None)
def test_accepted_entry_can_be_told_to_other_nodes(changes):
    entry = json.loads(server_bytes()) | changes
    decoded = decode_instance("i-1", json.dumps(entry).encode())
    if decoded.is_ok():
        assert encodable(decoded.ok).is_ok()


@pytest.mark.parametrize("slots", [2**32 - 1, 2**62])
def test_server_without_a_limit_of_slots_is_used_with_the_largest_one(slots):
    decoded = decode_instance("i-1", server_bytes(slots=slots))
    assert 0 < decoded.ok.slots < 2**31 and encodable(decoded.ok).is_ok()


@pytest.mark.parametrize(("value", "cold_left_s"), [(1e308, 3600.0), (-5, 0.0), (None, None)])
def test_time_for_which_a_server_stays_cold_is_bounded(value, cold_left_s):
    """Guards against a number that can't be logged, or a server that is never used again."""
    assert decode_instance("i-1", server_bytes(coldLeftMs=value)).ok.cold_left_s == cold_left_s


@pytest.mark.parametrize(
    "changes",
    [
        {"slots": -1},
        {"slots": 2**64},
        {"born": 2**63},
        {"addr": "10.0.0.1:0"},
        {"addr": "10.0.0.1:65536"},
        {"addr": "10.0.0.1:99999999999"},
        {"addr": "10.0.0.1:80\n"},
        {"addr": "\u0661\u0660.0.0.1:80"},
        {"addr": "010.0.0.1:80"},
        {"group": {"name": "g", "epoch": 2**63, "rank": 0, "state": "open"}},
        {"group": {"name": "g", "epoch": -1, "rank": 0, "state": "open"}},
    ],
)
def test_entry_with_a_number_out_of_range_is_an_error(changes):
    assert decode_instance("i-1", server_bytes(**changes)).is_error()


# Guards against ids that no request to the server can name.
@pytest.mark.parametrize("key", ["", "i 1", "i\x00", "\u0142", "i" * 300])
def test_entry_under_an_unusable_key_is_an_error(key):
    assert decode_instance(key, server_bytes()).is_error()


# Guards against one record of the first page that hides all others.
def test_unreadable_value_in_a_page_leaves_the_other_records():
    rows = [
        {"key": "a", "value": "%%%=", "offset": 1},
        {"key": "b", "value": "eA==", "offset": 2},
        {"key": "c", "value": 7, "offset": 3},
        {"value": "eA=="},
        "no record",
    ]
    page = decode_newest(json.dumps({"entries": rows, "end": 4, "hasMore": False}).encode()).ok
    assert [(entry.key, entry.value) for entry in page.entries if entry.value] == [("b", b"x")]
    assert page.end_offset == 4


def test_record_with_a_length_beyond_its_end_is_read_as_far_as_it_goes():
    record = b"\xffshort"
    body = struct.pack(">QQ", 1, 0) + struct.pack(">I", len(record)) + record
    (entry,) = decode_records(body, 0).ok.entries
    assert entry.value is None


@pytest.mark.parametrize(
    "value", [NESTED, b'{"host":"10.0.0.1.evil"}', b'{"host":"\\u0000"}', b'{"host":""}', b"{}"]
)
def test_registered_node_without_an_address_is_left_out(value):
    assert read_host(KeyedRecord("n", value, 0)) is None


def test_address_is_ascii_and_nothing_else():
    assert Address.parse("10.0.0.1:80") == Address("10.0.0.1", 80)
