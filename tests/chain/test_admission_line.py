"""Which requests of a gateway start, wait or are refused while accounts compete.

The load is a service whose requests take 0.2 s, if a test names no other time.
"""

import random

import pytest

from trefoilpaddle.state.chain.admission_line import (
    MAX_IDLE_ACCOUNTS,
    MAX_WAITING,
    AdmissionLine,
    Starts,
    Ticket,
    TooLate,
    Waits,
)
from trefoilpaddle.state.chain.slot_ledger import SlotShare

HELD_S = 0.2
A, B = 1, 2


def ticket(
    account: int = A,
    *,
    due_s: float = 100.0,
    priority: int = 0,
    weight: float = 1.0,
    route: str = "r",
) -> Ticket:
    return Ticket(
        account=account, weight=weight, priority=priority, due_s=due_s, route=route
    )


def contended(n_slots: float, **by_account: float) -> SlotShare:
    """Return what a gateway may use of a service that is short of slots."""
    keys = {"a": A, "b": B}
    return SlotShare(
        is_contended=True,
        n_slots=n_slots,
        level=n_slots,
        by_account={keys[name]: value for name, value in by_account.items()},
    )


def serve(
    line: AdmissionLine,
    now_s: float,
    *,
    account: int = A,
    held_s: float = HELD_S,
    route: str = "r",
) -> None:
    """Serve one request completely."""
    served = ticket(account, route=route)
    assert line.arrive(served, now_s) == Starts()
    line.end(served, now_s + held_s, has_run=True)


class TestRoutesOfDifferentDuration:
    def test_a_short_request_is_not_taken_for_a_long_one(self) -> None:
        # Guards against requests that take 0.1 s and are refused as late, as others of
        # their service take ten seconds.
        line = AdmissionLine(now_s=0.0)
        for number in range(20):
            serve(line, float(number), route="long", held_s=10.0)
            serve(line, float(number), route="short", held_s=0.1)
        line.free_limit = 1.0
        assert line.arrive(ticket(route="long"), 50.0) == Starts()
        verdict = line.arrive(ticket(route="short", due_s=51.0), 50.0)
        assert verdict == Waits()

    def test_an_account_of_short_requests_does_not_demand_long_ones(self) -> None:
        # Guards against contention that is declared for work that nobody sends.
        line = AdmissionLine(now_s=0.0)
        for number in range(100):
            serve(line, 0.1 * number, account=A, held_s=0.04)
            if number % 10 == 0:
                serve(line, 0.1 * number, account=B, held_s=4.0, route="long")
        assert line.loads(10.0)[A].n_offered == pytest.approx(10 * 0.04, rel=0.3)


class TestOrder:
    def start_all(self, line: AdmissionLine, now_s: float) -> list[Ticket]:
        return list(line.start_waiting(now_s))

    def test_an_account_within_its_share_goes_first(self) -> None:
        # Guards against a burst whose requests came first.
        line = busy_line(contended(4, a=1, b=2), n_running=6)
        waiting = [ticket(A), ticket(A), ticket(B, priority=5)]
        for each in waiting[:2]:
            assert line.arrive(each, 1.0) == Waits()
        assert line.arrive(waiting[2], 1.0) == Starts()

    def test_the_more_urgent_route_of_an_account_goes_first(self) -> None:
        # Guards against priorities of routes that have no effect within an account.
        line = busy_line(contended(1, a=1), n_running=3)
        later, urgent = ticket(A, priority=3, due_s=90.0), ticket(A, priority=1)
        for each in (later, urgent):
            assert line.arrive(each, 1.0) == Waits()
        line.use(SlotShare(is_contended=False), 1.1)
        line.free_limit = 4.0
        assert self.start_all(line, 1.1) == [urgent]

    def test_the_earlier_due_of_equal_priority_goes_first(self) -> None:
        # Guards against requests that are late behind others with time to spare.
        line = busy_line(contended(1, a=1), n_running=3)
        later, earlier = ticket(A, due_s=90.0), ticket(A, due_s=80.0)
        for each in (later, earlier):
            assert line.arrive(each, 1.0) == Waits()
        line.use(SlotShare(is_contended=False), 1.1)
        line.free_limit = 4.0
        assert self.start_all(line, 1.1) == [earlier]

    def test_slots_go_to_accounts_beyond_their_shares_by_weight(self) -> None:
        # Guards against one of two accounts that burst and gets the slots of both.
        line = AdmissionLine(now_s=0.0)
        share = contended(12.0, a=8.0, b=4.0)
        line.use(share, 0.0)
        started = {A: 0, B: 0}
        running: list[tuple[float, Ticket]] = []
        for step in range(2000):
            now_s = 0.01 * step
            while running and running[0][0] <= now_s:
                line.end(running.pop(0)[1], now_s, has_run=True)
            begun = []
            for account, weight in ((A, 1.0), (B, 0.5)):
                sent = ticket(account, weight=weight, due_s=now_s + 1.0)
                if line.arrive(sent, now_s) == Starts():
                    begun.append(sent)
            list(line.refuse_late(now_s))
            begun += line.start_waiting(now_s)
            for each in begun:
                running.append((now_s + HELD_S, each))
                started[each.account] += 1
        assert started[A] == pytest.approx(2 * started[B], rel=0.1)


