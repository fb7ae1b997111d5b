"""Commands of ``briarpondctl``: thin shells on the library and the nodes' paths."""

import json
import os
import sys
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path
from typing import Annotated, Any

import yaml
from cyclopts import App, Parameter

from briarpond import __version__
from briarpond.conf import Address, load_settings

from ._client import call_node

KEY_VARIABLE = "BRIARPOND_OPERATOR_KEY"
NODE_VARIABLE = "BRIARPOND_NODE"


class Exit(IntEnum):
    """Exit codes; docs/ref/commands.md lists them."""

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    UNKNOWN = 4
    SETTINGS = 78


@Parameter(name="*")
@dataclass
class Common:
    """Options of every command that calls a node.

    Parameters
    ----------
    node
        Operators' address of any node, ``host:port``.
    key_file
        File with the operator key; by default the key is taken from the environment.
    json
        Print the answer as JSON.
    """

    node: Annotated[str, Parameter(env_var=NODE_VARIABLE)] = "127.0.0.1:7300"
    key_file: Path | None = None
    json: Annotated[bool, Parameter(negative="")] = False


command_line = App(
    name="briarpondctl",
    help="Operate a deployment of the serving system.",
    version=__version__,
)


@command_line.command
def check(settings: Path) -> int:
    """Check a settings file as the daemon does at its start.

    Parameters
    ----------
    settings
        YAML settings file.
    """
    loaded = load_settings(settings)
    if loaded.is_ok():
        print(f"{settings}: no problems found.")
        return Exit.OK
    for problem in loaded.error:
        print(problem, file=sys.stderr)
    return Exit.SETTINGS


@command_line.command
def config(common: Common | None = None) -> int:
    """Show the configuration in force and its version."""

    def show(tree: Any) -> None:
        print(f"# version {tree['version']}")
        print(yaml.safe_dump(tree["document"], sort_keys=True), end="")

    return _show(common, "/operator/configuration", show)


@command_line.command
def patch(
    file: Annotated[Path, Parameter(allow_leading_hyphen=True)],
    *,
    base_version: int,
    common: Common | None = None,
) -> int:
    """Submit an RFC 7396 merge patch against a configuration version.

    Parameters
    ----------
    file
        Patch as YAML or JSON; ``-`` reads standard input.
    base_version
        Version that the patch was made against.
    """
    common = common or Common()
    try:
        text = sys.stdin.read() if str(file) == "-" else file.read_text(encoding="utf-8")
        tree = yaml.safe_load(text)
    except (OSError, yaml.YAMLError) as exc:
        return _fail(f"Cannot read the patch: {exc}", "Give a YAML or JSON file.", Exit.USAGE)
    answer = _call(
        common, "POST", "/operator/patches", {"base_version": base_version, "patch": tree}
    )
    if isinstance(answer, int):
        return answer
    if "verdict" not in answer.tree:
        return _fail(answer.tree.get("error", "refused"), answer.tree.get("hint", ""), Exit.REFUSED)
    if common.json:
        print(json.dumps(answer.tree, indent=2))
    else:
        _print_verdict(base_version, answer.tree)
    return _patch_exit(answer.tree["verdict"])


@command_line.command
def groups(common: Common | None = None) -> int:
    """Show the groups and whether each is ready."""

    def show(tree: Any) -> None:
        for row in tree["groups"]:
            ready = "ready" if row["ready"] else "not-ready"
            members = ",".join(member["instance"] for member in row["members"])
            print(
                f"{row['group']} {row['data_centre']}/{row['domain']} {row['phase']} {ready} "
                f"{row['model']}@{row['version']} generation={row['generation']} {members}"
            )

    return _show(common, "/operator/groups", show)


