"""The status that an engine reports: numbers that other nodes cannot be told are an error."""

import json

import pytest

from briarpond.ports import decode_status


def status(load=None, **changes):
    report = {"instance": "i", "incarnation": "i#1", "state": "ready", "load": load or {}}
    return json.dumps(report | changes).encode()


def test_status_is_decoded():
    assert decode_status(status({"running": 3})).ok.load.running == 3


# Guards against one engine's number that no digest can carry: the other nodes heard nothing more of
# the node that had probed it.
@pytest.mark.parametrize(
    "body",
    [
        status({"running": 2**31}),
        status({"queued": 2**40}),
        status({"running": -1}),
        status(generation=2**63),
        status(in_flight=10**30),
    ],
)
def test_number_out_of_range_is_an_error(body):
    assert decode_status(body).is_error()
