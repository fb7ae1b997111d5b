"""The process itself: its exit codes and its signals."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
COMMAND = [sys.executable, "-m", "briarpond.gateway"]


def start(**env):
    return subprocess.Popen(
        COMMAND, cwd=ROOT, env={**os.environ, **env}, stdout=subprocess.PIPE, stderr=subprocess.PIPE
    )


def test_no_settings_is_a_coded_problem():
    process = start(BRIARPOND_SETTINGS="")
    _, err = process.communicate(timeout=30)
    assert process.returncode == 78 and b"gateway.E000" in err


def test_bad_settings_are_a_coded_problem(tmp_path):
    path = tmp_path / "node.yaml"
    path.write_text("nodeName: x")
    process = start(BRIARPOND_SETTINGS=str(path))
    out, _ = process.communicate(timeout=30)
    assert process.returncode == 78 and b"gateway.E003" in out


def test_start_loads_nothing_that_only_declares_a_namespace():
    command = [sys.executable, "-X", "importtime", *COMMAND[1:]]
    process = subprocess.run(
        command, cwd=ROOT, env={**os.environ, "BRIARPOND_SETTINGS": ""}, capture_output=True
    )
    assert process.returncode == 78
    assert b"circuits.core" in process.stderr and b"pkg_resources" not in process.stderr


def test_first_lines_run_before_the_modules_are_loaded():
    check = "import sys, briarpond.gateway; sys.exit('circuits' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", check], cwd=ROOT).returncode == 0


def test_stop_while_modules_are_loaded_is_an_end_in_good_order(tmp_path):
    """Seed 1 of the soak: a node was told to stop right after its start, and died of it.

    The settings are a pipe that nobody writes, so that the process cannot end by itself.
    """
    settings = tmp_path / "node.yaml"
    os.mkfifo(settings)
    for delay in (0.0, 0.05, 0.1, 0.2):
        process = start(BRIARPOND_SETTINGS=str(settings))
        wait_for_first_line(process)
        time.sleep(delay)
        process.send_signal(signal.SIGTERM)
        process.communicate(timeout=30)
        assert process.returncode == 0


def wait_for_first_line(process):
    """Wait until the process catches the signal, as the kernel tells it."""
    caught = 1 << (signal.SIGTERM - 1)
    deadline = time.monotonic() + 30
    while time.monotonic() < deadline and process.poll() is None:
        status = Path(f"/proc/{process.pid}/status").read_text()
        mask = next(line for line in status.splitlines() if line.startswith("SigCgt"))
        if int(mask.split()[1], 16) & caught:
            return
        time.sleep(0.002)
