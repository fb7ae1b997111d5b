"""Runs the checks listed in KNOWN-RED.txt apart and reports them."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
NO_TESTS = 5


def listed() -> list[str]:
    """Return the pytest node ids in KNOWN-RED.txt."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    return [line.split("|")[0].strip() for line in lines if line and not line.startswith("#")]


def marked() -> list[str]:
    """Return the node ids of all tests with the marker."""
    done = _pytest("--collect-only", "-q", "-m", "known_red")
    return [line for line in done.stdout.splitlines() if "::" in line]


def main() -> int:
    """Report every listed check; return 1 if the list is not true."""
    names, tests = listed(), marked()
    wrong = 0
    for name in sorted(set(names) ^ set(tests)):
        print(f"known-red list and markers differ: {name}")
        wrong = 1
    for name in names:
        code = _pytest(name).returncode
        print(f"known red: {name}: {'still fails' if code == 1 else f'pytest exit code {code}'}")
        wrong |= int(code != 1)
    print(f"known red checks: {len(names)}")
    return wrong


def _pytest(*args: str) -> subprocess.CompletedProcess:
    command = [sys.executable, "-m", "pytest", *args]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)


if __name__ == "__main__":
    sys.exit(main())
