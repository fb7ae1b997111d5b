"""Log lines never block, and what is dropped is counted."""

import logging
import os

from briarpond.logs import LineSink, format_event


def record(text="event=x", created=5.0, level=logging.INFO):
    made = logging.LogRecord("absl", level, "f", 1, text, (), None)
    made.created = created
    return made


def test_output_that_nobody_reads_does_not_block():
    read_end, write_end = os.pipe()
    sink = LineSink(write_end)
    for second in range(30):
        for _ in range(900):
            sink.emit(record("event=x value=" + "y" * 200, created=float(second)))
        sink.write_some()
    assert sink.dropped > 0
    os.close(read_end)
    sink.write_some()
    os.close(write_end)


def test_volume_a_second_is_bounded_but_for_warnings():
    read_end, write_end = os.pipe()
    sink = LineSink(write_end)
    for _ in range(1500):
        sink.emit(record())
    assert sink.dropped == 500
    sink.emit(record("event=bad", level=logging.WARNING))
    assert sink.dropped == 500
    os.close(read_end)
    os.close(write_end)


def test_lines_are_key_value_pairs_with_a_time():
    read_end, write_end = os.pipe()
    sink = LineSink(write_end)
    sink.emit(record(format_event("request", {"id": "a b", "ms": 3})))
    sink.write_some()
    assert os.read(read_end, 200) == b'ts=5.000 level=info event=request id="a b" ms=3\n'
    os.close(read_end)
    os.close(write_end)
