"""The requests of each deployment's callers, with the present input sizes.

Deadlines are real ones; a trace scales them by its head's ``time_scale``. Sizes
are log-normal: most inputs are short, and a few tender files or squad sheets are
many times as long as the median. All requests of a kind from one account begin
with the same text, such as a bank's standard form or a club's order terms.
"""

from dataclasses import dataclass
from typing import Final

from .trace import InputKind


@dataclass(frozen=True, slots=True, kw_only=True)
class Mix:
    """One kind of request and its frequency.

    Parameters
    ----------
    pipeline, class_of_work : str
        Names in the catalogue.
    kind : InputKind
        Kind of the input.
    share : float
        Share of the requests, from 0 to 1.
    median_words, sigma, max_words : int, float, int
        Parameters of the log-normal size of the input without the shared prefix.
    n_prefix_words : int
        Words of the text that all requests of one account share.
    deadline_s : float
        Real deadline in seconds, before scaling.
    priority : int
        Priority from 0 to 9.
    is_streamed, is_keyed : bool
        True if the answer is streamed, and if an idempotency key is sent.
    """

    pipeline: str
    class_of_work: str
    kind: InputKind
    share: float
    median_words: int
    sigma: float
    max_words: int
    n_prefix_words: int
    deadline_s: float
    priority: int = 5
    is_streamed: bool = False
    is_keyed: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class AccountShare:
    """A client account and its share of the requests."""

    account: str
    share: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Workload:
    """The client accounts of a deployment and the requests that they send.

    Parameters
    ----------
    deployment : str
        Name of the deployment.
    accounts : tuple of AccountShare
        Client accounts; the first is the one that bursts.
    mixes : tuple of Mix
        Kinds of request; their shares add up to 1.
    slowed_service : str
        Service that slows down in the scenario ``slow-stage``.
    failing_target, paused_target, cut_domain : str
        Targets and failure domain of the other faults.
    """

    deployment: str
    accounts: tuple[AccountShare, ...]
    mixes: tuple[Mix, ...]
    slowed_service: str
    failing_target: str
    paused_target: str
    cut_domain: str


GARANTIA: Final = Workload(
    deployment="garantia",
    accounts=(
        AccountShare(account="banca-nord", share=0.35),
        AccountShare(account="banca-sud", share=0.30),
        AccountShare(account="banca-mures", share=0.15),
        AccountShare(account="banca-arad", share=0.12),
        AccountShare(account="banca-iasi", share=0.08),
    ),
    mixes=(
        Mix(
            pipeline="draft-guarantee",
            class_of_work="drafting",
            kind=InputKind.TENDER_FILE,
            share=0.35,
            median_words=250,
            sigma=0.9,
            max_words=3000,
            n_prefix_words=400,
            deadline_s=11.0,
            is_streamed=True,
        ),
        Mix(
            pipeline="compare-clauses",
            class_of_work="checking",
            kind=InputKind.CLAUSE_PAIR,
            share=0.25,
            median_words=120,
            sigma=0.6,
            max_words=1000,
            n_prefix_words=200,
            deadline_s=8.0,
        ),
        Mix(
            pipeline="answer-beneficiary",
            class_of_work="queries",
            kind=InputKind.BENEFICIARY_QUERY,
            share=0.30,
            median_words=12,
            sigma=0.5,
            max_words=60,
            n_prefix_words=80,
            deadline_s=5.0,
            priority=3,
            is_streamed=True,
        ),
        Mix(
            pipeline="release-guarantee",
            class_of_work="release",
            kind=InputKind.STOCK_HOLD,
            share=0.10,
            median_words=10,
            sigma=0.3,
            max_words=30,
            n_prefix_words=0,
            deadline_s=5.0,
            priority=2,
            is_keyed=True,
        ),
    ),
    slowed_service="rerank",
    failing_target="draft-2",
    paused_target="draft-5",
    cut_domain="fd-2",
)

BAIRD: Final = Workload(
    deployment="baird",
    accounts=(
        AccountShare(account="schools-east", share=0.35),
        AccountShare(account="clubs-west", share=0.28),
        AccountShare(account="warehouse", share=0.20),
        AccountShare(account="schools-north", share=0.10),
        AccountShare(account="clubs-isles", share=0.07),
    ),
    mixes=(
        Mix(
            pipeline="draft-order",
            class_of_work="orders",
            kind=InputKind.SQUAD_SHEET,
            share=0.25,
            median_words=180,
            sigma=0.9,
            max_words=2500,
            n_prefix_words=300,
            deadline_s=11.0,
            is_streamed=True,
        ),
        Mix(
            pipeline="check-badge",
            class_of_work="artwork",
            kind=InputKind.BADGE_NOTE,
            share=0.15,
            median_words=60,
            sigma=0.6,
            max_words=600,
            n_prefix_words=200,
            deadline_s=8.0,
        ),
        Mix(
            pipeline="answer-secretary",
            class_of_work="typing",
            kind=InputKind.SHORT_QUERY,
            share=0.35,
            median_words=10,
            sigma=0.5,
            max_words=50,
            n_prefix_words=80,
            deadline_s=4.0,
            priority=3,
            is_streamed=True,
        ),
        Mix(
            pipeline="stock-hold",
            class_of_work="holds",
            kind=InputKind.STOCK_HOLD,
            share=0.25,
            median_words=8,
            sigma=0.3,
            max_words=25,
            n_prefix_words=0,
            deadline_s=3.0,
            priority=2,
            is_keyed=True,
        ),
    ),
    slowed_service="rerank",
    failing_target="model-2",
    paused_target="model-5",
    cut_domain="fd-2",
)

SMALL: Final = Workload(
    deployment="small",
    accounts=(
        AccountShare(account="club-alpha", share=0.6),
        AccountShare(account="club-beta", share=0.4),
    ),
    mixes=(
        Mix(
            pipeline="draft-order",
            class_of_work="orders",
            kind=InputKind.SQUAD_SHEET,
            share=0.3,
            median_words=120,
            sigma=0.9,
            max_words=1000,
            n_prefix_words=60,
            deadline_s=10.0,
            is_streamed=True,
        ),
        Mix(
            pipeline="answer-query",
            class_of_work="queries",
            kind=InputKind.SHORT_QUERY,
            share=0.4,
            median_words=10,
            sigma=0.5,
            max_words=50,
            n_prefix_words=40,
            deadline_s=5.0,
            priority=3,
        ),
        Mix(
            pipeline="stock-hold",
            class_of_work="holds",
            kind=InputKind.STOCK_HOLD,
            share=0.3,
            median_words=8,
            sigma=0.3,
            max_words=25,
            n_prefix_words=0,
            deadline_s=5.0,
            priority=2,
            is_keyed=True,
        ),
    ),
    slowed_service="encode",
    failing_target="draft-1",
    paused_target="draft-2",
    cut_domain="fd-1",
)

WORKLOADS: Final = {
    workload.deployment: workload for workload in (GARANTIA, BAIRD, SMALL)
}
