"""``explain`` and ``status``: the printed text."""

import io
from pathlib import Path

import pytest
from rich.console import Console
from syrupy.assertion import SnapshotAssertion

from trefoilpaddle.cli import explain, status
from trefoilpaddle.cli.status_table import render
from trefoilpaddle.protocol.reasons import Reason
from trefoilpaddle.state import timeline_text
from trefoilpaddle.state.events import Event
from trefoilpaddle.state.reason_words import REASON_CLAUSES
from trefoilpaddle.state.status import FLEET
from trefoilpaddle.state.timeline import TIMELINE

DATA = Path(__file__).parent / "data" / "operators"
NO_LISTENER = "http://127.0.0.1:1"


class TestTimelineText:
    @pytest.mark.parametrize("name", ["served", "refused", "gone"])
    def test_a_timeline_in_plain_words(
        self, name: str, snapshot: SnapshotAssertion
    ) -> None:
        timeline = TIMELINE.validate_json((DATA / f"{name}.json").read_bytes())
        assert list(timeline_text.lines(timeline)) == snapshot

    def test_every_event_of_a_request_has_its_sentence(self) -> None:
        of_requests = {event for event in Event if event < Event.TARGET_EJECTED}
        assert of_requests <= timeline_text.SENTENCES.keys()

    def test_every_reason_has_its_words(self) -> None:
        assert REASON_CLAUSES.keys() == set(Reason) - {Reason.NONE}


class TestStatusTable:
    def test_the_tables(self, snapshot: SnapshotAssertion) -> None:
        fleet = FLEET.validate_json((DATA / "status.json").read_bytes())
        out = io.StringIO()
        Console(file=out, width=120, color_system=None).print(render(fleet))
        lines = [line.rstrip() for line in out.getvalue().splitlines()]
        assert lines == snapshot


class TestNoAnswer:
    def test_explain_names_the_option_for_the_address(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert explain.explain("g.1.a", at=NO_LISTENER, as_json=False) == 2
        assert "--at" in capsys.readouterr().err

    def test_status_names_the_option_for_the_address(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert status.status(at=NO_LISTENER, watch=False, as_json=False) == 2
        assert "--at" in capsys.readouterr().err
