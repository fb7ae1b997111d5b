"""The log handler does not block, limits its volume and counts dropped lines."""

import logging
import os

from briarpond.logs import NonBlockingLogHandler, format_event


def make_record(text="event=x", created=5.0, level=logging.INFO):
    log_record = logging.LogRecord("absl", level, "f", 1, text, (), None)
    log_record.created = created
    return log_record


def test_unread_output_does_not_block():
    read_end, write_end = os.pipe()
    handler = NonBlockingLogHandler(write_end)
    for second in range(30):
        for _ in range(900):
            handler.emit(make_record("event=x value=" + "y" * 200, created=float(second)))
        handler.write_pending()
    assert handler.dropped > 0
    os.close(read_end)
    handler.write_pending()
    os.close(write_end)


def test_lines_per_second_are_limited_except_warnings():
    read_end, write_end = os.pipe()
    handler = NonBlockingLogHandler(write_end)
    for _ in range(1500):
        handler.emit(make_record())
    assert handler.dropped == 500
    handler.emit(make_record("event=bad", level=logging.WARNING))
    assert handler.dropped == 500
    os.close(read_end)
    os.close(write_end)


def test_line_has_timestamp_and_key_value_pairs():
    read_end, write_end = os.pipe()
    handler = NonBlockingLogHandler(write_end)
    handler.emit(make_record(format_event("request", {"id": "a b", "ms": 3})))
    handler.write_pending()
    assert os.read(read_end, 200) == b'ts=5.000 level=info event=request id="a b" ms=3\n'
    os.close(read_end)
    os.close(write_end)
