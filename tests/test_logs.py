"""Log output is bounded: a reader that stops reading loses lines but does not block the daemon."""

import logging
import os

from ferrydock.logs import BoundedHandler, format_event, log_event, parse_event


def logger_to(file_descriptor, **bounds):
    """Return a separate logger that writes to a file descriptor, and its handler."""
    handler = BoundedHandler(file_descriptor, **bounds)
    logger = logging.Logger("test", logging.INFO)
    logger.addHandler(handler)
    return logger, handler


def read_all(file_descriptor):
    os.set_blocking(file_descriptor, False)
    data = b""
    try:
        while chunk := os.read(file_descriptor, 65536):
            data += chunk
    except BlockingIOError:
        pass
    return data.decode().splitlines()


def test_a_reader_that_stops_reading_loses_lines_and_blocks_nothing():
    reader, writer = os.pipe()
    logger, handler = logger_to(writer, lines_per_s=1e9, burst_lines=1e9, max_buffered_bytes=4096)
    for number in range(20000):
        log_event(logger, logging.INFO, "something", number=number)
    assert handler.dropped_count > 10000
    assert handler._buffered_bytes <= 4096 + 200
    read_all(reader)
    handler.flush()
    log_event(logger, logging.INFO, "after")
    handler.flush()
    lines = read_all(reader)
    assert any("event=log_lines_left_out count=" in line for line in lines)
    assert "event=after" in lines[-1]
    os.close(reader)
    os.close(writer)


def test_a_closed_reader_raises_no_error():
    reader, writer = os.pipe()
    os.close(reader)
    logger, _ = logger_to(writer)
    for _ in range(3):
        log_event(logger, logging.INFO, "nobody_reads")
    os.close(writer)


def test_lines_above_the_rate_are_dropped_and_counted():
    reader, writer = os.pipe()
    logger, handler = logger_to(writer, lines_per_s=0.0, burst_lines=5)
    for number in range(9):
        log_event(logger, logging.INFO, "often", number=number)
    assert len(read_all(reader)) == 5
    assert handler.dropped_count == 4
    os.close(reader)
    os.close(writer)


def test_a_formatted_event_is_parsed_back():
    fields = {"why": 'a "quoted"\tword', "request": "r1", "empty": ""}
    assert parse_event(format_event("x", **fields)) == {"event": "x", **fields}
