"""Lists the prompt parts in quarantine for operators, and lifts quarantines, over HTTP."""

import msgspec

from briarpond.ids import PromptPart
from briarpond.net import HttpReply, HttpRequest
from briarpond.platform import parse_prompt_part
from briarpond.quarantine import Quarantine, quarantine_s

QUARANTINE_PATH = "/quarantine"
_JSON = (("Content-Type", "application/json"),)


class ListedPart(msgspec.Struct, frozen=True):
    """A part in quarantine, as operators see it.

    Attributes
    ----------
    part : PromptPart
        The part.
    level : int
        How often the shortest time of a quarantine was doubled; each failed trial adds one.
    age_s : float
        Seconds since the last crash that is blamed on it.
    trial_in_s : float
        Seconds until a request with it may be tried; 0 if it may be now.
    """

    part: PromptPart
    level: int
    age_s: float
    trial_in_s: float


def answer_quarantine(
    quarantine: Quarantine, request: HttpRequest, reply: HttpReply, now: float
) -> None:
    """Answer ``GET /quarantine`` or ``DELETE /quarantine/PART``.

    Parameters
    ----------
    quarantine : Quarantine
        Quarantine of this node. What is lifted here is soon lifted at all nodes.
    request : HttpRequest
        The operator's request.
    reply : HttpReply
        Receives the answer: 200, or 404 for another path or a part that is not in quarantine.
    now : float
        Present time.
    """
    path, _, part = request.target.removeprefix(QUARANTINE_PATH).partition("/")
    if path == "" and request.method == "GET" and not part:
        reply.send_whole(200, _JSON, msgspec.json.encode({"parts": _listed_parts(quarantine, now)}))
    elif path == "" and request.method == "DELETE" and _lift(quarantine, part, now):
        reply.send_whole(200, _JSON, msgspec.json.encode({"lifted": part}))
    else:
        reply.send_whole(404, _JSON, msgspec.json.encode({"error": "There is no such part."}))


def _lift(quarantine: Quarantine, name: str, now: float) -> bool:
    """Lift the quarantine of a part, named by the id that callers send or as it is listed."""
    return any(quarantine.lift(part, now) for part in (parse_prompt_part(name), PromptPart(name)))


def _listed_parts(quarantine: Quarantine, now: float) -> list[ListedPart]:
    return [
        ListedPart(
            status.part,
            status.level,
            round(status.age_s, 1),
            round(max(0.0, quarantine_s(status.level) - status.age_s), 1),
        )
        for status in quarantine.statuses(now)
    ]
