"""Graceful shutdown of real processes: no request in flight is cut off."""

import signal
import threading

import pytest

from tests.standins.deployment import Deployment, http_call, initial_configuration, wait_until

CHAT = {
    "model": "briar-7b",
    "stream": True,
    "max_tokens": 150,
    "messages": [{"role": "user", "content": "Mark crate 12."}],
}


@pytest.fixture
def deployment(tmp_path):
    with Deployment(tmp_path) as running:
        wait_until(lambda: running.submit_patch(initial_configuration({"kingston-c": 1})))
        running.wait_for_ready_groups(1)
        yield running


class Stream:
    """Request with a streamed answer, run in a thread; returns once it is in flight."""

    def __init__(self, deployment, name, tokens=150):
        self.answer = None
        self._port = deployment.nodes[name].callers_port
        self._body = CHAT | {"max_tokens": tokens}
        self._thread = threading.Thread(target=self._run)
        self._thread.start()
        wait_until(lambda: _status(deployment, name)["in_flight"] == 1)

    def _run(self):
        self.answer = http_call(self._port, "POST", "/v1/chat/completions", self._body)

    def wait_for_body(self):
        """Wait for the end of the answer and return its body."""
        self._thread.join(30)
        return self.answer.body


def _status(deployment, name):
    return deployment.call_as_operator(name, "GET", "/operator/status").json()


def _entries(deployment, name):
    """Return the entry addresses that a node gives to callers."""
    return http_call(deployment.nodes[name].callers_port, "GET", "/v1/entries").json()["addresses"]


def test_nodes_stopped_one_after_another_cut_no_request(deployment):
    """A leaving node finishes its streams and serves callers until its address has expired."""
    wait_until(lambda: len(_entries(deployment, "kingston-c-n1")) == 3)
    for name in ("hobart-a-n1", "glenorchy-b-n1"):
        stream = Stream(deployment, name)
        address = f"127.0.0.1:{deployment.nodes[name].callers_port}"
        deployment.nodes[name].process.send_signal(signal.SIGTERM)
        wait_until(lambda address=address: address not in _entries(deployment, "kingston-c-n1"))
        late_answer = http_call(
            deployment.nodes[name].callers_port, "POST", "/v1/chat/completions", CHAT
        )
        assert late_answer.body.endswith(
            b"[DONE]\n\n"
        ), "a leaving node must serve callers that still have its address"
        assert deployment.nodes[name].process.wait(30) == 0
        assert stream.wait_for_body().count(b"data: ") == 152
    last = http_call(
        deployment.nodes["kingston-c-n1"].callers_port, "POST", "/v1/chat/completions", CHAT
    )
    assert last.body.endswith(b"[DONE]\n\n")
    remaining = deployment.call_as_operator("kingston-c-n1", "GET", "/operator/nodes").json()[
        "nodes"
    ]
    assert [row["node"] for row in remaining] == ["kingston-c-n1"]


def test_second_signal_ends_a_sent_request_with_outcome_unknown(deployment):
    """A request that may have run must not be reported as not run when it is cut off."""
    stream = Stream(deployment, "hobart-a-n1", tokens=100_000)
    process = deployment.nodes["hobart-a-n1"].process
    process.send_signal(signal.SIGTERM)
    wait_until(lambda: _status(deployment, "hobart-a-n1")["stage"] == "leaving")
    process.send_signal(signal.SIGTERM)
    assert process.wait(10) == 0
    body = stream.wait_for_body()
    assert b'"outcome":"unknown"' in body
    assert b"[DONE]" not in body


def test_node_started_without_the_log_gets_its_state_from_a_peer(deployment):
    """Without the log, a new node still serves models; patches are refused."""
    deployment.control_stand_in(deployment.log_port, down=True)
    seed = f"127.0.0.1:{deployment.nodes['hobart-a-n1'].peers_port}"
    deployment.peer_seeds = [seed]
    late_node = deployment.start_node("hobart-a-n2", "hobart-a")
    wait_until(lambda: http_call(late_node.callers_port, "GET", "/ready", key="").status == 200)
    wait_until(
        lambda: http_call(
            late_node.callers_port, "POST", "/v1/chat/completions", CHAT
        ).body.endswith(b"[DONE]\n\n")
    )
    refused = deployment.call_as_operator(
        "hobart-a-n2", "POST", "/operator/patches", {"base_version": 1, "patch": {}}
    )
    assert refused.status == 503
    assert refused.json()["verdict"] in ("unknown", "not-submitted")
