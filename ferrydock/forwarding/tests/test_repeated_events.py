"""Events that a target repeats because they were written after it had been asked to continue."""

from .._events import MAX_BYTES_WITHOUT_EVENT, NumberedEvents
from .test_forwarding import event

UNNUMBERED = b"data: a\n\n"


def written(*blocks):
    """Return the position of a stream of which blocks were written."""
    events = NumberedEvents(None)
    for block in blocks:
        assert events.feed(block) == block
        events.record_written()
    return events


def test_events_without_a_number_among_repeated_ones_do_not_end_a_run():
    """Failure: a run that went on behind them was out of order, and the stream was cut."""
    events = written(event(1), event(2), event(3), UNNUMBERED, event(4))
    events.start_run(repeats_written=True)  # asked to continue after 2
    passed = events.feed(event(3) + UNNUMBERED + event(4) + event(5))
    assert (passed, events.fault) == (event(5), None)


def test_repeated_events_without_end_are_no_answer():
    """Failure: a run that sent a written event again and again was read until its time limit."""
    events = written(event(1), event(2), event(3))
    events.start_run(repeats_written=True)
    repeat = event(3)
    for _ in range(64 * MAX_BYTES_WITHOUT_EVENT // len(repeat)):
        events.feed(repeat)
        if events.fault is not None:
            break
    assert events.fault is not None
