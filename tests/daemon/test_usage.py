"""The usage part of a backend server's answer."""

import pytest

from briarpond.daemon._runner import parse_usage


def test_generated_tokens_are_read():
    assert parse_usage(b'{"usage":{"completion_tokens":7}}').completion_tokens == 7


# Guards against an answer that is never sent on because its usage part can't be read.
@pytest.mark.parametrize("body", [b"", b"{}", b"[" * 100_000, b'{"usage":' + b"[" * 100_000])
def test_answer_without_a_readable_usage_part_has_none(body):
    assert parse_usage(body) is None
