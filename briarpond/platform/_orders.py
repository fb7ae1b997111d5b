"""Orders to instances, and the status reports that instances answer with.

The epoch in an order is the fencing token of the group: an instance refuses to join a
group with an epoch lower than it has seen, and refuses other orders unless group and
epoch are those of its membership.
"""

from collections.abc import Sequence
from typing import Any

import msgspec
from expression import Ok, Result

from briarpond.decoding import decode_json
from briarpond.fleet import Membership
from briarpond.ids import GroupId, InstanceId
from briarpond.routes import ModelName

from ._instances import GroupReport, LoadedModel, to_membership

ORDER_PATH = "/order"
REPORT_PATH = "/report"


class InstanceReport(msgspec.Struct, frozen=True):
    """Status of an instance, as it answers to a probe.

    Attributes
    ----------
    started_at_ms : int
        Start of the process, in Unix milliseconds.
    executing_order : bool
        Whether the instance is still carrying out an order.
    running, waiting : int
        Requests that the instance runs and that it has queued.
    pace : float
        Factor on the normal processing times of the instance; above 1 it is slow.
    model : ModelName or None
        Model that is loaded.
    staged_models : tuple of ModelName
        Models whose weights are stored on the host.
    membership : Membership or None
        Group that the instance belongs to.
    """

    started_at_ms: int
    executing_order: bool
    running: int
    waiting: int
    pace: float
    model: ModelName | None
    staged_models: tuple[ModelName, ...]
    membership: Membership | None


class _Report(msgspec.Struct):
    born: int = 0
    busy: bool = False
    running: int = 0
    waiting: int = 0
    pace: float = 1.0
    models: list[LoadedModel] | None = None
    staged: list[str] | None = None
    group: GroupReport | None = None


_decoder: Any = msgspec.json.Decoder(_Report)


def decode_report(body: bytes) -> Result[InstanceReport, str]:
    """Decode a status report; the error names the field that cannot be read."""
    decoded = decode_json(_decoder, body)
    if decoded.is_error():
        return decoded
    report: _Report = decoded.ok
    return Ok(
        InstanceReport(
            report.born,
            report.busy,
            report.running,
            report.waiting,
            report.pace,
            ModelName(report.models[0].name) if report.models else None,
            tuple(ModelName(name) for name in report.staged or ()),
            to_membership(report.group),
        )
    )


def encode_join(
    group: GroupId, epoch: int, model: ModelName, members: Sequence[InstanceId]
) -> bytes:
    """Encode the order to become a member of a group.

    Parameters
    ----------
    group, epoch : GroupId, int
        The group and its fencing token.
    model : ModelName
        Model to load.
    members : sequence of InstanceId
        All members in rank order; the first is the head.
    """
    return msgspec.json.encode(
        {"op": "join", "group": group, "epoch": epoch, "model": model, "members": list(members)}
    )


def encode_open(group: GroupId, epoch: int) -> bytes:
    """Encode the order to the head of a ready group to accept requests."""
    return msgspec.json.encode({"op": "open", "group": group, "epoch": epoch})


def encode_close(group: GroupId, epoch: int, finish_running: bool) -> bytes:
    """Encode the order to the head of a group to stop accepting requests.

    Parameters
    ----------
    group, epoch : GroupId, int
        The group and its fencing token.
    finish_running : bool
        Whether running requests may finish; otherwise they are cut off at once.
    """
    mode = "wait" if finish_running else "cut"
    return msgspec.json.encode({"op": "close", "group": group, "epoch": epoch, "closeMode": mode})


def encode_leave(group: GroupId, epoch: int) -> bytes:
    """Encode the order to a member to leave its group."""
    return msgspec.json.encode({"op": "leave", "group": group, "epoch": epoch})


def encode_stage(model: ModelName) -> bytes:
    """Encode the order to stage a model: to load its weights onto the host.

    The platform's name for this operation is ``phase``.
    """
    return msgspec.json.encode({"op": "phase", "model": model})
