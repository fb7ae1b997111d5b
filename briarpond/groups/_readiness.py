"""When a group may serve: every member present, same incarnation, right load."""

from collections.abc import Iterable

from briarpond.journal import Group, GroupPhase, Member
from briarpond.ports import EngineState, StatusReport

from ._models import Readiness, ReadinessCode
from ._presence import PresenceTable


def group_readiness(group: Group, table: PresenceTable, now: float, ttl_s: float) -> Readiness:
    """Judge a group by reports no older than `ttl_s` seconds."""
    if group.phase is not GroupPhase.FORMED:
        return Readiness(ReadinessCode.RETIRING)
    for member in group.members:
        report = table.fresh(member.instance, now, ttl_s)
        code = _judge(group, member, report)
        if code is not ReadinessCode.READY:
            return Readiness(code, member.instance)
    return Readiness(ReadinessCode.READY)


def confirm_members(group: Group, reports: Iterable[StatusReport]) -> Readiness:
    """Judge a group by reports that were all asked for after the request came."""
    by_instance = {report.instance: report for report in reports}
    for member in group.members:
        code = _judge(group, member, by_instance.get(member.instance))
        if code is not ReadinessCode.READY:
            return Readiness(code, member.instance)
    return Readiness(ReadinessCode.READY)


def _judge(group: Group, member: Member, report: StatusReport | None) -> ReadinessCode:
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
