"""Crowds of callers that don't keep to the limits, against a real node with little memory.

Each test checks what doesn't depend on the speed of the machine. The crowds and the bounds were
fixed before the node had any defence against them.
"""

import asyncio
import itertools

import pytest

from .real_node import run_with
from .untrusted_callers import MAX_BODY_BYTES, MEMORY_MB, Crowd, CrowdedNode, alone, announced
from .untrusted_callers import chunked as chunked_request

pytestmark = pytest.mark.xdist_group("crowd")
SEEDS = itertools.count(1)
# Callers with large bodies: a quarter more than what would fill the machine's memory alone.
CROWD = MEMORY_MB * 1024 * 1024 // MAX_BODY_BYTES * 5 // 4
PIECE_BYTES = 16 * 1024
LARGE_CHUNK_BYTES = 64 * 1024
# Callers with one-byte chunks, and the chunks of each.
CHUNK_CROWD = 60
SMALL_CHUNKS = 50_000
FAR_OVER_LIMIT_BYTES = 4 * MAX_BODY_BYTES


def run_with_node(tmp_path, scenario):
    """Run `scenario` with a started node, and no other crowd meanwhile."""
    with alone():
        return run_with(CrowdedNode(next(SEEDS), tmp_path, 1), scenario)


def check_crowd(tmp_path, size, data, piece_bytes):
    """Let a crowd send, and check the node while the crowd's connections stay open."""

    async def scenario(node):
        crowd = Crowd(node.address, size, data, piece_bytes)
        try:
            await asyncio.to_thread(crowd.send)
            node.check_memory()
            answer = await node.ask(b"x" * 1000)
            assert answer.startswith(b"HTTP/1.1 200 ") and answer.endswith(b"1000 bytes")
            await node.wait_for_release()
            node.check_memory()
        finally:
            crowd.close()

    run_with_node(tmp_path, scenario)


# Guards against callers whose bodies of legal size stop just short of their end and fill the
# memory of the process.
def test_whole_bodies_that_stop_short_of_their_end(tmp_path):
    data = announced(MAX_BODY_BYTES, MAX_BODY_BYTES - 1)
    check_crowd(tmp_path, CROWD, data, len(data))


# Guards against the same where the bodies grow together, so that none of them is early.
def test_bodies_in_pieces_that_stop_short_of_their_end(tmp_path):
    data = announced(MAX_BODY_BYTES, MAX_BODY_BYTES - 1)
    check_crowd(tmp_path, CROWD, data, PIECE_BYTES)


# Guards against the same with bodies whose length is not announced.
def test_large_chunks_that_stop_short_of_the_last(tmp_path):
    data = chunked_request(MAX_BODY_BYTES, LARGE_CHUNK_BYTES)
    check_crowd(tmp_path, CROWD, data, len(data))


# Guards against chunks of one byte, whose parsing keeps the loop from all other requests, and
# against connections that stay open in the middle of such a body for ever.
def test_one_byte_chunks_that_stop_short_of_the_last(tmp_path):
    data = chunked_request(SMALL_CHUNKS, 1)
    check_crowd(tmp_path, CHUNK_CROWD, data, len(data))


# Guards against bodies that are taken up though their announced length is over the limit.
def test_bodies_far_over_the_limit_that_are_announced(tmp_path):
    data = announced(FAR_OVER_LIMIT_BYTES, FAR_OVER_LIMIT_BYTES)
    check_crowd(tmp_path, CROWD, data, len(data))


# Guards against refused bodies that stay in memory until their connections are closed.
def test_chunked_bodies_far_over_the_limit(tmp_path):
    data = chunked_request(FAR_OVER_LIMIT_BYTES, LARGE_CHUNK_BYTES)
    check_crowd(tmp_path, CROWD, data, len(data))


# Guards against bodies of answered requests that stay in memory until cyclic garbage is collected:
# that counts objects, of which these have few.
def test_whole_bodies_that_are_answered(tmp_path):
    data = announced(MAX_BODY_BYTES, MAX_BODY_BYTES)
    check_crowd(tmp_path, CROWD, data, len(data))


# Guards against a defence that refuses a single request of the largest size.
def test_one_body_of_the_largest_size_is_served(tmp_path):
    async def scenario(node):
        answer = await node.ask(bytes(MAX_BODY_BYTES))
        assert answer.startswith(b"HTTP/1.1 200 "), answer[:100]
        assert answer.endswith(b"%d bytes" % MAX_BODY_BYTES)

    run_with_node(tmp_path, scenario)
