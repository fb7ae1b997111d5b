"""Start-up checks of the settings; each problem has a stable code and a hint."""

from pathlib import Path

import yaml
from expression import Error, Ok, Result
from pydantic import ValidationError

from ._exceptions import SettingsProblem
from ._models import Settings

# Code and hint for the types of pydantic's errors; all other types mean a wrong value.
_CODES_AND_HINTS = {
    "missing": ("conf.E002", "Add the key; docs/ref/settings.md lists every key."),
    "extra_forbidden": ("conf.E003", "Remove the key or correct its spelling."),
}
_INVALID_VALUE_CODE = "conf.E004"
_INVALID_VALUE_HINT = "Correct the value; docs/ref/settings.md gives its type and range."


def load_settings(path: Path) -> Result[Settings, list[SettingsProblem]]:
    """Read and check a settings file.

    Parameters
    ----------
    path : Path
        YAML file.

    Returns
    -------
    Result
        The typed settings, or every problem found.
    """
    try:
        tree = yaml.safe_load(path.read_text(encoding="utf-8"))
    except OSError as exc:
        return Error([_unreadable(path, exc.strerror or str(exc))])
    except (yaml.YAMLError, UnicodeDecodeError) as exc:
        return Error([_unreadable(path, " ".join(str(exc).split()))])
    return check_settings(tree)


def check_settings(tree: object) -> Result[Settings, list[SettingsProblem]]:
    """Check parsed settings.

    Parameters
    ----------
    tree : object
        Content of the settings file as YAML gives it.

    Returns
    -------
    Result
        The typed settings, or every problem found. Values that contradict each other
        are looked for only if each value is valid.
    """
    try:
        settings = Settings.model_validate(tree)
    except ValidationError as exc:
        return Error([_from_pydantic(error) for error in exc.errors()])
    problems = [*_check_timing(settings), *_check_addresses(settings)]
    problems += [*_check_operators(settings), *_check_limits(settings)]
    return Error(problems) if problems else Ok(settings)


def _unreadable(path: Path, reason: str) -> SettingsProblem:
    return SettingsProblem(
        "conf.E001", str(path), f"Cannot read settings: {reason}.", "Give a readable YAML file."
    )


def _from_pydantic(error: dict) -> SettingsProblem:
    code, hint = _CODES_AND_HINTS.get(error["type"], (_INVALID_VALUE_CODE, _INVALID_VALUE_HINT))
    path = ".".join(str(part) for part in error["loc"]) or "(top)"
    return SettingsProblem(code, path, error["msg"] + ".", hint)


def _check_timing(settings: Settings) -> list[SettingsProblem]:
    """Return the problems of durations that contradict each other."""
    timing = settings.timing
    problems = []
    if timing.presence_ttl_s < 2 * timing.probe_s:
        problems.append(
            SettingsProblem(
                "conf.E005",
                "timing.presence_ttl_s",
                "One lost probe would take a whole group out of service.",
                "Set it to at least twice timing.probe_s.",
            )
        )
    if timing.node_gone_s <= timing.peer_dead_s:
        problems.append(
            SettingsProblem(
                "conf.E006",
                "timing.node_gone_s",
                "A node would be removed before it is suspected.",
                "Set it above timing.peer_dead_s.",
            )
        )
    if settings.stop.limit_s < settings.stop.entry_ttl_s:
        problems.append(
            SettingsProblem(
                "conf.E007",
                "stop.limit_s",
                "The node would stop while callers may still hold its address.",
                "Set it to at least stop.entry_ttl_s.",
            )
        )
    return problems


def _check_limits(settings: Settings) -> list[SettingsProblem]:
    """Return a problem if the largest body leaves no room for others."""
    limits = settings.limits
    if limits.body_bytes >= 4 * limits.request_bytes:
        return []
    return [
        SettingsProblem(
            "conf.E010",
            "limits.body_bytes",
            "Large request bodies would keep all others waiting.",
            "Set it to at least four times limits.request_bytes; a quarter of the memory is usual.",
        )
    ]


def _check_addresses(settings: Settings) -> list[SettingsProblem]:
    """Return a problem if two listeners would bind the same address."""
    listen = settings.listen
    if len({listen.callers, listen.operators, listen.peers}) == 3:
        return []
    return [
        SettingsProblem(
            "conf.E008",
            "listen",
            "Two listeners share one address.",
            "Give callers, operators and peers an address each.",
        )
    ]


def _check_operators(settings: Settings) -> list[SettingsProblem]:
    """Return a problem for each operator name that is used twice."""
    names = [operator.name for operator in settings.operators]
    duplicates = sorted({name for name in names if names.count(name) > 1})
    return [
        SettingsProblem(
            "conf.E009",
            "operators",
            f"Operator {name} is listed more than once.",
            "Keep one entry for each operator.",
        )
        for name in duplicates
    ]
