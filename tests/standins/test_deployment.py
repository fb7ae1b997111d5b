"""Checks of the stand-ins themselves."""

from .deployment import free_ports

EPHEMERAL_FROM = 32_768


def test_a_port_is_returned_once():
    """Two daemons of one deployment were given the same port, and one could not start.

    A port returned by one call was free again until its daemon bound it, and a later
    call could return it as well.
    """
    ports = [port for _ in range(100) for port in free_ports(20)]
    assert len(set(ports)) == len(ports)


def test_ports_are_not_those_of_outgoing_connections():
    assert max(free_ports(50)) < EPHEMERAL_FROM
