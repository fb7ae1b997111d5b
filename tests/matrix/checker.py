"""Checks the guarantees of the system on the recorded history of a run.

The checker uses the events of the fakes and the state recorded from the nodes. It shares no
code with the system under test, so that a fault in that code cannot hide a violation.
"""

from collections import Counter, defaultdict

from .world import MAX_DELAY_S, Event

# Longest time from when the instance list shows an instance as leaving to its last new work.
WORK_AFTER_LEAVING_LIMIT_S = 4.0
# Before a dispatch the node gets a status answer from each member. A member can still be lost
# between its answer and the start of the request. This window covers the transit of the status
# answer and of the request, each at most MAX_DELAY_S, the connect for the dispatch, and the
# wait for the status answer of a slower member.
CONFIRM_WINDOW_S = 8 * MAX_DELAY_S
# Longest time from the first node that has a configuration version in force to the last one.
CONFIG_IN_FORCE_LIMIT_S = 6.0
NON_IDEMPOTENT_KINDS = ("order", "keyed", "keyed-twice", "service")


def find_violations(
    history: list[Event], losses: dict[str, list[tuple[float, float]]]
) -> list[str]:
    """Return a message for each violation of a guarantee.

    Parameters
    ----------
    history : list of Event
        All events of a run, in order of time.
    losses : dict
        By instance, the times (start, end) in which it was lost, in virtual seconds.
    """
    found = []
    found += _repeated_runs(history)
    found += _false_not_run_answers(history)
    found += _wrong_answer_bodies(history)
    found += _instances_in_several_groups(history)
    found += _starts_in_incomplete_groups(history, losses)
    found += _configuration_reversions(history)
    found += _work_for_leaving_instances(history)
    return found


def _non_idempotent(request: str) -> bool:
    """Return whether a request must not run twice; its id begins with its kind."""
    return request.rpartition("-")[0] in NON_IDEMPOTENT_KINDS


def _repeated_runs(history) -> list[str]:
    runs = Counter(
        event.fields["request"]
        for event in history
        if event.kind == "request_started" and _non_idempotent(event.fields["request"])
    )
    return [f"{request} ran {count} times" for request, count in runs.items() if count > 1]


def _false_not_run_answers(history) -> list[str]:
    """Find requests that were answered "not-run" although they ran.

    A request without an idempotency key must not run later either. With a key it may: the
    same key can be sent again, or at another node.
    """
    ran_at = defaultdict(list)
    for event in history:
        if event.kind == "request_started":
            ran_at[event.fields["request"]].append(event.time_s)
    found = []
    for event in history:
        if event.kind != "request_answered" or event.fields["outcome"] != "not-run":
            continue
        request = event.fields["request"]
        times = ran_at[request]
        if event.fields["kind"].startswith("keyed"):
            times = [at for at in times if at <= event.time_s]
        if times:
            found.append(f"{request} was answered not-run at {event.time_s:.3f} but ran at {times}")
    return found


def _wrong_answer_bodies(history) -> list[str]:
    found = []
    for event in history:
        if event.kind != "request_answered" or event.fields["status"] != 200:
            continue
        request, kind, body = (event.fields[name] for name in ("request", "kind", "answer_body"))
        tokens = [f"{request}.{index} " for index in range(12)]
        if kind == "stream":
            whole = "".join(f"data: {token}\n\n" for token in tokens) + "data: [DONE]\n\n"
            valid_error = '"outcome":"unknown"' in body and "[DONE]" not in body
            chunks = body.split("\n\n")[:-1]
            own_tokens = all(f" {request}." in chunk for chunk in chunks[:-1])
            if body != whole and not (valid_error and own_tokens):
                found.append(f"{request} was answered with {body!r}")
        elif kind == "service":
            if body != f"done {request}":
                found.append(f"{request} was answered with {body!r}")
        elif body != "".join(tokens):
            found.append(f"{request} was answered with {body!r}")
    return found


def _instances_in_several_groups(history) -> list[str]:
    found = []
    for event in history:
        if event.kind == "node_state":
            members = Counter(
                instance for group in event.fields["groups"].values() for instance in group
            )
            found += [
                f"{instance} in {count} groups on {event.fields['node']} at {event.time_s}"
                for instance, count in members.items()
                if count > 1
            ]
    return found


def _starts_in_incomplete_groups(history, losses) -> list[str]:
    """Find non-idempotent requests that started in an incomplete group.

    One is allowed within `CONFIRM_WINDOW_S` after the loss of a member of that same group.
    """
    found = []
    for event in history:
        if event.kind != "request_started" or event.fields["group_complete"]:
            continue
        if not _non_idempotent(event.fields["request"]):
            continue
        lost_at = [
            start
            for member in event.fields["members"]
            for start, _ in losses.get(member, ())
            if start <= event.time_s
        ]
        if not lost_at or event.time_s - max(lost_at) > CONFIRM_WINDOW_S:
            found.append(f"{event.fields['request']} started in an incomplete group")
    return found


def _configuration_reversions(history) -> list[str]:
    found = []
    versions: dict[tuple, int] = {}
    documents: dict[int, str] = {}
    for event in history:
        if event.kind != "node_state":
            continue
        version, document = event.fields["version"], event.fields["document"]
        process = (event.fields["node"], event.fields["process_number"])
        if version < versions.get(process, 0):
            found.append(f"{process} went from version {versions[process]} to {version}")
        versions[process] = version
        if documents.setdefault(version, document) != document:
            found.append(f"the document of version {version} differs on {process}")
    return found


def _work_for_leaving_instances(history) -> list[str]:
    listed_at = {
        event.fields["instance"]: event.time_s
        for event in history
        if event.kind == "listed_as_leaving"
    }
    return [
        f"{event.fields['instance']} started {event.fields['request']} while leaving"
        for event in history
        if event.kind == "request_started"
        and event.time_s - listed_at.get(event.fields["instance"], event.time_s)
        > WORK_AFTER_LEAVING_LIMIT_S
    ]


def find_unanswered(history: list[Event], crashed: set[tuple[str, int]]) -> list[str]:
    """Return a message for each request that was not answered.

    Requests of callers that disconnected are left out, and so are those at `crashed`, the
    processes (node and process number) that crashed.
    """
    answered = {
        (event.fields["request"], event.fields["node"])
        for event in history
        if event.kind in ("request_answered", "caller_disconnected")
    }
    return [
        f"{event.fields['request']} at {event.fields['node']} was not answered"
        for event in history
        if event.kind == "request_sent"
        and (event.fields["request"], event.fields["node"]) not in answered
        and (event.fields["node"], event.fields["process_number"]) not in crashed
    ]
