"""The platform's records become types whose fields say what they hold."""

import base64
import json
import struct

import pytest

from briarpond.fleet import InstanceState, MemberState
from briarpond.net import Address
from briarpond.platform import (
    append_entry,
    bearer_key,
    decode_configuration,
    decode_instance,
    decode_lease,
    decode_newest,
    decode_records,
    decode_report,
    load_gateway_settings,
    parse_address_query,
    parse_server_load,
    parse_token_counts,
)
from briarpond.routes import RequestKind

from ..platform_samples import SETTINGS, config_bytes, server_bytes


def test_configuration_is_translated_with_seconds_and_kinds():
    config = decode_configuration(config_bytes()).ok
    plan = config.routes[0]
    assert (plan.kind, plan.timeout_s, plan.goal_s) == (RequestKind.STREAM, 8.0, 0.4)
    assert [part.service for part in plan.services] == ["pool", "other"]
    assert plan.runs_model and plan.resumable and plan.repeatable
    order = config.routes[1]
    assert not order.repeatable and order.services[0].service == "desk"
    engine = config.services["pool"].engine
    assert engine.step_s == pytest.approx(0.0078) and engine.models[0].size == 4
    assert config.asks_keys and config.tenants[0].keys == ("key-a", "key-b")


def test_configuration_without_tenants_asks_for_no_keys():
    document = json.loads(config_bytes())
    del document["tenants"]
    config = decode_configuration(json.dumps(document).encode()).ok
    assert not config.asks_keys


@pytest.mark.parametrize("body", [b"", b"{", b'{"version": "7"}', b'{"routes": []}'])
def test_unreadable_configuration_is_an_error(body):
    assert decode_configuration(body).is_error()


def test_instance_is_translated():
    row = decode_instance("i-1", server_bytes()).ok
    assert row.address == Address("10.128.0.9", 8080)
    assert row.state is InstanceState.READY and row.model == "big"
    assert row.membership.state is MemberState.OPEN and row.membership.rank == 0


@pytest.mark.parametrize(
    "changes",
    [{"state": "asleep"}, {"addr": "nowhere"}, {"addr": 7}, {"slots": "many"}, {"service": None}],
)
def test_entries_of_other_writers_name_no_instance(changes):
    assert decode_instance("i-1", server_bytes(**changes)).is_error()


def test_records_carry_their_offsets_and_removals():
    key = b"i-1"
    put = bytes([len(key)]) + key + b"{}"
    gone = bytes([len(key)]) + key
    body = struct.pack(">QQ", 12, 3)
    for record in (put, gone):
        body += struct.pack(">I", len(record)) + record
    records = decode_records(body, 10).ok
    assert [(e.key, e.value, e.offset) for e in records.entries] == [
        ("i-1", b"{}", 10),
        ("i-1", None, 11),
    ]
    assert (records.next_offset, records.end) == (12, 12)


@pytest.mark.parametrize("body", [b"", b"\0" * 15, b"\0" * 16 + b"\0\0\0\x09ab"])
def test_cut_records_are_an_error(body):
    assert decode_records(body, 0).is_error()


def test_newest_page_is_translated():
    entry = {"key": "config", "value": base64.b64encode(b"x").decode(), "offset": 4}
    page = decode_newest(json.dumps({"entries": [entry], "hasMore": True, "end": 6}).encode()).ok
    assert page.entries[0].value == b"x" and page.more_after == "config" and page.end == 6


def test_append_frames_key_and_value():
    call = append_entry("keyed.nodes", "n1", b"v")
    assert call.body == struct.pack(">I", 4) + b"\x02n1v"


def test_first_partition_is_the_lease():
    assert decode_lease(b'{"generation":7,"parts":[["planner",0,0]]}').ok.holds
    assert not decode_lease(b'{"generation":7,"parts":[["planner",3,0]]}').ok.holds


def test_report_of_a_slow_member():
    body = json.dumps({"pace": 3.5, "group": {"name": "g", "epoch": 2, "rank": 1, "state": "x"}})
    report = decode_report(body.encode()).ok
    assert report.pace == 3.5 and report.membership.state is MemberState.JOINING


def test_header_values():
    assert bearer_key("Bearer abc") == "abc" and bearer_key("Basic abc") is None
    assert parse_server_load("3,1,8").waiting == 1 and parse_server_load("3,x,8") is None
    assert parse_token_counts("1460,80") == (1460, 80) and parse_token_counts("1460") is None


def test_look_up_is_read():
    query = parse_address_query("/lookup?name=a.example&region=r&zone=z")
    assert (query.host, query.data_centre) == ("a.example", "z")
    assert parse_address_query("/other") is None


def test_settings_are_translated_and_unknown_fields_pass(tmp_path):
    path = tmp_path / "node.yaml"
    path.write_text(SETTINGS)
    settings = load_gateway_settings(path).ok
    assert settings.callers == Address("10.1.0.40", 8227) and settings.peer_port == 7340
    assert settings.bounds.revoke_s == 5.0 and settings.store.lease_ttl_min_s == 1.0


@pytest.mark.parametrize(
    ("text", "code"),
    [
        ("a: [", "gateway.E002"),
        ("nodeName: x", "gateway.E003"),
        (SETTINGS.replace("[7340, 7355]", "[]"), "gateway.E003"),
        (SETTINGS.replace("10.1.0.40:8227", "host:x"), "gateway.E003"),
    ],
)
def test_bad_settings_give_one_coded_line(tmp_path, text, code):
    path = tmp_path / "node.yaml"
    path.write_text(text)
    problem = load_gateway_settings(path).error
    assert problem.code == code and "\n" not in str(problem)
