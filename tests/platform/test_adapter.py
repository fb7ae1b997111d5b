"""Tests of the platform adapter: encoding of requests, decoding of answers.

They also cover input that the adapter must report as an error and not raise on:
truncated answers, records with missing or wrong fields and unreadable settings.
"""

import base64
import json
import struct
from hashlib import blake2b

import pytest

from briarpond.fleet import InstanceState, MemberState
from briarpond.gateway._caller_bodies import body_budget_bytes
from briarpond.net import Address
from briarpond.platform import (
    append_record_request,
    bearer_key,
    decode_configuration,
    decode_instance,
    decode_lease,
    decode_newest,
    decode_records,
    decode_report,
    load_gateway_settings,
    parse_address_query,
    parse_prompt_parts,
    parse_server_load,
    parse_token_counts,
)
from briarpond.platform._settings import ColdBound
from briarpond.routes import RouteKind

from ..platform_samples import SETTINGS, config_bytes, server_bytes


def test_configuration_is_decoded_with_times_in_seconds_and_request_kinds():
    config = decode_configuration(config_bytes()).ok
    stream_route = config.routes[0]
    assert (stream_route.kind, stream_route.timeout_s, stream_route.first_byte_goal_s) == (
        RouteKind.STREAM,
        8.0,
        0.4,
    )
    assert [part.service for part in stream_route.services] == ["pool", "other"]
    assert stream_route.runs_model and stream_route.resumable and stream_route.repeatable
    order_route = config.routes[1]
    assert not order_route.repeatable and order_route.services[0].service == "desk"
    engine = config.services["pool"].engine
    assert engine.step_fixed_s == pytest.approx(0.0078) and engine.models[0].group_size == 4
    assert config.requires_keys and config.tenants[0].keys == ("key-a", "key-b")


def test_configuration_without_tenants_requires_no_api_keys():
    document = json.loads(config_bytes())
    del document["tenants"]
    config = decode_configuration(json.dumps(document).encode()).ok
    assert not config.requires_keys


@pytest.mark.parametrize("body", [b"", b"{", b'{"version": "7"}', b'{"routes": []}'])
def test_malformed_configuration_returns_an_error(body):
    assert decode_configuration(body).is_error()


def test_instance_record_is_decoded():
    instance = decode_instance("i-1", server_bytes()).ok
    assert instance.address == Address("10.128.0.9", 8080)
    assert instance.state is InstanceState.READY and instance.model == "big"
    assert instance.membership.state is MemberState.OPEN and instance.membership.rank == 0


@pytest.mark.parametrize(
    "changes",
    [{"state": "asleep"}, {"addr": "nowhere"}, {"addr": 7}, {"slots": "many"}, {"service": None}],
)
def test_malformed_instance_record_returns_an_error(changes):
    assert decode_instance("i-1", server_bytes(**changes)).is_error()


def test_read_answer_gives_offsets_and_removed_keys():
    key = b"i-1"
    update = bytes([len(key)]) + key + b"{}"
    removal = bytes([len(key)]) + key
    body = struct.pack(">QQ", 12, 3)
    for record in (update, removal):
        body += struct.pack(">I", len(record)) + record
    records = decode_records(body, 10).ok
    assert [(e.key, e.value, e.offset) for e in records.entries] == [
        ("i-1", b"{}", 10),
        ("i-1", None, 11),
    ]
    assert (records.next_offset, records.end_offset) == (12, 12)


@pytest.mark.parametrize("body", [b"", b"\0" * 15, b"\0" * 16 + b"\0\0\0\x09ab"])
def test_truncated_read_answer_returns_an_error(body):
    assert decode_records(body, 0).is_error()


def test_page_of_newest_records_is_decoded():
    entry = {"key": "config", "value": base64.b64encode(b"x").decode(), "offset": 4}
    page = decode_newest(json.dumps({"entries": [entry], "hasMore": True, "end": 6}).encode()).ok
    assert page.entries[0].value == b"x" and page.next_after == "config" and page.end_offset == 6


