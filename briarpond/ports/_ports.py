"""Ports to the platform: requests to send and answers to decode.

A port turns a decision into an HTTP request and an answer into a typed value.
Replacing the functions of this module puts another platform behind the system.
"""

from typing import TypeVar

import msgspec
from expression import Error, Ok, Result

from briarpond.journal import LogEntry, Page

from ._models import AppendAnswer, FleetList, LoadOrder, OrderAnswer, StatusReport
from ._paths import ENGINE_ORDERS_PATH, ENGINE_STATUS_PATH, INSTANCES_PATH, LOG_PATH

PAGE_ENTRIES = 512

_T = TypeVar("_T")


class PortRequest(msgspec.Struct, frozen=True):
    """HTTP request to a service of the platform."""

    method: str
    target: str
    body: bytes = b""


class PortProblem(msgspec.Struct, frozen=True):
    """Why an answer of the platform could not be used."""

    message: str


class _LogPage(msgspec.Struct):
    oldest: int
    following: int
    entries: tuple[LogEntry, ...]


class _Append(msgspec.Struct):
    value: str


def append_request(value: str) -> PortRequest:
    """Ask the log to append one entry."""
    return PortRequest("POST", LOG_PATH, msgspec.json.encode(_Append(value)))


def read_request(offset: int) -> PortRequest:
    """Ask the log for entries from `offset`, or from its oldest if that is later."""
    return PortRequest("GET", f"{LOG_PATH}?from={offset}&limit={PAGE_ENTRIES}")


def fleet_request() -> PortRequest:
    """Ask for the list of instances."""
    return PortRequest("GET", INSTANCES_PATH)


def status_request() -> PortRequest:
    """Ask an engine for its status."""
    return PortRequest("GET", ENGINE_STATUS_PATH)


def order_request(order: LoadOrder) -> PortRequest:
    """Give an engine an order."""
    return PortRequest("POST", ENGINE_ORDERS_PATH, msgspec.json.encode(order))


def decode_append(body: bytes) -> Result[AppendAnswer, PortProblem]:
    """Decode the answer to an append."""
    return _decode(body, AppendAnswer)


def decode_page(body: bytes) -> Result[Page, PortProblem]:
    """Decode a page of the log."""
    return _decode(body, _LogPage).map(lambda page: Page(page.oldest, page.following, page.entries))


def decode_fleet(body: bytes) -> Result[FleetList, PortProblem]:
    """Decode the list of instances."""
    return _decode(body, FleetList)


def decode_status(body: bytes) -> Result[StatusReport, PortProblem]:
    """Decode an engine's status."""
    return _decode(body, StatusReport)


def decode_order_answer(body: bytes) -> Result[OrderAnswer, PortProblem]:
    """Decode an engine's answer to an order."""
    return _decode(body, OrderAnswer)


def _decode(body: bytes, kind: type[_T]) -> Result[_T, PortProblem]:
    try:
        return Ok(msgspec.json.decode(body, type=kind))
    except (msgspec.MsgspecError, RecursionError) as exc:
        return Error(PortProblem(str(exc)))
