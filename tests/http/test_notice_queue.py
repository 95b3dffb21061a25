"""Which notices the next request carries, and when an unanswered one is sent again."""

from __future__ import annotations

from kestrelspar.http.notice_queue import INITIAL_RESEND_INTERVAL, MAX_BATCH_SIZE, Notice, NoticeQueue
from kestrelspar.http.spare_connections import Choice
from kestrelspar.runtime.loop import MS, Loop, Suspension


def queue_of(count: int) -> tuple[NoticeQueue, list[Notice]]:
    queue, loop = NoticeQueue(), Loop()
    notices = [Notice(f"notice {number}", Suspension(loop), due_at=0) for number in range(count)]
    for notice in notices:
        queue.add(notice)
    return queue, notices


def test_a_batch_has_the_due_notices_up_to_its_limit() -> None:
    queue, notices = queue_of(MAX_BATCH_SIZE + 1)
    assert queue.take_batch(0) == notices[:-1]
    assert queue.take_batch(0) == notices[-1:]
    assert queue.take_batch(0) == []


def test_an_unanswered_notice_is_due_again_while_its_first_request_is_out() -> None:
    queue, notices = queue_of(1)
    first = queue.take_batch(0)
    assert queue.next_due_at() == INITIAL_RESEND_INTERVAL
    second = queue.take_batch(INITIAL_RESEND_INTERVAL)
    assert first == second == notices
    assert queue.settle(first) == notices  # the response to the first request
    assert queue.settle(second) == [] and not queue


def test_a_failed_request_is_repeated_before_an_unanswered_one_would_be() -> None:
    queue, notices = queue_of(2)
    batch = queue.take_batch(0)
    assert queue.retry(batch, 10 * MS) == 2
    assert queue.next_due_at() < INITIAL_RESEND_INTERVAL
    queue.settle(notices[:1])
    assert queue.retry(batch, 20 * MS) == 1


def test_a_rejected_notice_is_found_by_halves_while_others_are_sent() -> None:
    queue, notices = queue_of(4)
    queue.split(queue.take_batch(0))
    assert queue.next_due_at() == 0
    assert queue.take_batch(0) == notices[:2]
    queue.settle(notices[2:])  # the other half has been acknowledged meanwhile
    assert queue.next_due_at() > 0 and queue.take_batch(0) == []


def test_a_rejected_batch_whose_notices_are_settled_leaves_no_empty_half() -> None:
    queue, notices = queue_of(3)
    batch = queue.take_batch(0)
    queue.settle(notices[:2])
    queue.split(batch)
    assert queue.take_batch(0) == notices[2:] and not queue.has_halves


def test_after_a_move_all_notices_are_due_at_once() -> None:
    queue, notices = queue_of(3)
    queue.split(queue.take_batch(0))
    queue.make_due(50 * MS)
    assert queue.take_batch(50 * MS) == notices


def test_notices_that_were_last_sent_on_different_connections_go_in_different_requests() -> None:
    # Guards against a notice that is sent again and again on the kind of connection that is silent, as another notice
    # takes the other kind each time.
    queue, notices = queue_of(3)
    for notice, sent_on in zip(notices, (Choice.OLDEST, Choice.YOUNGEST, Choice.OLDEST), strict=True):
        notice.sent_on = sent_on
    assert queue.next_sent_on(0) is Choice.OLDEST
    assert queue.take_batch(0) == [notices[0], notices[2]]
    assert queue.next_sent_on(0) is Choice.YOUNGEST
    assert queue.take_batch(0) == [notices[1]]
    assert queue.next_sent_on(0) is None and queue.take_batch(0) == []