def test_append_encodes_lengths_of_record_and_key():
    request = append_record_request("keyed.nodes", "n1", b"v")
    assert request.body == struct.pack(">I", 4) + b"\x02n1v"


def test_member_with_partition_0_holds_the_lease():
    assert decode_lease(b'{"generation":7,"parts":[["planner",0,0]]}').ok.holds_lease
    assert not decode_lease(b'{"generation":7,"parts":[["planner",3,0]]}').ok.holds_lease


def test_status_report_gives_pace_and_takes_unknown_member_state_as_joining():
    body = json.dumps({"pace": 3.5, "group": {"name": "g", "epoch": 2, "rank": 1, "state": "x"}})
    report = decode_report(body.encode()).ok
    assert report.pace == 3.5 and report.membership.state is MemberState.JOINING


def test_header_values_are_parsed_or_none():
    assert bearer_key("Bearer abc") == "abc" and bearer_key("Basic abc") is None
    assert parse_server_load("3,1,8").waiting == 1 and parse_server_load("3,x,8") is None
    assert parse_token_counts("1460,80") == (1460, 80) and parse_token_counts("1460") is None


def test_directory_look_up_is_parsed():
    query = parse_address_query("/lookup?name=a.example&region=r&zone=z")
    assert (query.host, query.data_centre) == ("a.example", "z")
    assert parse_address_query("/other") is None


def test_settings_are_decoded_and_unknown_fields_are_ignored(tmp_path):
    path = tmp_path / "node.yaml"
    path.write_text(SETTINGS)
    settings = load_gateway_settings(path).ok
    assert settings.caller_address == Address("10.1.0.40", 8227) and settings.peer_port == 7340
    assert settings.bounds.revoke_within_s == 5.0 and settings.store.min_lease_ttl_s == 1.0
    assert settings.memory_bytes is None


# Guards against load shedding in deployments whose settings do not ask for it.
def test_load_is_shed_only_where_the_settings_ask_for_it(tmp_path):
    path = tmp_path / "node.yaml"
    path.write_text(SETTINGS)
    assert not load_gateway_settings(path).ok.sheds_load
    path.write_text(SETTINGS + "\ncontracts: [base, pressure]\n")
    assert load_gateway_settings(path).ok.sheds_load


# Guards against a room for bodies that does not follow from the machine's memory.
def test_memory_of_the_machine_is_read(tmp_path):
    path = tmp_path / "node.yaml"
    path.write_text(SETTINGS.replace("{maxFds: 4100}", "{maxFds: 4100, memoryMb: 152}"))
    settings = load_gateway_settings(path).ok
    assert settings.memory_bytes == 152 * 1024 * 1024
    assert body_budget_bytes(settings) == 38 * 1024 * 1024


def load_settings_with_bounds(tmp_path, more):
    path = tmp_path / "node.yaml"
    path.write_text(SETTINGS.replace("retrySlack: 107", f"retrySlack: 107{more}"))
    return load_gateway_settings(path)


@pytest.mark.parametrize(
    ("more", "bound"),
    [
        ("", None),
        (", coldOverage: 1.5, coldSlack: 5", ColdBound(1.5, 5.0)),
        (", coldOverage: 1.5", ColdBound(1.5, 0.0)),
        (", coldSlack: 5", ColdBound(1.0, 5.0)),
    ],
)
def test_bound_for_cold_servers_is_absent_unless_it_is_set(tmp_path, more, bound):
    assert load_settings_with_bounds(tmp_path, more).ok.bounds.cold == bound


@pytest.mark.parametrize("more", [", coldOverage: 0", ", coldSlack: -1", ", coldOverage: .inf"])
def test_bound_for_cold_servers_that_means_nothing_is_a_problem(tmp_path, more):
    problem = load_settings_with_bounds(tmp_path, more).error
    assert problem.code == "gateway.E003" and "cold" in problem.message and problem.hint


