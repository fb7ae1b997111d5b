"""Effects of faults on a deployment of real processes under a steady mixed load.

Run ``python -m benchmarks.faults [name ...]``; the names are the keys of `FAULTS`. Each
fault is injected into a fresh deployment of three daemons and stand-ins. The table gives
the outcomes that callers got, the requests that ran more than once or that were reported
as not run although they ran, the downtime of groups, stranded accelerator-seconds and
the time until all groups were ready again.
"""

import random
import signal
import sys
import tempfile
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from tests.standins.deployment import Deployment, http_call, initial_configuration, wait_until

SEED = 7
# Threads that send requests, each one at a time.
CALLERS = 6
# One group in each of the three data centres.
GROUPS = 3
GROUP_SIZE = 4
ACCELERATORS_PER_INSTANCE = 4
# Load without a fault before the fault is injected.
WARMUP_S = 2.0
# Time from the injection of a fault to the end of the load.
OBSERVATION_S = 14.0
# Interval at which the readiness of the groups is sampled.
SAMPLE_INTERVAL_S = 0.1
# The data centre whose daemon, instances and fabric domain the faults hit.
FAULTY_DATA_CENTRE = "hobart-a"


@dataclass
class RequestRecord:
    """A request and its outcome as the caller saw it.

    Attributes
    ----------
    request_id : str
        Sent as the prompt or the order, so that runs can be counted at the backend.
    kind : str
        `stream` and `whole`: model requests; `order`: a model request that is marked as
        not idempotent; `service`: a request to a plain service; `keyed`: the same with
        an idempotency key.
    outcome : str
        The outcome in the answer, `unknown` for a stream that was cut, or
        `no answer`.
    complete : bool
        Whether the answer has status 200 and arrived to its end.
    """

    request_id: str
    kind: str
    outcome: str
    complete: bool


@dataclass
class Load:
    """Callers in threads that send requests of random kinds to random nodes.

    Attributes
    ----------
    withdrawn : set of str
        Names of nodes whose addresses are withdrawn; callers send them nothing.
    """

    deployment: Deployment
    withdrawn: set = field(default_factory=set)
    records: list = field(default_factory=list)
    stopped: bool = False

    def start(self) -> list[threading.Thread]:
        """Start all callers; they run until `stopped` is set."""
        threads = [threading.Thread(target=self._loop, args=(n,)) for n in range(CALLERS)]
        for thread in threads:
            thread.start()
        return threads

    def _loop(self, number: int) -> None:
        rng = random.Random(SEED * 100 + number)
        count = 0
        while not self.stopped:
            count += 1
            nodes = [
                node for name, node in self.deployment.nodes.items() if name not in self.withdrawn
            ]
            kind = rng.choice(("stream", "whole", "order", "service", "keyed"))
            request_id = f"{kind}-{number}-{count}"
            self._send_request(rng.choice(nodes).callers_port, kind, request_id)
            time.sleep(0.02)

    def _send_request(self, port: int, kind: str, request_id: str) -> None:
        headers = {"Briarpond_Deadline_Ms": "8000"}
        if kind in ("service", "keyed"):
            path, body = "/services/cutdesk/orders", {"order": request_id}
            if kind == "keyed":
                headers["Idempotency_Key"] = request_id
        else:
            path = "/v1/chat/completions"
            messages = [{"role": "user", "content": request_id}]
            body = {"model": "briar-7b", "max_tokens": 12, "messages": messages}
            body["stream"] = kind == "stream"
            if kind == "order":
                headers["Briarpond_Idempotent"] = "false"
        try:
            answer = http_call(port, "POST", path, body, timeout_s=12, **headers)
        except (OSError, ValueError):
            self.records.append(RequestRecord(request_id, kind, "no answer", False))
            return
        ended = b"[DONE]" in answer.body or kind != "stream"
        complete = answer.status == 200 and ended
        outcome = answer.outcome if answer.status != 200 or ended else "unknown"
        self.records.append(RequestRecord(request_id, kind, outcome, complete))


