"""The commands ``briarpondctl quarantine`` against the answers of a node."""

import pytest

from briarpond.gateway._quarantine_api import answer_quarantine
from briarpond.management._exit_codes import ExitCode
from briarpond.management._quarantine import lift, list_parts

from ..net.test_http import Loop, serve
from ..quarantine.test_quarantine import Node, condemn


@pytest.fixture
def deployment():
    node, loop = Node(), Loop()
    condemn(node)
    _, port = serve(
        loop,
        lambda request, reply: answer_quarantine(node.quarantine, request, reply, node.now + 10.0),
    )
    yield node, f"127.0.0.1:{port}"
    loop.close()


def test_list_shows_the_part_and_the_time_of_its_trial(deployment, capsys):
    _, address = deployment
    assert list_parts(address) == ExitCode.OK
    assert capsys.readouterr().out == "part=bad level=3 age_s=10.0 trial_in_s=20.0\n"


def test_lift_releases_the_part(deployment, capsys):
    node, address = deployment
    assert lift("bad", address) == ExitCode.OK
    assert node.blocked("f bad r3") is None
    assert list_parts(address, json=True) == ExitCode.OK
    assert capsys.readouterr().out == "lifted=bad\n"


def test_part_that_is_not_in_quarantine_cannot_be_lifted(deployment, capsys):
    _, address = deployment
    assert lift("other/part", address) == ExitCode.REFUSED
    assert "no such part" in capsys.readouterr().err


@pytest.mark.parametrize(("node", "code"), [("nowhere", ExitCode.USAGE), ("127.0.0.1:1", 1)])
def test_node_that_cannot_be_called_is_reported(node, code, capsys):
    assert list_parts(node) == code
    assert capsys.readouterr().err
