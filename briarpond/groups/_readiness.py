"""Checks whether a group may serve, by the status reports of its members."""

from collections.abc import Iterable

from briarpond.journal import Group, GroupPhase, Member
from briarpond.ports import EngineState, StatusReport

from ._models import Readiness, ReadinessCode
from ._presence import PresenceTable


def group_readiness(group: Group, table: PresenceTable, now: float, ttl_s: float) -> Readiness:
    """Return the readiness of a group by reports that are no older than `ttl_s` seconds."""
    if group.phase is not GroupPhase.FORMED:
        return Readiness(ReadinessCode.RETIRING)
    for member in group.members:
        report = table.recent_report(member.instance, now, ttl_s)
        code = _member_readiness(group, member, report)
        if code is not ReadinessCode.READY:
            return Readiness(code, member.instance)
    return Readiness(ReadinessCode.READY)


def readiness_from_reports(group: Group, reports: Iterable[StatusReport]) -> Readiness:
    """Return the readiness of a group by reports of probes sent for one request.

    The caller must have sent the probes after the request arrived. A member without a
    report counts as absent.
    """
    by_instance = {report.instance: report for report in reports}
    for member in group.members:
        code = _member_readiness(group, member, by_instance.get(member.instance))
        if code is not ReadinessCode.READY:
            return Readiness(code, member.instance)
    return Readiness(ReadinessCode.READY)


def _member_readiness(group: Group, member: Member, report: StatusReport | None) -> ReadinessCode:
    """Return why a member's report prevents its group from serving, or READY."""
    if report is None:
        return ReadinessCode.ABSENT
    if report.incarnation != member.incarnation:
        return ReadinessCode.RESTARTED
    if report.generation != group.generation or report.group != group.id:
        return ReadinessCode.OTHER_GENERATION
    if report.spec != group.spec:
        return ReadinessCode.OTHER_LOAD
    if report.state is not EngineState.READY:
        return ReadinessCode.LOADING
    return ReadinessCode.READY
