"""Cost of relaying: requests through a daemon, against requests directly to an engine.

Run ``python -m benchmarks.relay``. The engine is a stand-in. Both paths are measured
alternately in one run, so that their ratio holds although the machine's speed varies.
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
    http_call,
    initial_configuration,
    wait_until,
)

# Each round measures both paths with requests of three kinds.
ROUNDS = 3
# Parallel streams, and the tokens of each, that measure chunks per second.
STREAMS = 8
TOKENS_PER_STREAM = 400
# Answers of one token, sent whole, that measure requests per second.
WHOLE_REQUESTS = 400
# Short streams that measure the time to the first byte.
FIRST_BYTE_REQUESTS = 150
# The paced run: parallel streams in which the engine sends one token per interval.
TOKEN_INTERVAL_S = 0.05
PACED_STREAMS = 150
TOKENS_PER_PACED_STREAM = 100
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def headers_for(generation: int) -> dict[str, str]:
    """Return headers that both a daemon and an engine accept.

    An engine checks the generation, a daemon the key.
    """
    return {
        "Content-Type": "application/json",
        "Authorization": f"Bearer {CALLER_KEY}",
        "Engine-Generation": str(generation),
    }


def body(tokens: int, stream: bool) -> str:
    """Return the body of a request for an answer of `tokens` tokens."""
    message = {"role": "user", "content": "Mark crate 12 for Oslo."}
    document = {"model": "briar-7b", "max_tokens": tokens, "stream": stream, "messages": [message]}
    return json.dumps(document)


def stream_once(port: int, generation: int, tokens: int) -> tuple[int, float]:
    """Stream one answer; return the number of its events and the seconds to the first byte."""
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
    sent_at = time.perf_counter()
    conn.request("POST", "/v1/chat/completions", body(tokens, True), headers_for(generation))
    answer = conn.getresponse()
    first = answer.read1(65536)
    first_byte_s = time.perf_counter() - sent_at
    received = first + answer.read()
    conn.close()
    return received.count(b"data: "), first_byte_s


def chunks_per_s(port: int, generation: int) -> tuple[float, int]:
    """Return the rate of events over parallel streams, and the number of events."""
    counts = []

    def stream() -> None:
        counts.append(stream_once(port, generation, TOKENS_PER_STREAM)[0])

    threads = [threading.Thread(target=stream) for _ in range(STREAMS)]
    began = time.perf_counter()
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(counts) / (time.perf_counter() - began), sum(counts)


def requests_per_s(port: int, generation: int) -> float:
    """Return the rate of whole answers of one token on one keep-alive connection."""
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
    began = time.perf_counter()
    for _ in range(WHOLE_REQUESTS):
        conn.request("POST", "/v1/chat/completions", body(1, False), headers_for(generation))
        conn.getresponse().read()
    conn.close()
    return WHOLE_REQUESTS / (time.perf_counter() - began)


def first_byte_times(port: int, generation: int) -> HdrHistogram:
    """Return the times to the first byte, in microseconds."""
    histogram = HdrHistogram(1, 60_000_000, 3)
    for _ in range(FIRST_BYTE_REQUESTS):
        histogram.record_value(int(stream_once(port, generation, 2)[1] * 1e6))
    return histogram


def main() -> None:
    """Measure an engine that sends tokens without a pause, then one that paces them."""
    _run_with_engine(0.0, _measure_unpaced)
    _run_with_engine(TOKEN_INTERVAL_S, _measure_paced)


def _run_with_engine(token_interval_s: float, measure) -> None:
    """Call `measure` with a deployment of one daemon and one stand-in engine."""
    engine_args = {"pace_s": token_interval_s, "prefill_s": 0.0, "load_s": 0.1}
    with (
        tempfile.TemporaryDirectory() as folder,
        Deployment(
            Path(folder),
            data_centres=("hobart-a",),
            engines_per_data_centre=1,
            plain_server_count=0,
            engine_flags=engine_args,
        ) as deployment,
    ):
        wait_until(lambda: deployment.submit_patch(initial_configuration({"hobart-a": 1}, 1)))
        deployment.wait_for_ready_groups(1)
        measure(deployment)


def _measure_paced(deployment: Deployment) -> None:
    """Print the daemon's processor time per chunk where each token is a chunk of its own."""
    node = next(iter(deployment.nodes.values()))
    pid = node.process.pid
    event_counts: list[int] = []

    def stream() -> None:
        event_counts.append(stream_once(node.callers_port, 0, TOKENS_PER_PACED_STREAM)[0])

    threads = [threading.Thread(target=stream) for _ in range(PACED_STREAMS)]
    before = processor_s(pid)
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    used_s = processor_s(pid) - before
    print(
        f"paced: {PACED_STREAMS} streams of one token per {TOKEN_INTERVAL_S * 1000:.0f} ms:",
        end=" ",
    )
    print(f"{used_s / sum(event_counts) * 1e6:.1f} us a chunk, with requests and control work")


def _measure_unpaced(deployment: Deployment) -> None:
    """Print rates and times of both paths, and the daemon's processor time."""
    node = next(iter(deployment.nodes.values()))
    group = deployment.list_groups(node.name)[0]
    generation = group["generation"]
    engine_port = int(group["members"][0]["address"].rpartition(":")[2])
    pid = node.process.pid
    print("| round | path | requests/s | chunks/s | first byte p50 ms | p95 ms |")
    print("|---|---|---|---|---|---|")
    chunks_used_s, chunks, requests_used_s, requests = 0.0, 0, 0.0, 0
    for number in range(ROUNDS):
        for path, port in (("direct", engine_port), ("relay", node.callers_port)):
            before = processor_s(pid)
            request_rate = requests_per_s(port, generation)
            between = processor_s(pid)
            chunk_rate, chunk_count = chunks_per_s(port, generation)
            after = processor_s(pid)
            times = first_byte_times(port, generation)
            p50, p95 = (times.get_value_at_percentile(p) / 1000 for p in (50, 95))
            row = f"| {number + 1} | {path} | {request_rate:.0f} | {chunk_rate:.0f} "
            print(f"{row}| {p50:.2f} | {p95:.2f} |")
            if path == "relay":
                requests_used_s += between - before
                requests += WHOLE_REQUESTS
                chunks_used_s += after - between
                chunks += chunk_count
    print(
        f"\nprocessor of the daemon: {requests_used_s / requests * 1e6:.0f} us a whole request,",
        end=" ",
    )
    print(f"{chunks_used_s / chunks * 1e6:.1f} us a chunk over {STREAMS} streams")
    answer = http_call(node.callers_port, "GET", "/health", key="")
    print(f"stage of the daemon after the run: {answer.json()['stage']}")


if __name__ == "__main__":
    main()
