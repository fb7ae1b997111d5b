"""Calls to the operators' paths of a node."""

import http.client
from typing import Any

import msgspec
from expression import Error, Ok, Result

from briarpond.conf import Address

TIMEOUT_S = 15.0


class NodeAnswer(msgspec.Struct, frozen=True):
    """Status and JSON tree of a node's answer."""

    status: int
    tree: Any


class CallProblem(msgspec.Struct, frozen=True):
    """Why a node gave no answer."""

    message: str
    hint: str


def call_node(
    address: Address, key: str, method: str, path: str, body: object = None
) -> Result[NodeAnswer, CallProblem]:
    """Call one node as an operator."""
    conn = http.client.HTTPConnection(address.host, address.port, timeout=TIMEOUT_S)
    headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}
    data = None if body is None else msgspec.json.encode(body)
    try:
        conn.request(method, path, data, headers)
        answer = conn.getresponse()
        tree = msgspec.json.decode(answer.read())
    except OSError as exc:
        return Error(CallProblem(f"No answer from {address}: {exc}.", "Try another node."))
    except (http.client.HTTPException, msgspec.DecodeError) as exc:
        return Error(CallProblem(f"Unreadable answer: {exc}.", "Is this a node's operator port?"))
    finally:
        conn.close()
    return Ok(NodeAnswer(answer.status, tree))
