"""Invariants over a history: who ran what, when, and who was told what.

Knows the promises of the system and nothing of the code under test.
"""

from collections import Counter, defaultdict

from .world import MAX_DELAY_S, Event

# From the list showing an instance as leaving to the last new work there.
LEAVING_S = 4.0
# A member can be lost after its own word that it is present has left it: the way
# of that word back and the way of the request out, each at most MAX_DELAY_S, the
# connect of the dispatch, and the next status answer of a slower member.
CONFIRM_WINDOW_S = 8 * MAX_DELAY_S
CONFIG_IN_FORCE_S = 6.0
NON_IDEMPOTENT = ("order", "keyed", "keyed-twice", "service")


def violations(history: list[Event], losses: dict[str, list[tuple[float, float]]]) -> list[str]:
    """Return every broken promise.

    Parameters
    ----------
    history : list of Event
        What happened, in order.
    losses : dict
        Instance to the spans of time in which it was lost.
    """
    found = []
    found += _runs_once(history)
    found += _true_not_run(history)
    found += _own_whole_answers(history)
    found += _one_group_each(history)
    found += _whole_groups(history, losses)
    found += _config_never_reverts(history)
    found += _leaving_gets_no_work(history)
    return found


def _non_idempotent(request: str) -> bool:
    return request.rpartition("-")[0] in NON_IDEMPOTENT


def _runs_once(history) -> list[str]:
    runs = Counter(
        event.fields["request"]
        for event in history
        if event.kind == "run" and _non_idempotent(event.fields["request"])
    )
    return [f"{request} ran {count} times" for request, count in runs.items() if count > 1]


def _true_not_run(history) -> list[str]:
    """Told not run, it was not run: not before, and without a key not later either."""
    ran_at = defaultdict(list)
    for event in history:
        if event.kind == "run":
            ran_at[event.fields["request"]].append(event.at)
    found = []
    for event in history:
        if event.kind != "told" or event.fields["outcome"] != "not-run":
            continue
        request = event.fields["request"]
        times = ran_at[request]
        if event.fields["kind"].startswith("keyed"):
            times = [at for at in times if at <= event.at]
        if times:
            found.append(f"{request} told not-run at {event.at:.3f} but ran at {times}")
    return found


def _own_whole_answers(history) -> list[str]:
    found = []
    for event in history:
        if event.kind != "told" or event.fields["status"] != 200:
            continue
        request, kind, data = (event.fields[name] for name in ("request", "kind", "data"))
        words = [f"{request}.{index} " for index in range(12)]
        if kind == "stream":
            whole = "".join(f"data: {word}\n\n" for word in words) + "data: [DONE]\n\n"
            true_error = '"outcome":"unknown"' in data and "[DONE]" not in data
            pieces = data.split("\n\n")[:-1]
            mine = all(f" {request}." in piece for piece in pieces[:-1])
            if data != whole and not (true_error and mine):
                found.append(f"{request} got {data!r}")
        elif kind == "service":
            if data != f"done {request}":
                found.append(f"{request} got {data!r}")
        elif data != "".join(words):
            found.append(f"{request} got {data!r}")
    return found


def _one_group_each(history) -> list[str]:
    found = []
    for event in history:
        if event.kind == "view":
            members = Counter(
                instance for group in event.fields["groups"].values() for instance in group
            )
            found += [
                f"{instance} in {count} groups on {event.fields['node']} at {event.at}"
                for instance, count in members.items()
                if count > 1
            ]
    return found


def _whole_groups(history, losses) -> list[str]:
    """A non-idempotent request begins only in a whole group, but for the stated window.

    Only the loss of a member of that very group opens the window.
    """
    found = []
    for event in history:
        if event.kind != "run" or event.fields["whole"]:
            continue
        if not _non_idempotent(event.fields["request"]):
            continue
        began = [
            start
            for member in event.fields["members"]
            for start, _ in losses.get(member, ())
            if start <= event.at
        ]
        if not began or event.at - max(began) > CONFIRM_WINDOW_S:
            found.append(f"{event.fields['request']} began in a group that was not whole")
    return found


def _config_never_reverts(history) -> list[str]:
    found = []
    versions: dict[tuple, int] = {}
    documents: dict[int, str] = {}
    for event in history:
        if event.kind != "view":
            continue
        version, document = event.fields["version"], event.fields["document"]
        key = (event.fields["node"], event.fields["epoch"])
        if version < versions.get(key, 0):
            found.append(f"{key} went from version {versions[key]} to {version}")
        versions[key] = version
        if documents.setdefault(version, document) != document:
            found.append(f"version {version} differs on {key}")
    return found


def _leaving_gets_no_work(history) -> list[str]:
    shown = {
        event.fields["instance"]: event.at
        for event in history
        if event.kind == "list_shows_leaving"
    }
    return [
        f"{event.fields['instance']} got {event.fields['request']} while leaving"
        for event in history
        if event.kind == "run"
        and event.at - shown.get(event.fields["instance"], event.at) > LEAVING_S
    ]


def unanswered(history: list[Event], excused: set[tuple[str, int]]) -> list[str]:
    """Return requests that never got any word, but for processes that died."""
    told = {
        (event.fields["request"], event.fields["node"])
        for event in history
        if event.kind in ("told", "left")
    }
    return [
        f"{event.fields['request']} at {event.fields['node']} got no word"
        for event in history
        if event.kind == "asked"
        and (event.fields["request"], event.fields["node"]) not in told
        and (event.fields["node"], event.fields["epoch"]) not in excused
    ]