@command_line.command
def nodes(common: Common | None = None) -> int:
    """Show the nodes and when each was last heard."""

    def show(tree: Any) -> None:
        for row in tree["nodes"]:
            heard = "never" if row["heard_s"] is None else f"{row['heard_s']:.1f}s"
            print(
                f"{row['node']} {row['data_centre']} {row['stage']} {row['callers']} heard={heard}"
            )

    return _show(common, "/operator/nodes", show)


@command_line.command
def audit(*, limit: int = 50, common: Common | None = None) -> int:
    """Show the audit trail, oldest first.

    Parameters
    ----------
    limit
        Number of lines.
    """

    def show(tree: Any) -> None:
        for row in tree["lines"]:
            print(
                f"position={row['position']} at_ms={row['at_ms']} actor={row['actor']} "
                f"action={row['action']} target=\"{row['target']}\" verdict={row['verdict']} "
                f"version={row['version']}"
            )

    return _show(common, f"/operator/audit?limit={limit}", show)


@command_line.command
def status(common: Common | None = None) -> int:
    """Show the state of one node."""

    def show(tree: Any) -> None:
        print(" ".join(f"{name}={value}" for name, value in tree.items()))

    return _show(common, "/operator/status", show)


@command_line.command
def drain(common: Common | None = None) -> int:
    """Stop one node gracefully: no request in flight is interrupted."""
    common = common or Common()
    answer = _call(common, "POST", "/operator/drain", {})
    if isinstance(answer, int):
        return answer
    if answer.status != 200:
        return _fail(answer.tree.get("error", "refused"), answer.tree.get("hint", ""), Exit.REFUSED)
    print(json.dumps(answer.tree, indent=2) if common.json else f"stage={answer.tree['stage']}")
    return Exit.OK


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(int(command_line() or 0))


def _show(common: Common | None, path: str, show) -> int:
    common = common or Common()
    answer = _call(common, "GET", path)
    if isinstance(answer, int):
        return answer
    if answer.status != 200:
        return _fail(answer.tree.get("error", "refused"), answer.tree.get("hint", ""), Exit.REFUSED)
    if common.json:
        print(json.dumps(answer.tree, indent=2))
    else:
        show(answer.tree)
    return Exit.OK


def _call(common: Common, method: str, path: str, body: object = None):
    try:
        address = Address.parse(common.node)
    except ValueError as exc:
        return _fail(f"--node {exc}.", f"Or set {NODE_VARIABLE}.", Exit.USAGE)
    key = _operator_key(common)
    if not key:
        return _fail(
            "There is no operator key.", f"Use --key-file or set {KEY_VARIABLE}.", Exit.USAGE
        )
    answer = call_node(address, key, method, path, body)
    if answer.is_error():
        return _fail(answer.error.message, answer.error.hint, Exit.FAILED)
    return answer.ok


def _operator_key(common: Common) -> str:
    if common.key_file is None:
        return os.environ.get(KEY_VARIABLE, "")
    try:
        return common.key_file.read_text(encoding="utf-8").strip()
    except OSError:
        return ""


def _print_verdict(base_version: int, tree: Any) -> None:
    if tree["verdict"] == "accepted":
        print(f"accepted: version {tree['version']} is in force.")
        return
    print(f"{tree['verdict']}: {tree['detail']}", file=sys.stderr)
    if tree["changes"]:
        print(f"Changed since version {base_version}:", file=sys.stderr)
    for change in tree["changes"]:
        print(
            f"  version {change['version']} by {change['actor']}: {change['paths']}",
            file=sys.stderr,
        )
    if tree["verdict"] == "unknown":
        print(f"Look for record {tree['record']} in the audit trail.", file=sys.stderr)


def _patch_exit(verdict: str) -> Exit:
    match verdict:
        case "accepted":
            return Exit.OK
        case "unknown":
            return Exit.UNKNOWN
        case "not-submitted":
            return Exit.FAILED
    return Exit.REFUSED


def _fail(message: str, hint: str, code: Exit) -> Exit:
    print(f"{message} HINT: {hint}", file=sys.stderr)
    return code