def member_of_group(deployment: Deployment, rank: int) -> str:
    """Return the instance with a rank in the group of the faulty data centre.

    A node of another data centre is asked, as the faults do not touch it.
    """
    name = next(name for name in deployment.nodes if not name.startswith(FAULTY_DATA_CENTRE))
    group = next(
        row for row in deployment.list_groups(name) if row["data_centre"] == FAULTY_DATA_CENTRE
    )
    return group["members"][rank]["instance"]


def control_member(deployment, load, do, rank=1, later=None):
    """Send a command to the engine of a member, and a second one after a delay.

    Parameters
    ----------
    do : str
        Command of the stand-in engines: `kill`, `restart`, `pause` or `resume`.
    rank : int
        Rank of the member; 0 is the group's head.
    later : tuple or None
        Delay in seconds and the second command.
    """
    instance = member_of_group(deployment, rank)
    deployment.control_stand_in(deployment.engines_port, instance=instance, do=do)
    if later is not None:
        time.sleep(later[0])
        deployment.control_stand_in(deployment.engines_port, instance=instance, do=later[1])


def domain_outage(deployment, load):
    """Kill all engines of a fabric domain and restart them after six seconds."""
    domain = f"{FAULTY_DATA_CENTRE}-f0"
    deployment.control_stand_in(deployment.engines_port, instance=domain, do="kill")
    time.sleep(6)
    deployment.control_stand_in(deployment.engines_port, instance=domain, do="restart")


def node_killed(deployment, load):
    """Kill a daemon and start it again after three seconds."""
    name = f"{FAULTY_DATA_CENTRE}-n1"
    load.withdrawn.add(name)
    deployment.nodes[name].process.kill()
    time.sleep(3)
    deployment.start_node(name, FAULTY_DATA_CENTRE)
    wait_until(
        lambda: http_call(deployment.nodes[name].callers_port, "GET", "/ready", key="").status
        == 200
    )
    load.withdrawn.discard(name)


def node_frozen(deployment, load):
    """Suspend a daemon for longer than its lease lasts."""
    process = deployment.nodes[f"{FAULTY_DATA_CENTRE}-n1"].process
    process.send_signal(signal.SIGSTOP)
    time.sleep(7)
    process.send_signal(signal.SIGCONT)


def node_stopped(deployment, load):
    """Stop a daemon gracefully; its address is withdrawn from callers after two seconds."""
    name = f"{FAULTY_DATA_CENTRE}-n1"
    deployment.nodes[name].process.send_signal(signal.SIGTERM)
    time.sleep(2.0)
    load.withdrawn.add(name)
    deployment.nodes[name].process.wait(30)


def log_fault(deployment, load, seconds=8, **change):
    """Change the behaviour of the stand-in log for some seconds, then restore it."""
    deployment.control_stand_in(deployment.log_port, **change)
    time.sleep(seconds)
    deployment.control_stand_in(deployment.log_port, down=False, delay_s=0.0)


def instance_leaves(deployment, load):
    """List the head's instance as leaving in the instance list."""
    instance = member_of_group(deployment, 0)
    deployment.control_stand_in(deployment.list_port, instance=instance, state="leaving")


def conflicting_patches(deployment, load):
    """Five times, submit a patch of the same version through two nodes at once."""
    for number in range(5):
        _submit_conflicting_patches(deployment, {"accounts": {"wren": {"weight": 1.0 + number}}})


def _submit_conflicting_patches(deployment, patch) -> None:
    """Submit a patch through two nodes at once; exactly one must be accepted."""
    names = list(deployment.nodes)[:2]
    version = deployment.call_as_operator(names[0], "GET", "/operator/configuration").json()[
        "version"
    ]
    body = {"base_version": version, "patch": patch}
    verdicts = []

    def submit(name: str) -> None:
        answer = deployment.call_as_operator(name, "POST", "/operator/patches", body)
        verdicts.append(answer.json()["verdict"])

    threads = [threading.Thread(target=submit, args=(name,)) for name in names]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(verdicts) == ["accepted", "stale"], verdicts


