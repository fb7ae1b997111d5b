"""Command line of the stand-ins: ``python -m tests.standins log --port 9001``.

Each command runs until it receives SIGTERM.
"""

import signal
import sys
from pathlib import Path

import msgspec
from circuits.core.pollers import EPoll
from cyclopts import App as CommandLine

from briarpond.net import Clock
from briarpond.ports import InstanceList

from .engines import Engine, EngineFleet, EngineSettings
from .log import LogStandIn
from .service import ServiceStandIn
from .web import serve

command_line = CommandLine(name="standins", help="Stand-ins for the platform.")


def _create_clock() -> Clock:
    clock = Clock()
    clock += EPoll()
    return clock


def _run_until_terminated(clock: Clock) -> None:
    def install_signal_handler() -> None:
        signal.signal(signal.SIGTERM, lambda *_: clock.stop())

    clock.after(0.0, install_signal_handler)
    clock.run()


@command_line.command
def log(port: int, retention: int = 100_000) -> None:
    """Run the append-only log, which keeps the last RETENTION entries."""
    clock = _create_clock()
    stand_in = LogStandIn(clock, retention)
    serve(clock, port, stand_in.handle)
    _run_until_terminated(clock)


@command_line.command
def fleet(port: int, list_file: Path, lag_s: float = 0.0) -> None:
    """Run the list of the instances in LIST_FILE; it shows changes after LAG_S seconds."""
    from .instances import ListStandIn

    rows = msgspec.json.decode(list_file.read_bytes(), type=InstanceList)
    clock = _create_clock()
    stand_in = ListStandIn(clock, rows, lag_s)
    serve(clock, port, stand_in.handle)
    _run_until_terminated(clock)


@command_line.command
def engines(
    port: int,
    list_file: Path,
    pace_s: float = 0.01,
    load_s: float = 0.3,
    prefill_s: float = 0.01,
    load_lag_s: float = 0.5,
) -> None:
    """Run all engines of the list in one process, each on a port of its own.

    Parameters
    ----------
    port
        Port of the common control interface.
    list_file
        Instance list; services whose names end in "-llm" or "-pool" consist of engines.
    pace_s
        Seconds from one token to the next.
    load_s
        Seconds from an order until the model is loaded.
    prefill_s
        Seconds from a request to its first token.
    load_lag_s
        Age in seconds of the load in status answers.
    """
    rows = msgspec.json.decode(list_file.read_bytes(), type=InstanceList)
    clock = _create_clock()
    settings = EngineSettings(pace_s, load_s, prefill_s, load_lag_s)
    engine_fleet = EngineFleet(clock)
    for row in rows.instances:
        if row.service.endswith("-llm") or row.service.endswith("-pool"):
            engine = Engine(clock, engine_fleet, row, settings)
            serve(clock, int(row.address.rpartition(":")[2]), engine.handle)
    serve(clock, port, engine_fleet.control)
    _run_until_terminated(clock)


@command_line.command
def service(port: int, instance: str, work_s: float = 0.01) -> None:
    """Run one plain server; an order takes WORK_S seconds."""
    clock = _create_clock()
    serve(clock, port, ServiceStandIn(clock, instance, work_s).handle)
    _run_until_terminated(clock)


if __name__ == "__main__":
    sys.exit(command_line())
