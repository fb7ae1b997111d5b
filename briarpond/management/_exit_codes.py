"""Exit codes of the command-line tool."""

from enum import IntEnum


class ExitCode(IntEnum):
    """Exit codes of the tool; ``docs/ref/commands.md`` lists them.

    OK : the command succeeded.
    FAILED : the node gave no usable answer, or a patch was certainly not submitted.
    USAGE : the command line, the patch file or the operator key is unusable.
    REFUSED : the node refused the request, or the patch.
    UNKNOWN : whether the patch was accepted is not known.
    SETTINGS : the settings file has problems.
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    UNKNOWN = 4
    SETTINGS = 78
