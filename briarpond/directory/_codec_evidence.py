"""Thrift codec of the evidence about prompt parts that end servers."""

from briarpond.ids import InstanceId, PromptPart
from briarpond.quarantine import (
    MAX_REQUESTS_PER_CRASH,
    CrashKey,
    CrashReport,
    Evidence,
    QuarantineStatus,
    Survival,
)

from ._codec_ages import age_from_ms, age_to_ms
from .gen.exchange import ttypes


def evidence_to_wire(evidence: Evidence | None) -> ttypes.Evidence | None:
    """Return the Thrift struct of the evidence; None for none."""
    if evidence is None:
        return None
    return ttypes.Evidence(
        [_crash_to_wire(each) for each in evidence.crashes],
        [ttypes.SurvivalRow(each.part, age_to_ms(each.age_s)) for each in evidence.survivals],
        [
            ttypes.QuarantineRow(each.part, each.level, age_to_ms(each.age_s))
            for each in evidence.quarantines
        ],
    )


def evidence_from_wire(wire: ttypes.Evidence | None) -> Evidence | None:
    """Read what `evidence_to_wire` returned.

    Raises
    ------
    ValueError
        If a value is outside of its range.
    """
    if wire is None:
        return None
    return Evidence(
        tuple(_crash_from_wire(each) for each in wire.crashes),
        tuple(Survival(PromptPart(row.part), age_from_ms(row.age_ms)) for row in wire.survivals),
        tuple(_status_from_wire(each) for each in wire.quarantines),
    )


def _crash_to_wire(crash: CrashReport) -> ttypes.CrashRow:
    requests = [ttypes.PromptRow(list(parts)) for parts in crash.requests]
    return ttypes.CrashRow(crash.key.server, crash.key.epoch, age_to_ms(crash.age_s), requests)


def _crash_from_wire(wire: ttypes.CrashRow) -> CrashReport:
    requests = tuple(
        tuple(PromptPart(part) for part in row.parts)
        for row in wire.requests[:MAX_REQUESTS_PER_CRASH]
    )
    key = CrashKey(InstanceId(wire.server), wire.epoch)
    return CrashReport(key, age_from_ms(wire.age_ms), requests)


def _status_from_wire(wire: ttypes.QuarantineRow) -> QuarantineStatus:
    if wire.level < 0:
        raise ValueError(f"negative level {wire.level}")
    return QuarantineStatus(PromptPart(wire.part), wire.level, age_from_ms(wire.age_ms))
