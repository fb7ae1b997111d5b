"""Exit statuses of the gateway process, its signal handling and what it loads at the start."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
COMMAND = [sys.executable, "-m", "briarpond.gateway"]


def start_process(**env):
    return subprocess.Popen(
        COMMAND, cwd=ROOT, env={**os.environ, **env}, stdout=subprocess.PIPE, stderr=subprocess.PIPE
    )


def test_missing_settings_variable_exits_with_problem_code():
    process = start_process(BRIARPOND_SETTINGS="")
    _, err = process.communicate(timeout=30)
    assert process.returncode == 78 and b"gateway.E000" in err


def test_invalid_settings_file_exits_with_problem_code(tmp_path):
    path = tmp_path / "node.yaml"
    path.write_text("nodeName: x")
    process = start_process(BRIARPOND_SETTINGS=str(path))
    out, _ = process.communicate(timeout=30)
    assert process.returncode == 78 and b"gateway.E003" in out


def test_start_does_not_load_pkg_resources():
    command = [sys.executable, "-X", "importtime", *COMMAND[1:]]
    process = subprocess.run(
        command, cwd=ROOT, env={**os.environ, "BRIARPOND_SETTINGS": ""}, capture_output=True
    )
    assert process.returncode == 78
    assert b"circuits.core" in process.stderr and b"pkg_resources" not in process.stderr


def test_importing_the_package_does_not_load_circuits():
    import_check = "import sys, briarpond.gateway; sys.exit('circuits' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", import_check], cwd=ROOT).returncode == 0


def test_sigterm_while_modules_are_loaded_exits_with_status_0(tmp_path):
    """Guards against death by SIGTERM right after the start, as seen with seed 1 of the soak test.

    The settings file is a pipe without a writer, so that the process cannot exit by itself.
    """
    settings = tmp_path / "node.yaml"
    os.mkfifo(settings)
    for delay in (0.0, 0.05, 0.1, 0.2):
        process = start_process(BRIARPOND_SETTINGS=str(settings))
        wait_until_sigterm_is_caught(process)
        time.sleep(delay)
        process.send_signal(signal.SIGTERM)
        process.communicate(timeout=30)
        assert process.returncode == 0


SIGTERM_IN_FINALIZER = """
import builtins, os, signal, sys, time

class Finalized:
    def __del__(self):
        os.kill(os.getpid(), signal.SIGTERM)
        for _ in range(1000):
            pass

load = builtins.__import__

def load_with_finalizer(name, *args):
    if name == "circuits":
        Finalized()
    return load(name, *args)

builtins.__import__ = load_with_finalizer
import briarpond.gateway.__main__
sys.exit("still running")
"""


def test_sigterm_in_a_finalizer_while_modules_are_loaded_is_not_lost(tmp_path):
    """Guards against a process that ignores its stop, as seen once on a busy machine.

    Python drops exceptions in finalizers and weak reference callbacks, also the SystemExit of
    a signal handler that happens to run there.
    """
    settings = tmp_path / "node.yaml"
    settings.write_text("nodeName: x")
    process = subprocess.run(
        [sys.executable, "-c", SIGTERM_IN_FINALIZER],
        cwd=ROOT,
        env={**os.environ, "BRIARPOND_SETTINGS": str(settings)},
        capture_output=True,
        timeout=30,
    )
    assert (process.returncode, process.stderr) == (0, b"")


def wait_until_sigterm_is_caught(process):
    """Wait until the kernel lists a handler of the process for SIGTERM."""
    sigterm_bit = 1 << (signal.SIGTERM - 1)
    deadline = time.monotonic() + 30
    while time.monotonic() < deadline and process.poll() is None:
        status = Path(f"/proc/{process.pid}/status").read_text()
        mask = next(line for line in status.splitlines() if line.startswith("SigCgt"))
        if int(mask.split()[1], 16) & sigterm_bit:
            return
        time.sleep(0.002)
