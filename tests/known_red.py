"""Runs the tests listed in KNOWN-RED.txt, which are known to fail, and reports their results."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
PYTEST_NO_TESTS_COLLECTED = 5  # exit code


def read_listed_tests() -> list[str]:
    """Return the pytest node ids in KNOWN-RED.txt."""
    lines = (ROOT / "KNOWN-RED.txt").read_text().splitlines()
    return [line.split("|")[0].strip() for line in lines if line and not line.startswith("#")]


def collect_marked_tests() -> list[str]:
    """Return the pytest node ids of all tests with the marker known_red."""
    result = _run_pytest("--collect-only", "-m", "known_red")
    return [line for line in result.stdout.splitlines() if "::" in line]


def main() -> int:
    """Run every listed test and print its result.

    Return 1 if the list and the marked tests differ, or if a listed test does not fail;
    otherwise return 0.
    """
    listed_tests, marked_tests = read_listed_tests(), collect_marked_tests()
    exit_code = 0
    for name in sorted(set(listed_tests) ^ set(marked_tests)):
        print(f"known-red list and markers differ: {name}")
        exit_code = 1
    for name in listed_tests:
        status = _run_pytest(name).returncode
        print(
            f"known red: {name}: {'still fails' if status == 1 else f'pytest exit code {status}'}"
        )
        exit_code |= int(status != 1)
    print(f"known red checks: {len(listed_tests)}")
    return exit_code


def _run_pytest(*args: str) -> subprocess.CompletedProcess:
    command = [sys.executable, "-m", "pytest", *args]
    return subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)


if __name__ == "__main__":
    sys.exit(main())
