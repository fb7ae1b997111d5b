"""Orders to servers and the report that they give of themselves."""

from collections.abc import Sequence
from typing import Any

import msgspec
from expression import Error, Ok, Result

from briarpond.fleet import Membership
from briarpond.ids import GroupId, InstanceId
from briarpond.routes import ModelName

from ._instances import GroupRow, ModelRow, membership_of

ORDER_TARGET = "/order"
REPORT_TARGET = "/report"


class Report(msgspec.Struct, frozen=True):
    """What a server said of itself a moment ago.

    Attributes
    ----------
    busy : bool
        Whether an order is being carried out.
    pace : float
        Factor on the server's times; above 1 it is slow.
    """

    born_ms: int
    busy: bool
    running: int
    waiting: int
    pace: float
    model: ModelName | None
    staged: tuple[ModelName, ...]
    membership: Membership | None


class _Report(msgspec.Struct):
    born: int = 0
    busy: bool = False
    running: int = 0
    waiting: int = 0
    pace: float = 1.0
    models: list[ModelRow] | None = None
    staged: list[str] | None = None
    group: GroupRow | None = None


_decoder: Any = msgspec.json.Decoder(_Report)


def decode_report(body: bytes) -> Result[Report, str]:
    """Translate a server's report; the error says what cannot be read."""
    try:
        report = _decoder.decode(body)
    except msgspec.MsgspecError as exc:
        return Error(str(exc))
    return Ok(
        Report(
            report.born,
            report.busy,
            report.running,
            report.waiting,
            report.pace,
            ModelName(report.models[0].name) if report.models else None,
            tuple(ModelName(name) for name in report.staged or ()),
            membership_of(report.group),
        )
    )


def encode_join(
    group: GroupId, epoch: int, model: ModelName, members: Sequence[InstanceId]
) -> bytes:
    """Order a server to become a member of a group; the first member is the head."""
    return msgspec.json.encode(
        {"op": "join", "group": group, "epoch": epoch, "model": model, "members": list(members)}
    )


def encode_open(group: GroupId, epoch: int) -> bytes:
    """Order the head of a ready group to serve."""
    return msgspec.json.encode({"op": "open", "group": group, "epoch": epoch})


def encode_close(group: GroupId, epoch: int, wait: bool) -> bytes:
    """Order the head to stop serving, after its running requests or at once."""
    mode = "wait" if wait else "cut"
    return msgspec.json.encode({"op": "close", "group": group, "epoch": epoch, "closeMode": mode})


def encode_leave(group: GroupId, epoch: int) -> bytes:
    """Order a server to end its membership."""
    return msgspec.json.encode({"op": "leave", "group": group, "epoch": epoch})


def encode_stage(model: ModelName) -> bytes:
    """Order a server to load a model's weights onto its host."""
    return msgspec.json.encode({"op": "phase", "model": model})
