"""Tests of the ports that a test deployment uses."""

from .deployment import free_ports

FIRST_EPHEMERAL_PORT = 32_768  # default of Linux (ip_local_port_range)


def test_a_port_is_returned_once():
    """Guard against two nodes with the same port, of which one could not start.

    A port stays free until its node binds it, so a later call could return it as well.
    """
    ports = [port for _ in range(100) for port in free_ports(20)]
    assert len(set(ports)) == len(ports)


def test_ports_are_below_the_ephemeral_range():
    assert max(free_ports(50)) < FIRST_EPHEMERAL_PORT
