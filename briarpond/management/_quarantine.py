"""Commands of ``briarpondctl quarantine``, for nodes on the users' platform.

They call the port that nodes use among themselves, which needs no operator key and which only
hosts inside the deployment reach.
"""

import json
import sys
from typing import Annotated
from urllib.parse import quote

from cyclopts import App, Parameter

from briarpond.conf import Address

from ._client import NodeAnswer, call_node
from ._exit_codes import ExitCode

QUARANTINE_PATH = "/quarantine"

quarantine = App(name="quarantine", help="Prompt parts that are refused, as servers ended on them.")

Node = Annotated[str, Parameter(env_var="BRIARPOND_GATEWAY")]


@quarantine.command(name="list")
def list_parts(node: Node = "127.0.0.1:7340", *, json: bool = False) -> int:
    """Show the parts in quarantine, the newest first.

    Parameters
    ----------
    node
        Address of any node for traffic between nodes, ``host:port``.
    json
        Print the answer as JSON.
    """
    answer = _call(node, "GET", QUARANTINE_PATH)
    if isinstance(answer, ExitCode):
        return answer
    for row in answer.tree["parts"]:
        print(_as_json(row) if json else _as_text(row))
    return ExitCode.OK


@quarantine.command
def lift(part: str, node: Node = "127.0.0.1:7340") -> int:
    """Let requests with a part through again, at all nodes.

    Parameters
    ----------
    part
        Name of the part, as the list and the log events show it.
    node
        Address of any node for traffic between nodes, ``host:port``.
    """
    answer = _call(node, "DELETE", f"{QUARANTINE_PATH}/{quote(part, safe='')}")
    if isinstance(answer, ExitCode):
        return answer
    print(f"lifted={part}")
    return ExitCode.OK


def _call(node: str, method: str, path: str) -> NodeAnswer | ExitCode:
    """Return the answer of a node, or the exit code after printing why there is none."""
    try:
        address = Address.parse(node)
    except ValueError as exc:
        return _fail(f"--node {exc}.", ExitCode.USAGE)
    answer = call_node(address, "", method, path)
    if answer.is_error():
        return _fail(f"{answer.error.message} HINT: {answer.error.hint}", ExitCode.FAILED)
    if answer.ok.status != 200:
        return _fail(answer.ok.tree.get("error", "refused"), ExitCode.REFUSED)
    return answer.ok


def _fail(message: str, code: ExitCode) -> ExitCode:
    print(message, file=sys.stderr)
    return code


def _as_json(row: dict) -> str:
    return json.dumps(row)


def _as_text(row: dict) -> str:
    return " ".join(f"{name}={value}" for name, value in row.items())