# The names are also arguments of the command.
FAULTS = {
    "none": lambda deployment, load: None,
    "member dies": lambda d, load: control_member(d, load, "kill"),
    "member restarts": lambda d, load: control_member(d, load, "restart"),
    "member pauses 1.5 s": lambda d, load: control_member(d, load, "pause", later=(1.5, "resume")),
    "member returns after 8 s": lambda d, load: control_member(
        d, load, "pause", later=(8, "resume")
    ),
    "first member dies": lambda d, load: control_member(d, load, "kill", rank=0),
    "domain goes dark": domain_outage,
    "daemon killed": node_killed,
    "daemon frozen 7 s": node_frozen,
    "daemon stopped": node_stopped,
    "log down 8 s": lambda d, load: log_fault(d, load, down=True),
    "log slow 1.2 s": lambda d, load: log_fault(d, load, delay_s=1.2),
    "log loses 10 answers": lambda d, load: log_fault(d, load, lose_answers=10),
    "instance leaves": instance_leaves,
    "operators race": conflicting_patches,
}


def run_one(name: str) -> str:
    """Run one fault in a fresh deployment and return its row of the table."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Deployment(Path(folder), engines_per_data_centre=5) as deployment,
    ):
        groups = dict.fromkeys(deployment.data_centres, 1)
        wait_until(lambda: deployment.submit_patch(initial_configuration(groups, GROUP_SIZE)))
        deployment.wait_for_ready_groups(GROUPS)
        load = Load(deployment)
        threads = load.start()
        time.sleep(WARMUP_S)
        injected_at = time.monotonic()
        fault = threading.Thread(target=FAULTS[name], args=(deployment, load))
        fault.start()
        downtime_s, stranded_s, recovered_s = _measure_downtime(deployment, injected_at)
        fault.join()
        load.stopped = True
        for thread in threads:
            thread.join()
        deployment.wait_for_ready_groups(GROUPS)
        return _row(name, deployment, load, downtime_s, stranded_s, recovered_s)


def _measure_downtime(deployment: Deployment, injected_at: float) -> tuple[float, float, float]:
    """Sample the readiness of all groups at a node that no fault touches.

    Returns
    -------
    tuple of float
        Group-seconds without readiness, accelerator-seconds of those groups, and
        seconds from the fault until all groups were ready again.
    """
    observer = "kingston-c-n1"
    downtime_s = stranded_s = recovered_s = 0.0
    last = time.monotonic()
    while time.monotonic() - injected_at < OBSERVATION_S:
        time.sleep(SAMPLE_INTERVAL_S)
        ready = sum(row["ready"] for row in deployment.list_groups(observer))
        now = time.monotonic()
        missing = GROUPS - min(ready, GROUPS)
        downtime_s += missing * (now - last)
        stranded_s += missing * GROUP_SIZE * ACCELERATORS_PER_INSTANCE * (now - last)
        if missing:
            recovered_s = now - injected_at
        last = now
    return downtime_s, stranded_s, recovered_s


def _row(name, deployment, load, downtime_s, stranded_s, recovered_s) -> str:
    """Return a row of the table.

    Model requests of the kinds `stream` and `whole` may run more than once; the columns
    on repeated runs and on false not-run outcomes do not count them.
    """
    runs = Counter(deployment.count_service_runs())
    for run in deployment.started_requests():
        request_id = run["prompt"].rpartition('"content":"')[2].partition('"')[0]
        runs[request_id] += 1
    outcomes = Counter(record.outcome for record in load.records)
    at_most_once = [record for record in load.records if record.kind not in ("stream", "whole")]
    repeated = sum(runs[record.request_id] > 1 for record in at_most_once)
    false_not_run = sum(
        record.outcome == "not-run" and runs[record.request_id] > 0 for record in at_most_once
    )
    cells = (
        name,
        len(load.records),
        outcomes["answered"],
        outcomes["not-run"],
        outcomes["unknown"],
        outcomes["no answer"],
        repeated,
        false_not_run,
        f"{downtime_s:.1f}",
        f"{stranded_s:.0f}",
        f"{recovered_s:.1f}",
    )
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def main() -> None:
    """Run the faults named as arguments, or all, and print a row for each."""
    print(
        "| fault | requests | answered | not run | unknown | no answer | ran more than once "
        "| false not-run | group downtime s | stranded accelerator-s | recovered after s |"
    )
    print("|" + "---|" * 11)
    for name in sys.argv[1:] or FAULTS:
        print(run_one(name), flush=True)


if __name__ == "__main__":
    main()
