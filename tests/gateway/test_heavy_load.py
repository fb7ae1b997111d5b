"""Requests beyond the capacity of all groups: which are sent, held and refused."""

from collections import Counter

from briarpond.directory import GroupTarget, Plan, RoutingTargets
from briarpond.net import Address

from .world import STAMP_HEADER, Gateway

GROUP_SLOTS = 9


def test_burst_fills_all_groups_and_refuses_the_rest_within_the_goal(tmp_path):
    """A burst exceeds the slots of all groups: no group gets more requests than slots."""
    gateway = Gateway(tmp_path)
    replies = [gateway.send_stream_request() for _ in range(60)]
    by_head = Counter(sent.header("x-briarpond-expect-instance") for sent in gateway.client.sent)
    assert set(by_head.values()) == {GROUP_SLOTS} and len(by_head) == 3
    gateway.clock.advance(0.3)
    refused = [reply for reply in replies if reply.status == 503]
    assert len(refused) == 60 - 3 * GROUP_SLOTS
    assert all(0 < float(reply.header("retry-after")) <= 8.0 / 3 for reply in refused)


def test_held_requests_of_equal_priority_are_sent_in_order_of_arrival(tmp_path):
    """Slots become free one by one in a full system: the request held longest is sent first."""
    gateway = Gateway(tmp_path, heads=("h1",))
    for _ in range(GROUP_SLOTS):
        gateway.send_stream_request()
    held_replies = [gateway.send_stream_request(x_marker=str(n)) for n in range(3)]
    assert all(reply.status is None for reply in held_replies)
    sent = gateway.client.sent[0]
    sent.answer_head(200, STAMP_HEADER)
    sent.call.on_body(b"id: 1\ndata: x\n\n")
    sent.call.on_end()
    gateway.clock.advance(0.05)
    assert [s.header("x-marker") for s in gateway.client.sent[GROUP_SLOTS:]] == ["0"]


def test_group_filled_by_another_node_gets_no_requests(tmp_path):
    """All nodes must not send to the same group that looks best to each of them."""
    gateway = Gateway(tmp_path)
    gateway.state.load_tracker.set_peer_load("n2", [("h1", GROUP_SLOTS, 0)])
    for _ in range(10):
        gateway.send_stream_request()
    heads = {sent.header("x-briarpond-expect-instance") for sent in gateway.client.sent}
    assert heads == {"h2", "h3"}


def test_full_groups_of_own_data_centre_spill_over_before_a_refusal(tmp_path):
    """A burst in one data centre is served by groups elsewhere while they have room."""
    gateway = Gateway(tmp_path)
    state, now = gateway.state, gateway.clock.now()
    near, far = state.settings.data_centre, "elsewhere"
    groups = tuple(
        GroupTarget(
            f"g{n}",
            1,
            "big",
            f"h{n}",
            Address("10.8.0.1", 80 + n),
            data_centre,
            service="pool",
            size=4,
        )
        for n, data_centre in enumerate((near, near, far))
    )
    state.node_count = 195
    state.accept_plan(Plan(9, 1, True, RoutingTargets(groups, ())), now)
    state.load_tracker.set_peer_load("relays", [("h0", GROUP_SLOTS, 0), ("h1", GROUP_SLOTS, 0)])
    gateway.send_stream_request()
    assert gateway.client.sent[-1].call.address == groups[2].address


def test_connected_group_is_preferred_unless_another_is_clearly_faster(tmp_path):
    """Many nodes with few requests each open no new connection for each of them."""
    gateway = Gateway(tmp_path)
    groups = {group.head: group for group in gateway.state.groups(gateway.clock.now())}
    gateway.client.idle.add(groups["h2"].address)
    gateway.send_stream_request()
    assert gateway.client.sent[-1].call.address == groups["h2"].address
    tracker = gateway.state.load_tracker
    tracker.set_peer_load("relays", [("h2", GROUP_SLOTS - 2, 4 * 979)])
    gateway.send_stream_request()
    assert gateway.client.sent[-1].call.address != groups["h2"].address