def test_cold_servers_of_a_service_are_limited_if_the_configuration_says_so():
    services = [{"name": "desk", "coldPerS": 26.0, "coldStartS": 3.0}, {"name": "other"}]
    services.append({"name": "odd", "coldPerS": -1, "coldStartS": 1e300})
    decoded = decode_configuration(config_bytes(services=services)).ok.services.values()
    assert [(each.cold_per_s, each.cold_start_s) for each in decoded] == [
        (26.0, 3.0),
        (0.0, 0.0),
        (0.0, 3600.0),
    ]


def test_entry_says_how_long_its_server_stays_cold():
    assert decode_instance("i-1", server_bytes(coldLeftMs=2900)).ok.cold_left_s == 2.9


@pytest.mark.parametrize(("seq", "sequence"), [(0, 0), (2**63 - 1, 2**63 - 1), (None, None)])
def test_entry_has_the_number_that_its_server_gave_it(seq, sequence):
    assert decode_instance("i-1", server_bytes(seq=seq)).ok.sequence == sequence


# Guards against a server that is not used because a number that only orders its entries is odd.
@pytest.mark.parametrize("seq", ["4", 4.0, True, -1, 2**63, 2**80, [4], {}])
def test_odd_number_of_an_entry_counts_as_none(seq):
    assert decode_instance("i-1", server_bytes(seq=seq)).ok.sequence is None


@pytest.mark.parametrize(
    ("text", "code"),
    [
        ("a: [", "gateway.E002"),
        ("nodeName: x", "gateway.E003"),
        (SETTINGS.replace("[7340, 7355]", "[]"), "gateway.E003"),
        (SETTINGS.replace("10.1.0.40:8227", "host:x"), "gateway.E003"),
        (SETTINGS.replace("{maxFds: 4100}", "{memoryMb: 0}"), "gateway.E003"),
    ],
)
def test_invalid_settings_give_a_problem_with_code_on_one_line(tmp_path, text, code):
    path = tmp_path / "node.yaml"
    path.write_text(text)
    problem = load_gateway_settings(path).error
    assert problem.code == code and "\n" not in str(problem)


def digest(name):
    """Return what stands for a long id, in hexadecimal."""
    return blake2b(name.encode(), digest_size=16).hexdigest()


@pytest.mark.parametrize(
    ("value", "parts"),
    [
        ("5c1e07a2:800,91BD3F06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06", "e4402b7d")),
        ("5c1e07a2:800, 5c1e07a2:800", ("5c1e07a2",)),
        ("5c1e07a2", ("5c1e07a2",)),
        (None, ()),
        ("", ()),
        (",", ()),
        ("5c1e07a2:800,", ("5c1e07a2",)),
        (":5,5c1e07a2:1", ("5c1e07a2",)),
        ("00005C1E:1,5c1e:2,0:3,000:4", ("5c1e", "0")),
        ("zz:1,5c1e07a2:1", (digest("zz"), "5c1e07a2")),
        ("a" * 31 + ":1", ("a" * 31,)),
        ("a" * 32 + ":1", (digest("a" * 32),)),
        ("00" + "AB" * 5_000 + ":1", (digest("ab" * 5_000),)),
    ],
)
def test_every_prompt_part_is_read_in_one_spelling(value, parts):
    """Guards against BUDGET: parts with long ids were left out, whatever servers they ended."""
    assert parse_prompt_parts(value) == parts


def test_every_place_in_a_list_of_prompt_parts_is_read():
    """Guards against BUDGET: parts behind 64 others were left out."""
    value = ",".join(f"{number:x}:1" for number in range(5_000))
    assert parse_prompt_parts(value) == tuple(f"{number:x}" for number in range(5_000))


def test_long_ids_that_differ_anywhere_are_different_parts():
    ids = ["d" * 64, "d" * 63 + "e", "e" + "d" * 63, "d" * 65, "d" * 32 + "e" * 32]
    assert len(parse_prompt_parts(",".join(ids))) == len(ids)
