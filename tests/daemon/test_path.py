"""Requests of callers and operators through real processes, with platform stand-ins."""

import openai
import pytest

from tests.standins.deployment import (
    CALLER_KEY,
    Deployment,
    http_call,
    initial_configuration,
    wait_until,
)

CHAT = {
    "model": "briar-7b",
    "max_tokens": 5,
    "messages": [{"role": "user", "content": "Mark crate 12."}],
}


@pytest.fixture(scope="module")
def deployment(tmp_path_factory):
    with Deployment(tmp_path_factory.mktemp("path")) as running:
        answer = wait_until(lambda: running.submit_patch(initial_configuration({"hobart-a": 1})))
        assert answer.json()["verdict"] == "accepted"
        running.wait_for_ready_groups(1)
        yield running


def test_every_node_streams_complete_answers(deployment):
    for node in deployment.nodes.values():
        answer = http_call(
            node.callers_port, "POST", "/v1/chat/completions", CHAT | {"stream": True}
        )
        assert answer.status == 200
        assert answer.outcome == "answered"
        assert answer.body.count(b"data: ") == 7
        assert answer.body.endswith(b"data: [DONE]\n\n")


def test_openai_client_library_works(deployment):
    """The published client library gets models, answers, streams and typed errors."""
    node = next(iter(deployment.nodes.values()))
    with openai.OpenAI(
        base_url=f"http://127.0.0.1:{node.callers_port}/v1", api_key=CALLER_KEY, max_retries=0
    ) as client:
        assert [row.id for row in client.models.list()] == ["briar-7b", "briar-7b:labels"]
        whole = client.chat.completions.create(**CHAT)
        streamed = client.chat.completions.create(**CHAT, stream=True)
        text = "".join(chunk.choices[0].delta.content or "" for chunk in streamed)
        assert whole.choices[0].message.content == text
        with pytest.raises(openai.NotFoundError) as caught:
            client.chat.completions.create(**CHAT | {"model": "other"})
        assert caught.value.code == "model_not_found"
    with (
        openai.OpenAI(
            base_url=f"http://127.0.0.1:{node.callers_port}/v1", api_key="wrong", max_retries=0
        ) as client_with_wrong_key,
        pytest.raises(openai.AuthenticationError),
    ):
        client_with_wrong_key.models.list()


def test_second_request_with_the_same_prefix_hits_the_cache(deployment):
    node = next(iter(deployment.nodes.values()))
    messages = [{"role": "system", "content": "Follow the export rules."}, CHAT["messages"][0]]
    answers = [
        http_call(
            node.callers_port, "POST", "/v1/chat/completions", CHAT | {"messages": messages}
        ).json()
        for _ in range(2)
    ]
    cached = [answer["usage"]["prompt_tokens_details"]["cached_tokens"] for answer in answers]
    assert cached[0] == 0 and cached[1] > 0


def test_non_idempotent_request_runs_once(deployment):
    """A request that is not idempotent must not be sent a second time."""
    node = next(iter(deployment.nodes.values()))
    answer = http_call(node.callers_port, "POST", "/services/cutdesk/orders", {"order": "once"})
    assert (answer.status, answer.outcome) == (200, "answered")
    assert deployment.count_service_runs()["once"] == 1


def test_refusal_of_a_stale_patch_lists_the_changed_paths(deployment):
    version = deployment.call_as_operator("hobart-a-n1", "GET", "/operator/configuration").json()[
        "version"
    ]
    patch = {"accounts": {"wren": {"weight": 2.0}}}
    assert deployment.submit_patch(patch, version).status == 200
    refused = deployment.submit_patch(patch, version)
    assert refused.status == 409
    assert refused.json()["verdict"] == "stale"
    assert refused.json()["changes"][-1]["paths"] == "accounts.wren.weight"


def test_caller_and_operator_keys_are_not_interchangeable(deployment):
    """Neither key is accepted on the other port, nor are operator paths on the port for callers."""
    node = deployment.nodes["hobart-a-n1"]
    assert http_call(node.operators_port, "GET", "/operator/groups").status == 401
    assert http_call(node.callers_port, "GET", "/v1/models", key="ada-operator-key").status == 401
    assert http_call(node.callers_port, "GET", "/operator/groups").status == 404


def test_invalid_input_is_refused_with_its_error_code(deployment):
    port = deployment.nodes["hobart-a-n1"].callers_port
    for body in ([], {"model": 3}, {"messages": []}):
        answer = http_call(port, "POST", "/v1/chat/completions", body)
        assert (answer.status, answer.outcome) == (400, "not-run")
        assert answer.json()["error"]["code"] == "invalid_body"
    answer = http_call(port, "POST", "/services/cutdesk/x", {}, Briarpond_Deadline_Ms="soon")
    assert (answer.status, answer.outcome) == (400, "not-run")


# Guards against a number of thousands of digits, which ended the process.
def test_deadline_of_thousands_of_digits_counts_as_the_longest_one(deployment):
    port = deployment.nodes["hobart-a-n1"].callers_port
    body = {"model": 3}
    for path in ("/v1/chat/completions", "/services/cutdesk/x"):
        answer = http_call(port, "POST", path, body, Briarpond_Deadline_Ms="9" * 5000)
        assert answer.status in (200, 400) and answer.outcome is not None
