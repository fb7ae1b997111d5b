"""Demonstration of the main functions on one machine.

Starts the stand-ins and three nodes, sends requests, submits patches and stops two nodes
gracefully while answers are streamed. Exits with an error if a stop interrupts an answer.
"""

import os
import subprocess
import sys
import tempfile
import threading
from pathlib import Path

from .deployment import (
    CALLER_KEY,
    OPERATOR_KEY,
    ROOT,
    Deployment,
    http_call,
    initial_configuration,
    wait_until,
)


def main() -> None:
    """Run the demonstration in a temporary directory and stop all processes."""
    with (
        tempfile.TemporaryDirectory(prefix="briarpond-demo-") as folder,
        Deployment(Path(folder)) as deployment,
    ):
        _demonstrate(deployment)


def _demonstrate(deployment: Deployment) -> None:
    names = list(deployment.nodes)
    first, second, third = (deployment.nodes[name] for name in names)
    for node in deployment.nodes.values():
        wait_until(
            lambda node=node: http_call(node.callers_port, "GET", "/ready", key="").status == 200
        )
    _print_heading("three daemons in three data centres are ready")

    _run_briarpondctl(deployment, first, ["patch", "-", "--base-version", "0"], _first_patch())
    deployment.wait_for_ready_groups(3)
    _print_heading("one group of four members is ready in each data centre, on all nodes")
    _run_briarpondctl(deployment, second, ["groups"])

    _print_heading("a streamed model answer")
    chat = {
        "model": "briar-7b",
        "stream": True,
        "max_tokens": 3,
        "messages": [{"role": "user", "content": "Mark crate 12 for Oslo."}],
    }
    answer = http_call(first.callers_port, "POST", "/v1/chat/completions", chat)
    print(answer.body.decode().strip())
    print(f"outcome: {answer.outcome}")

    _print_heading("a call to a plain service")
    answer = http_call(second.callers_port, "GET", "/services/cutdesk/boards/7")
    print(answer.body.decode(), answer.outcome)

    _print_heading("a non-idempotent request, then the same key again on another node")
    order = {"order": "cut-1001"}
    key = {"Idempotency_Key": "cut-1001"}
    for node in (second, third):
        answer = http_call(node.callers_port, "POST", "/services/cutdesk/orders", order, **key)
        print(answer.status, answer.body.decode(), answer.outcome)
    print("runs at the servers:", deployment.count_service_runs())

    _print_heading("a patch is accepted, a stale one is refused")
    rate_limit = "accounts: {lark: {requests_per_s: 500}}"
    _run_briarpondctl(deployment, third, ["patch", "-", "--base-version", "1"], rate_limit)
    _run_briarpondctl(deployment, first, ["patch", "-", "--base-version", "1"], rate_limit)

    _print_heading("the audit trail")
    _run_briarpondctl(deployment, second, ["audit", "--limit", "5"])

    _print_heading("two of three daemons are stopped in turn while an answer is streamed from each")
    for node in (first, second):
        _stop_during_stream(deployment, node, chat | {"max_tokens": 200})
    answer = http_call(third.callers_port, "POST", "/v1/chat/completions", chat)
    print(f"the third still answers: {answer.status} {answer.outcome}")


def _stop_during_stream(deployment: Deployment, node, chat: dict) -> None:
    answers = []
    thread = threading.Thread(
        target=lambda: answers.append(
            http_call(node.callers_port, "POST", "/v1/chat/completions", chat)
        )
    )
    thread.start()
    wait_until(
        lambda: deployment.call_as_operator(node.name, "GET", "/operator/status").json()[
            "in_flight"
        ]
        == 1
    )
    exit_code = deployment.stop_node(node.name)
    thread.join()
    events = answers[0].body.count(b"data: ")
    whole = answers[0].body.endswith(b"data: [DONE]\n\n")
    print(f"{node.name} stopped with exit code {exit_code}; events {events}, whole: {whole}")
    if exit_code != 0 or not whole:
        sys.exit("a graceful stop interrupted a streamed answer")


def _run_briarpondctl(deployment: Deployment, node, args: list[str], stdin: str = "") -> None:
    """Run briarpondctl at a node and print the command and its exit code."""
    print(f"$ briarpondctl {' '.join(args)} --node 127.0.0.1:{node.operators_port}", flush=True)
    command = [sys.executable, "-m", "briarpond.management", *args]
    command += ["--node", f"127.0.0.1:{node.operators_port}"]
    done = subprocess.run(
        command,
        input=stdin,
        text=True,
        cwd=ROOT,
        env=os.environ | {"BRIARPOND_OPERATOR_KEY": OPERATOR_KEY},
        check=False,
    )
    print(f"exit code {done.returncode}", flush=True)


def _first_patch() -> str:
    import yaml

    groups = {"hobart-a": 1, "glenorchy-b": 1, "kingston-c": 1}
    return yaml.safe_dump(initial_configuration(groups))


def _print_heading(title: str) -> None:
    print(f"\n== {title}", flush=True)


if __name__ == "__main__":
    print(f"callers use the key {CALLER_KEY}, operators the key {OPERATOR_KEY}")
    main()
