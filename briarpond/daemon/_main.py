"""Entry point of ``briarpondd``."""

import sys
from pathlib import Path

from absl import flags, logging
from cyclopts import App as CommandLine

from briarpond import __version__
from briarpond.conf import load_settings

from ._app import NodeProcess

# EX_CONFIG of sysexits.h.
EXIT_INVALID_SETTINGS = 78

command_line = CommandLine(
    name="briarpondd", help="Run one node of the serving system.", version=__version__
)


@command_line.default
def run(settings: Path) -> int:
    """Run a node until it is stopped.

    Parameters
    ----------
    settings : Path
        YAML settings file of this process.
    """
    # absl buffers log lines until its flags are parsed, so an empty command line is parsed.
    flags.FLAGS(["briarpondd"])
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    logging.set_stderrthreshold("info")
    loaded = load_settings(settings)
    if loaded.is_error():
        for problem in loaded.error:
            print(problem, file=sys.stderr)
        return EXIT_INVALID_SETTINGS
    return NodeProcess(loaded.ok).run()


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(command_line())
