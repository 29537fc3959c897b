"""Cost of the reports of gateways, and of the grants, at the home of one service.

``python -m tests.chain slot_costs`` prints bytes and processor time by the number of
gateways, accounts and workers.
"""

import logging
import random
import time
from collections.abc import Sequence
from typing import Final

from trefoilpaddle.coordination.chain.slot_home import SlotHome, report_period_s
from trefoilpaddle.coordination.chain.slot_wire import load_to_wire, share_from_wire
from trefoilpaddle.protocol.frames import LENGTH_BYTES, decode, encode
from trefoilpaddle.state.chain.account_shares import account_key
from trefoilpaddle.state.chain.slot_ledger import AccountLoad, ServiceLoad

from .fakes import journal, process

N_SLOTS: Final = 4
N_USED: Final = 16
"""Workers at which one gateway has requests."""

N_ROUNDS: Final = 3
MIN_REPORTS: Final = 200

SIZES: Final = (
    (6, 8, 6),
    (20, 8, 6),
    (100, 32, 100),
    (400, 8, 910),
    (400, 32, 910),
    (400, 128, 910),
)
"""Gateways, accounts and workers."""


def _reports(n_gateways: int, n_accounts: int, n_workers: int) -> list[bytes]:
    """Return one report of each gateway, as it is sent."""
    rng = random.Random(1)
    reports = []
    for _ in range(n_gateways):
        per_account = 2.0 * n_workers * N_SLOTS / n_gateways / n_accounts
        accounts = {
            account_key(f"account-{number}"): AccountLoad(
                weight=1.0,
                n_offered=per_account * rng.random(),
                n_running=rng.randrange(2),
                n_waiting=rng.randrange(2),
            )
            for number in range(n_accounts)
        }
        load = ServiceLoad(
            accounts=accounts,
            n_slots=n_workers * N_SLOTS,
            n_workers=n_workers,
            base_s=0.2,
            n_answered=10,
        )
        used = rng.sample(range(n_workers), min(N_USED, n_workers))
        uses = {(f"worker-{n}", 1_764_800_000_000 + n): 1 for n in used}
        reports.append(encode(load_to_wire("s", load, may_grow=True, uses=uses)))
    return reports


def _cost(
    n_gateways: int, n_accounts: int, n_workers: int
) -> tuple[float, float, float, float]:
    """Return bytes of a report and of a grant, and ms of the home and of a gateway."""
    reports = _reports(n_gateways, n_accounts, n_workers)
    home = SlotHome(
        process=process("home"), n_gateways=lambda: n_gateways, journal=journal()
    )

    def answer(number: int) -> bytes:
        report = decode(reports[number][LENGTH_BYTES:]).unwrap().message
        return encode(home.divide(report, f"g{number}"))

    for number in range(n_gateways):
        answer(number)
    period_s = report_period_s(n_gateways)
    n_answers = max(MIN_REPORTS, n_gateways)
    home_ms, own_ms = [], []
    for _ in range(N_ROUNDS):
        spent_s = 0.0
        grants = []
        due_s = time.monotonic()
        for n in range(n_answers):
            due_s += period_s / n_gateways
            time.sleep(max(0.0, due_s - time.monotonic()))
            began_s = time.process_time()
            grants.append(answer(n % n_gateways))
            spent_s += time.process_time() - began_s
        home_ms.append(1000 * spent_s / n_answers)
        began_s = time.process_time()
        for grant in grants:
            share_from_wire(decode(grant[LENGTH_BYTES:]).unwrap().message)
        own_ms.append(1000 * (time.process_time() - began_s) / n_answers)
    return (
        sum(map(len, reports)) / n_gateways,
        sum(map(len, grants)) / n_answers,
        min(home_ms),
        min(own_ms),
    )


def print_slot_costs(sizes: Sequence[tuple[int, int, int]] = SIZES) -> None:
    """Print the cost of reports and grants at the rate at which gateways send them.

    Processor time is the least of three rounds, with reading and writing of messages.
    """
    logging.disable(logging.CRITICAL)
    print(
        "gateways accounts workers  report B  grant B  ms a report  of a core", end=""
    )
    print("  home KB/s  gateway KB/s  gateway ms a grant")
    for n_gateways, n_accounts, n_workers in sizes:
        report, grant, home_ms, own_ms = _cost(n_gateways, n_accounts, n_workers)
        per_s = n_gateways / report_period_s(n_gateways)
        own_kb = (report + grant) / report_period_s(n_gateways) / 1000
        print(
            f"{n_gateways:8} {n_accounts:8} {n_workers:7} {report:9.0f} {grant:8.0f}"
            f" {home_ms:12.3f} {per_s * home_ms / 1000:10.3f}"
            f" {per_s * (report + grant) / 1000:10.0f} {own_kb:13.1f} {own_ms:19.3f}",
            flush=True,
        )
