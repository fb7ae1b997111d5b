"""Faults in real processes under a steady load of mixed requests.

Run ``python -m benchmarks.faults [name ...]``. For each fault a fresh
deployment of three daemons and stand-ins runs under load; the table gives what
callers were told, what ran twice or was falsely called not run, group downtime,
stranded accelerator-seconds and the time until all groups were ready again.
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

from tests.standins.deployment import Deployment, call, first_document, wait_until

SEED = 7
CALLERS = 6
GROUPS = 3
GROUP_SIZE = 4
ACCELERATORS = 4
WARM_S = 2.0
FAULT_S = 14.0
SAMPLE_S = 0.1
HOBART = "hobart-a"


@dataclass
class Record:
    """What one caller asked and was told."""

    request: str
    kind: str
    outcome: str
    whole: bool


@dataclass
class Load:
    """Callers in threads that send mixed requests to live nodes."""

    deployment: Deployment
    avoid: set = field(default_factory=set)
    records: list = field(default_factory=list)
    stopped: bool = False

    def start(self) -> list[threading.Thread]:
        """Start all callers."""
        threads = [threading.Thread(target=self._loop, args=(n,)) for n in range(CALLERS)]
        for thread in threads:
            thread.start()
        return threads

    def _loop(self, number: int) -> None:
        rng = random.Random(SEED * 100 + number)
        count = 0
        while not self.stopped:
            count += 1
            nodes = [node for name, node in self.deployment.nodes.items() if name not in self.avoid]
            kind = rng.choice(("stream", "whole", "order", "service", "keyed"))
            request = f"{kind}-{number}-{count}"
            self._ask(rng.choice(nodes).callers, kind, request)
            time.sleep(0.02)

    def _ask(self, port: int, kind: str, request: str) -> None:
        headers = {"Briarpond_Deadline_Ms": "8000"}
        if kind in ("service", "keyed"):
            path, body = "/services/cutdesk/orders", {"order": request}
            if kind == "keyed":
                headers["Idempotency_Key"] = request
        else:
            path = "/v1/chat/completions"
            messages = [{"role": "user", "content": request}]
            body = {"model": "briar-7b", "max_tokens": 12, "messages": messages}
            body["stream"] = kind == "stream"
            if kind == "order":
                headers["Briarpond_Idempotent"] = "false"
        try:
            answer = call(port, "POST", path, body, timeout_s=12, **headers)
        except (OSError, ValueError):
            self.records.append(Record(request, kind, "no word", False))
            return
        ended = b"[DONE]" in answer.body or kind != "stream"
        whole = answer.status == 200 and ended
        outcome = answer.outcome if answer.status != 200 or ended else "unknown"
        self.records.append(Record(request, kind, outcome, whole))


def member(deployment: Deployment, rank: int) -> str:
    """Return a member of the group in the first data centre."""
    name = next(name for name in deployment.nodes if not name.startswith(HOBART))
    group = next(row for row in deployment.groups(name) if row["data_centre"] == HOBART)
    return group["members"][rank]["instance"]


def engine(deployment, load, do, rank=1, later=None):
    """Make an engine do something, and something else later."""
    instance = member(deployment, rank)
    deployment.control(deployment.engines_port, instance=instance, do=do)
    if later is not None:
        time.sleep(later[0])
        deployment.control(deployment.engines_port, instance=instance, do=later[1])


def dark_domain(deployment, load):
    """Kill a whole fabric domain; it returns after six seconds."""
    domain = f"{HOBART}-f0"
    deployment.control(deployment.engines_port, instance=domain, do="kill")
    time.sleep(6)
    deployment.control(deployment.engines_port, instance=domain, do="restart")


def node_killed(deployment, load):
    """Kill a daemon and start it again after three seconds."""
    name = f"{HOBART}-n1"
    load.avoid.add(name)
    deployment.nodes[name].process.kill()
    time.sleep(3)
    deployment.start_node(name, HOBART)
    wait_until(lambda: call(deployment.nodes[name].callers, "GET", "/ready", key="").status == 200)
    load.avoid.discard(name)


def node_frozen(deployment, load):
    """Freeze a daemon beyond its lease."""
    process = deployment.nodes[f"{HOBART}-n1"].process
    process.send_signal(signal.SIGSTOP)
    time.sleep(7)
    process.send_signal(signal.SIGCONT)


def node_stopped(deployment, load):
    """Stop a daemon gracefully; callers leave when its address is withdrawn."""
    name = f"{HOBART}-n1"
    deployment.nodes[name].process.send_signal(signal.SIGTERM)
    time.sleep(2.0)
    load.avoid.add(name)
    deployment.nodes[name].process.wait(30)


def log_fault(deployment, load, seconds=8, **change):
    """Change the log for a while."""
    deployment.control(deployment.log_port, **change)
    time.sleep(seconds)
    deployment.control(deployment.log_port, down=False, delay_s=0.0)


def leaving(deployment, load):
    """Mark an instance as leaving in the list."""
    instance = member(deployment, 0)
    deployment.control(deployment.list_port, instance=instance, state="leaving")


def race(deployment, load):
    """Let operators race five times, two patches each."""
    for number in range(5):
        _race_once(deployment, {"accounts": {"wren": {"weight": 1.0 + number}}})


def _race_once(deployment, patch) -> None:
    names = list(deployment.nodes)[:2]
    version = deployment.operator(names[0], "GET", "/operator/configuration").json()["version"]
    body = {"base_version": version, "patch": patch}
    answers = []

    def submit(name: str) -> None:
        answer = deployment.operator(name, "POST", "/operator/patches", body)
        answers.append(answer.json()["verdict"])

    threads = [threading.Thread(target=submit, args=(name,)) for name in names]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert sorted(answers) == ["accepted", "stale"], answers


FAULTS = {
    "none": lambda deployment, load: None,
    "member dies": lambda d, load: engine(d, load, "kill"),
    "member restarts": lambda d, load: engine(d, load, "restart"),
    "member pauses 1.5 s": lambda d, load: engine(d, load, "pause", later=(1.5, "resume")),
    "member returns after 8 s": lambda d, load: engine(d, load, "pause", later=(8, "resume")),
    "first member dies": lambda d, load: engine(d, load, "kill", rank=0),
    "domain goes dark": dark_domain,
    "daemon killed": node_killed,
    "daemon frozen 7 s": node_frozen,
    "daemon stopped": node_stopped,
    "log down 8 s": lambda d, load: log_fault(d, load, down=True),
    "log slow 1.2 s": lambda d, load: log_fault(d, load, delay_s=1.2),
    "log loses 10 answers": lambda d, load: log_fault(d, load, lose_answers=10),
    "instance leaves": leaving,
    "operators race": race,
}


def run_one(name: str) -> str:
    """Run one fault and return its row."""
    with (
        tempfile.TemporaryDirectory() as folder,
        Deployment(Path(folder), engines_per_data_centre=5) as deployment,
    ):
        wants = dict.fromkeys(deployment.data_centres, 1)
        wait_until(lambda: deployment.configure(first_document(wants, GROUP_SIZE)))
        deployment.wait_ready(GROUPS)
        load = Load(deployment)
        threads = load.start()
        time.sleep(WARM_S)
        began = time.monotonic()
        fault = threading.Thread(target=FAULTS[name], args=(deployment, load))
        fault.start()
        down_s, stranded, recovered_s = _watch(deployment, began)
        fault.join()
        load.stopped = True
        for thread in threads:
            thread.join()
        deployment.wait_ready(GROUPS)
        return _row(name, deployment, load, down_s, stranded, recovered_s)


def _watch(deployment: Deployment, began: float) -> tuple[float, float, float]:
    """Sample a node that no fault touches; return what was down for how long."""
    watcher = "kingston-c-n1"
    down_s = stranded = recovered_s = 0.0
    last = time.monotonic()
    while time.monotonic() - began < FAULT_S:
        time.sleep(SAMPLE_S)
        ready = sum(row["ready"] for row in deployment.groups(watcher))
        now = time.monotonic()
        missing = GROUPS - min(ready, GROUPS)
        down_s += missing * (now - last)
        stranded += missing * GROUP_SIZE * ACCELERATORS * (now - last)
        if missing:
            recovered_s = now - began
        last = now
    return down_s, stranded, recovered_s


def _row(name, deployment, load, down_s, stranded, recovered_s) -> str:
    runs = Counter(deployment.service_runs())
    for run in deployment.history():
        request = run["prompt"].rpartition('"content":"')[2].partition('"')[0]
        runs[request] += 1
    outcomes = Counter(record.outcome for record in load.records)
    strict = [record for record in load.records if record.kind not in ("stream", "whole")]
    doubled = sum(runs[record.request] > 1 for record in strict)
    falsely = sum(record.outcome == "not-run" and runs[record.request] > 0 for record in strict)
    cells = (
        name,
        len(load.records),
        outcomes["answered"],
        outcomes["not-run"],
        outcomes["unknown"],
        outcomes["no word"],
        doubled,
        falsely,
        f"{down_s:.1f}",
        f"{stranded:.0f}",
        f"{recovered_s:.1f}",
    )
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def main() -> None:
    """Run the named faults, or all."""
    print(
        "| fault | requests | answered | not run | unknown | no word | doubled | false not-run "
        "| group downtime s | stranded accelerator-s | ready again s |"
    )
    print("|" + "---|" * 11)
    for name in sys.argv[1:] or FAULTS:
        print(run_one(name), flush=True)


if __name__ == "__main__":
    main()
