"""Commands of ``briarpondctl``.

Each command calls the operators' interface of one node and prints the answer, except
``check``, which runs the daemon's own checks of a settings file. The docstrings of
the commands and the parameters are their help texts.
"""

import json
import os
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import yaml
from cyclopts import App, Parameter

from briarpond import __version__
from briarpond.conf import Address, load_settings

from ._client import call_node
from ._exit_codes import ExitCode
from ._quarantine import quarantine

KEY_VARIABLE = "BRIARPOND_OPERATOR_KEY"
NODE_VARIABLE = "BRIARPOND_NODE"


@Parameter(name="*")
@dataclass
class NodeOptions:
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
command_line.command(quarantine)


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
        return ExitCode.OK
    for problem in loaded.error:
        print(problem, file=sys.stderr)
    return ExitCode.SETTINGS


@command_line.command
def config(options: NodeOptions | None = None) -> int:
    """Show the configuration in force and its version."""

    def print_text(tree: Any) -> None:
        print(f"# version {tree['version']}")
        print(yaml.safe_dump(tree["document"], sort_keys=True), end="")

    return _print_answer(options, "/operator/configuration", print_text)


@command_line.command
def patch(
    file: Annotated[Path, Parameter(allow_leading_hyphen=True)],
    *,
    base_version: int,
    options: NodeOptions | None = None,
) -> int:
    """Submit an RFC 7396 merge patch against a configuration version.

    Parameters
    ----------
    file
        Patch as YAML or JSON; ``-`` reads standard input.
    base_version
        Version that the patch was made against.
    """
    options = options or NodeOptions()
    try:
        text = sys.stdin.read() if str(file) == "-" else file.read_text(encoding="utf-8")
        tree = yaml.safe_load(text)
    except (OSError, yaml.YAMLError) as exc:
        return _print_failure(
            f"Cannot read the patch: {exc}", "Give a YAML or JSON file.", ExitCode.USAGE
        )
    answer = _call_node(
        options, "POST", "/operator/patches", {"base_version": base_version, "patch": tree}
    )
    if isinstance(answer, int):
        return answer
    if "verdict" not in answer.tree:
        return _print_failure(
            answer.tree.get("error", "refused"), answer.tree.get("hint", ""), ExitCode.REFUSED
        )
    if options.json:
        print(json.dumps(answer.tree, indent=2))
    else:
        _print_verdict(base_version, answer.tree)
    return _exit_code_of_patch(answer.tree["verdict"])


@command_line.command
def groups(options: NodeOptions | None = None) -> int:
    """Show the groups and whether each is ready."""

    def print_text(tree: Any) -> None:
        for group in tree["groups"]:
            ready = "ready" if group["ready"] else "not-ready"
            members = ",".join(member["instance"] for member in group["members"])
            print(
                f"{group['group']} {group['data_centre']}/{group['domain']} {group['phase']} "
                f"{ready} {group['model']}@{group['version']} "
                f"generation={group['generation']} {members}"
            )

    return _print_answer(options, "/operator/groups", print_text)


@command_line.command
def nodes(options: NodeOptions | None = None) -> int:
    """Show the nodes and when each was last heard."""

    def print_text(tree: Any) -> None:
        for node in tree["nodes"]:
            heard = "never" if node["heard_s"] is None else f"{node['heard_s']:.1f}s"
            print(
                f"{node['node']} {node['data_centre']} {node['stage']} {node['callers']} "
                f"heard={heard}"
            )

    return _print_answer(options, "/operator/nodes", print_text)


@command_line.command
def audit(*, limit: int = 50, options: NodeOptions | None = None) -> int:
    """Show the audit trail, oldest first.

    Parameters
    ----------
    limit
        Number of lines.
    """

    def print_text(tree: Any) -> None:
        for line in tree["lines"]:
            print(
                f"position={line['position']} at_ms={line['at_ms']} actor={line['actor']} "
                f"action={line['action']} target=\"{line['target']}\" "
                f"verdict={line['verdict']} version={line['version']}"
            )

    return _print_answer(options, f"/operator/audit?limit={limit}", print_text)


@command_line.command
def status(options: NodeOptions | None = None) -> int:
    """Show the state of one node."""

    def print_text(tree: Any) -> None:
        print(" ".join(f"{name}={value}" for name, value in tree.items()))

    return _print_answer(options, "/operator/status", print_text)


@command_line.command
def drain(options: NodeOptions | None = None) -> int:
    """Stop one node gracefully: no request in flight is interrupted."""
    options = options or NodeOptions()
    answer = _call_node(options, "POST", "/operator/drain", {})
    if isinstance(answer, int):
        return answer
    if answer.status != 200:
        return _print_failure(
            answer.tree.get("error", "refused"), answer.tree.get("hint", ""), ExitCode.REFUSED
        )
    print(json.dumps(answer.tree, indent=2) if options.json else f"stage={answer.tree['stage']}")
    return ExitCode.OK


def main() -> None:
    """Run the command line and exit with its code."""
    sys.exit(int(command_line() or 0))


def _print_answer(options: NodeOptions | None, path: str, print_text) -> int:
    """Get `path` from a node and print the answer, as JSON or by `print_text`."""
    options = options or NodeOptions()
    answer = _call_node(options, "GET", path)
    if isinstance(answer, int):
        return answer
    if answer.status != 200:
        return _print_failure(
            answer.tree.get("error", "refused"), answer.tree.get("hint", ""), ExitCode.REFUSED
        )
    if options.json:
        print(json.dumps(answer.tree, indent=2))
    else:
        print_text(answer.tree)
    return ExitCode.OK


def _call_node(options: NodeOptions, method: str, path: str, body: object = None):
    """Return a node's answer, or the exit code after printing why there is none."""
    try:
        address = Address.parse(options.node)
    except ValueError as exc:
        return _print_failure(f"--node {exc}.", f"Or set {NODE_VARIABLE}.", ExitCode.USAGE)
    key = _operator_key(options)
    if not key:
        return _print_failure(
            "There is no operator key.", f"Use --key-file or set {KEY_VARIABLE}.", ExitCode.USAGE
        )
    answer = call_node(address, key, method, path, body)
    if answer.is_error():
        return _print_failure(answer.error.message, answer.error.hint, ExitCode.FAILED)
    return answer.ok


def _operator_key(options: NodeOptions) -> str:
    if options.key_file is None:
        return os.environ.get(KEY_VARIABLE, "")
    try:
        return options.key_file.read_text(encoding="utf-8").strip()
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


def _exit_code_of_patch(verdict: str) -> ExitCode:
    """Return the exit code for the verdict in the answer to a patch."""
    match verdict:
        case "accepted":
            return ExitCode.OK
        case "unknown":
            return ExitCode.UNKNOWN
        case "not-submitted":
            return ExitCode.FAILED
    return ExitCode.REFUSED


def _print_failure(message: str, hint: str, code: ExitCode) -> ExitCode:
    print(f"{message} HINT: {hint}", file=sys.stderr)
    return code
