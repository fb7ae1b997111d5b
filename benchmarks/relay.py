"""Cost of the relay: a daemon in front of a stand-in, against the stand-in alone.

Run ``python -m benchmarks.relay``. Both sides are measured in one run, in turns,
so that ratios hold although the machine's speed varies.
"""

import http.client
import json
import os
import tempfile
import threading
import time
from pathlib import Path

from hdrh.histogram import HdrHistogram

from tests.standins.deployment import (
    CALLER_KEY,
    Deployment,
    call,
    first_document,
    wait_until,
)

ROUNDS = 3
STREAMS = 8
TOKENS = 400
WHOLE_REQUESTS = 400
FIRST_TOKEN_REQUESTS = 150
PACE_S = 0.05
PACED_STREAMS = 150
PACED_TOKENS = 100
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def headers_for(generation: int) -> dict[str, str]:
    """Return the headers of a request, to a daemon or directly to an engine."""
    return {
        "Content-Type": "application/json",
        "Authorization": f"Bearer {CALLER_KEY}",
        "Engine-Generation": str(generation),
    }


def body(tokens: int, stream: bool) -> str:
    """Return the body of a request."""
    message = {"role": "user", "content": "Mark crate 12 for Oslo."}
    tree = {"model": "briar-7b", "max_tokens": tokens, "stream": stream, "messages": [message]}
    return json.dumps(tree)


def stream_once(port: int, generation: int, tokens: int) -> tuple[int, float]:
    """Stream one answer; return its events and the seconds to the first byte."""
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
    began = time.perf_counter()
    conn.request("POST", "/v1/chat/completions", body(tokens, True), headers_for(generation))
    answer = conn.getresponse()
    first = answer.read1(65536)
    waited = time.perf_counter() - began
    rest = first + answer.read()
    conn.close()
    return rest.count(b"data: "), waited


def chunks_per_s(port: int, generation: int) -> tuple[float, int]:
    """Return events per second over parallel streams, and their number."""
    counts = []

    def one() -> None:
        counts.append(stream_once(port, generation, TOKENS)[0])

    threads = [threading.Thread(target=one) for _ in range(STREAMS)]
    began = time.perf_counter()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(counts) / (time.perf_counter() - began), sum(counts)


def requests_per_s(port: int, generation: int) -> float:
    """Return small whole answers per second on one keep-alive connection."""
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
    began = time.perf_counter()
    for _ in range(WHOLE_REQUESTS):
        conn.request("POST", "/v1/chat/completions", body(1, False), headers_for(generation))
        conn.getresponse().read()
    conn.close()
    return WHOLE_REQUESTS / (time.perf_counter() - began)


def first_token(port: int, generation: int) -> HdrHistogram:
    """Return times to the first byte in microseconds."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    for _ in range(FIRST_TOKEN_REQUESTS):
        histogram.record_value(int(stream_once(port, generation, 2)[1] * 1e6))
    return histogram


def main() -> None:
    """Run the benchmark and print its table."""
    _with_engine(0.0, _measure)
    _with_engine(PACE_S, _measure_paced)


def _with_engine(pace_s: float, measure) -> None:
    engine_args = {"pace_s": pace_s, "prefill_s": 0.0, "load_s": 0.1}
    with (
        tempfile.TemporaryDirectory() as folder,
        Deployment(
            Path(folder),
            data_centres=("hobart-a",),
            engines_per_data_centre=1,
            services=0,
            engine_args=engine_args,
        ) as deployment,
    ):
        wait_until(lambda: deployment.configure(first_document({"hobart-a": 1}, 1)))
        deployment.wait_ready(1)
        measure(deployment)


def _measure_paced(deployment: Deployment) -> None:
    """Print the processor time of a chunk where each token comes alone."""
    node = next(iter(deployment.nodes.values()))
    pid = node.process.pid
    events: list[int] = []

    def one() -> None:
        events.append(stream_once(node.callers, 0, PACED_TOKENS)[0])

    threads = [threading.Thread(target=one) for _ in range(PACED_STREAMS)]
    before = processor_s(pid)
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    spent = processor_s(pid) - before
    print(f"paced: {PACED_STREAMS} streams of a token each {PACE_S * 1000:.0f} ms:", end=" ")
    print(f"{spent / sum(events) * 1e6:.1f} us a chunk, requests and control included")


def _measure(deployment: Deployment) -> None:
    node = next(iter(deployment.nodes.values()))
    group = deployment.groups(node.name)[0]
    generation = group["generation"]
    engine_port = int(group["members"][0]["address"].rpartition(":")[2])
    pid = node.process.pid
    print("| round | path | requests/s | chunks/s | first byte p50 ms | p95 ms |")
    print("|---|---|---|---|---|---|")
    spent, chunks, whole_spent, whole = 0.0, 0, 0.0, 0
    for number in range(ROUNDS):
        for path, port in (("direct", engine_port), ("relay", node.callers)):
            before = processor_s(pid)
            rate = requests_per_s(port, generation)
            between = processor_s(pid)
            events_rate, events = chunks_per_s(port, generation)
            after = processor_s(pid)
            times = first_token(port, generation)
            p50, p95 = (times.get_value_at_percentile(p) / 1000 for p in (50, 95))
            row = f"| {number + 1} | {path} | {rate:.0f} | {events_rate:.0f} "
            print(f"{row}| {p50:.2f} | {p95:.2f} |")
            if path == "relay":
                whole_spent += between - before
                whole += WHOLE_REQUESTS
                spent += after - between
                chunks += events
    print(
        f"\nprocessor of the daemon: {whole_spent / whole * 1e6:.0f} us a whole request,", end=" "
    )
    print(f"{spent / chunks * 1e6:.1f} us a chunk over {STREAMS} streams")
    answer = call(node.callers, "GET", "/health", key="")
    print(f"daemon after the run: {answer.json()['stage']}")


if __name__ == "__main__":
    main()
