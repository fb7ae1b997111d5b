"""HTTP client for the operators' interface of a node."""

import http.client
from typing import Any

import msgspec
from expression import Error, Ok, Result

from briarpond.conf import Address

# Longest wait for the connection and for each read of the answer.
TIMEOUT_S = 15.0


class NodeAnswer(msgspec.Struct, frozen=True):
    """Answer of a node.

    Attributes
    ----------
    status : int
        HTTP status.
    tree : object
        Decoded JSON body.
    """

    status: int
    tree: Any


class CallProblem(msgspec.Struct, frozen=True):
    """Why there is no usable answer.

    Attributes
    ----------
    message : str
        What failed, for the operator.
    hint : str
        What the operator can try.
    """

    message: str
    hint: str


def call_node(
    address: Address, key: str, method: str, path: str, body: object = None
) -> Result[NodeAnswer, CallProblem]:
    """Send one request to a node.

    Parameters
    ----------
    address : Address
        Operators' address of the node.
    key : str
        Operator key.
    method, path : str
        HTTP method and path.
    body : object
        Body to send as JSON; None for a request without a body.

    Returns
    -------
    Result
        The answer, whatever its status, or why there is none.
    """
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
        return Error(
            CallProblem(
                f"The answer of {address} cannot be read: {exc}.",
                "Check that --node is the operators' address of a node.",
            )
        )
    finally:
        conn.close()
    return Ok(NodeAnswer(answer.status, tree))