class TestRefusals:
    def test_one_that_would_be_late_is_refused_when_it_arrives(self) -> None:
        # Guards against callers that wait for nothing.
        line = busy_line(contended(1, a=1), n_running=3)
        for number in range(5):
            assert line.arrive(ticket(due_s=100.0 + number), 1.0) == Waits()
        behind_all = ticket(due_s=1.0 + 4 * HELD_S, priority=9)
        late = line.arrive(behind_all, 1.0)
        assert isinstance(late, TooLate)
        assert late.is_beyond_share
        assert late.wait_s == pytest.approx(5 * HELD_S)
        before_all = ticket(due_s=1.0 + 4 * HELD_S)
        assert line.arrive(before_all, 1.0) == Waits()

    def test_no_more_wait_than_the_bound(self) -> None:
        # Guards against a queue that fills the memory.
        line = busy_line(contended(1, a=1), n_running=3)
        due_s = 1e9
        verdicts = [line.arrive(ticket(due_s=due_s), 1.0) for _ in range(MAX_WAITING)]
        assert all(isinstance(each, Waits) for each in verdicts)
        assert isinstance(line.arrive(ticket(due_s=due_s), 1.0), TooLate)

    def test_one_that_can_start_now_is_never_refused(self) -> None:
        # Guards against refusals beside idle workers.
        line = AdmissionLine(now_s=0.0)
        assert line.arrive(ticket(due_s=-5.0), 0.0) == Starts()

    def test_one_that_became_late_while_it_waited_is_refused(self) -> None:
        # Guards against workers that run what nobody waits for.
        line = busy_line(contended(1, a=1), n_running=3)
        waiting = ticket(due_s=2.0)
        assert line.arrive(waiting, 1.0) == Waits()
        assert list(line.refuse_late(1.5)) == []
        assert list(line.refuse_late(1.9)) == [waiting]
        assert line.n_waiting == 0
        line.withdraw(waiting)
        assert line.n_waiting == 0


class TestSlots:
    def test_all_are_free_once_all_have_ended(self) -> None:
        # Guards against slots that are lost when callers leave or workers fail.
        rng = random.Random(3)
        line = AdmissionLine(now_s=0.0)
        running: list[Ticket] = []
        waiting: list[Ticket] = []
        now_s = 0.0
        for step in range(3000):
            now_s = 0.01 * step
            if step % 100 == 0:
                share = contended(rng.uniform(0, 5), a=rng.uniform(0, 3))
                line.use(SlotShare(is_contended=False) if step % 300 else share, now_s)
                line.free_limit = rng.choice((2.0, 6.0))
            sent = ticket(rng.choice((A, B)), due_s=now_s + rng.uniform(0.1, 3.0))
            match line.arrive(sent, now_s):
                case Starts():
                    running.append(sent)
                case Waits():
                    waiting.append(sent)
            if waiting and rng.random() < 0.3:
                line.withdraw(waiting.pop(rng.randrange(len(waiting))))
            for late in line.refuse_late(now_s):
                waiting.remove(late)
            for started in line.start_waiting(now_s):
                waiting.remove(started)
                running.append(started)
            if running and rng.random() < 0.8:
                ended = running.pop(rng.randrange(len(running)))
                line.end(ended, now_s, has_run=rng.random() < 0.7)
            assert line.n_running == len(running)
            assert line.n_waiting == len(waiting)
        for each in waiting:
            line.withdraw(each)
        for each in running:
            line.end(each, now_s, has_run=False)
        assert (line.n_running, line.n_waiting) == (0, 0)
        assert line.loads(now_s + 60.0) == {}

    def test_a_paused_gateway_has_saved_up_little(self) -> None:
        # Guards against credit that grows through a pause and is used at once.
        line = AdmissionLine(now_s=0.0)
        line.use(contended(2, a=2), 0.0)
        served = [ticket() for _ in range(2)]
        for each in served:
            assert line.arrive(each, 0.0) == Starts()
        for each in served:
            line.end(each, HELD_S, has_run=True)
        burst = [line.arrive(ticket(), 100.0) for _ in range(10)]
        assert burst.count(Starts()) <= 3


class TestTimes:
    def test_failures_say_nothing_about_the_work(self) -> None:
        # Guards against a worker that fails at once and makes requests seem short.
        line = AdmissionLine(now_s=0.0)
        serve(line, 0.0)
        failed = ticket()
        line.arrive(failed, 1.0)
        line.end(failed, 1.001, has_run=False)
        assert line.held_s == HELD_S
        assert line.n_answered == 1

    def test_the_base_does_not_follow_busy_workers(self) -> None:
        # Guards against the first second of a burst, in which requests wait at the
        # workers, that makes them look as if they had many slots.
        line = AdmissionLine(now_s=0.0)
        for number in range(20):
            serve(line, float(number))
        for number in range(15):
            serve(line, 100.0 + 2 * number, held_s=1.0)
        assert line.base_s < 1.5 * HELD_S

    def test_the_base_is_known_where_demand_is_high_from_the_first_request_on(
        self,
    ) -> None:
        # Guards against a capacity that never grows, as no request ends before its
        # service is contended.
        line = AdmissionLine(now_s=0.0)
        first = ticket()
        line.arrive(first, 0.0)
        late = ticket()
        line.arrive(late, 0.0)
        line.use(contended(2.0), 0.05)
        line.end(first, HELD_S, has_run=True)
        assert line.base_s == HELD_S
        line.end(late, 10 * HELD_S, has_run=True)
        assert line.base_s == HELD_S

    def test_idle_accounts_are_forgotten(self) -> None:
        # Guards against memory that grows with each account ever seen.
        line = AdmissionLine(now_s=0.0)
        for account in range(2 * MAX_IDLE_ACCOUNTS):
            serve(line, 0.05 * account, account=account)
        assert len(line.n_refused()) <= MAX_IDLE_ACCOUNTS


def busy_line(share: SlotShare, *, n_running: int) -> AdmissionLine:
    """Return a line whose account ``a`` has started requests before contention."""
    line = AdmissionLine(now_s=0.0)
    serve(line, 0.0)
    for _ in range(n_running):
        line.arrive(ticket(), 0.5)
    line.use(share, 0.5)
    return line
