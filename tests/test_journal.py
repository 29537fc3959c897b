"""Journal: records by request, bounds in number and age, one line per decision."""

import logging as python_logging
from dataclasses import replace

import orjson
import pytest
from absl import logging
from hypothesis import given
from hypothesis import strategies as st

from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state.journal import (
    MAX_UNFLUSHED,
    Batch,
    Decision,
    Event,
    Figure,
    Journal,
    Record,
)
from trefoilpaddle.state.logs import LineFormatter
from trefoilpaddle.state.settings import LogFormat

ROUTED = Decision(
    event=Event.ROUTED,
    request_id="h1-gateway.1f.ab",
    stage="encode",
    peer="h9-sidecar",
    reason=Reason.RETRY_BUDGET,
    detail='said "no"\nthen left',
    figures=(Figure(name="predicted_s", value=0.25),),
)


def journal_of(n_records: int, *, keep_s: float = 300.0) -> Journal:
    return Journal(process_id="h1-gateway", n_records=n_records, keep_s=keep_s)


def batch_of(decision: Decision) -> Batch:
    return Batch(records=(Record(decision=decision, monotonic_s=9.0, wall_s=1.5),))


def line_of(message: object, *, format: LogFormat) -> str:
    record = python_logging.LogRecord(
        "absl", python_logging.WARNING, "", 0, message, None, None
    )
    record.created = 1.5
    return LineFormatter(process_id="h1-gateway", format=format).format(record)


class TestJournal:
    @given(
        ids=st.lists(st.sampled_from(["", "a", "b", "c"]), max_size=40),
        n_records=st.integers(min_value=1, max_value=10),
    )
    def test_a_timeline_is_the_kept_records_of_its_request(
        self, ids: list[str], n_records: int
    ) -> None:
        journal = journal_of(n_records)
        for request_id in ids:
            journal.record(Decision(event=Event.ROUTED, request_id=request_id))
        kept = ids[-n_records:]
        assert len(list(journal.recent())) == len(kept)
        for request_id in "abc":
            assert len(list(journal.timeline(request_id))) == kept.count(request_id)

    def test_record_expires(self, monkeypatch: pytest.MonkeyPatch) -> None:
        now_s = 100.0
        monkeypatch.setattr("time.monotonic", lambda: now_s)
        journal = journal_of(10, keep_s=5.0)
        journal.record(ROUTED)
        now_s = 105.0
        assert list(journal.timeline(ROUTED.request_id))
        now_s = 105.1
        assert not list(journal.timeline(ROUTED.request_id))

    async def test_lines_are_written_in_batches_and_each_once(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        written: list[int] = []
        logger = logging.get_absl_logger()
        monkeypatch.setattr(logger, "isEnabledFor", lambda level: True)
        monkeypatch.setattr(
            logger, "handle", lambda record: written.append(len(record.msg.records))
        )
        journal = journal_of(1000)
        for _ in range(MAX_UNFLUSHED + 3):
            journal.record(ROUTED)
        assert written == [MAX_UNFLUSHED]
        journal.flush()
        journal.flush()
        assert written == [MAX_UNFLUSHED, 3]

    def test_listeners_receive_each_decision(self) -> None:
        journal = journal_of(1)
        received: list[Decision] = []
        journal.subscribe(received.append)
        journal.record(ROUTED)
        journal.record(ROUTED)
        assert received == [ROUTED, ROUTED]

    async def test_flush_listeners_receive_each_decision_once_at_the_flush(
        self,
    ) -> None:
        journal = journal_of(10)
        received: list[Decision] = []
        journal.subscribe_on_flush(received.append)
        journal.record(ROUTED)
        journal.record(ROUTED)
        assert not received
        assert len(list(journal.timeline(ROUTED.request_id))) == 2
        assert received == [ROUTED, ROUTED]


class TestLineFormatter:
    def test_decision_is_one_key_value_line(self) -> None:
        assert line_of(batch_of(ROUTED), format=LogFormat.KEY_VALUE) == (
            "time=1970-01-01T00:00:01.500Z level=info process=h1-gateway "
            "event=120 name=routed request_id=h1-gateway.1f.ab stage=encode "
            'peer=h9-sidecar detail="said \\"no\\"\\nthen left" '
            "reason=retry_budget predicted_s=0.25"
        )

    def test_decision_is_one_json_object(self) -> None:
        line = line_of(batch_of(ROUTED), format=LogFormat.JSON)
        assert "\n" not in line
        read = orjson.loads(line)
        assert read["event"] == 120
        assert read["predicted_s"] == 0.25
        assert read["reason"] == "retry_budget"

    @pytest.mark.parametrize("format", list(LogFormat))
    def test_other_message_is_one_line(self, format: LogFormat) -> None:
        assert "\n" not in line_of("a\nb", format=format)

    # Guards against a caller's header of bytes that are no text, for which the lines of
    # other requests are lost.
    @pytest.mark.parametrize("format", list(LogFormat))
    def test_text_that_cannot_be_written_is_replaced(self, format: LogFormat) -> None:
        odd = replace(ROUTED, request_id="\udcff\udcfe")
        records = [
            Record(decision=decision, monotonic_s=9.0, wall_s=1.5)
            for decision in (ROUTED, odd, ROUTED)
        ]
        lines = line_of(Batch(records=tuple(records)), format=format).splitlines()
        assert [ROUTED.request_id in line for line in lines] == [True, False, True]
        assert line_of("\udcff", format=format)
