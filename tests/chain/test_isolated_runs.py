"""Which runs of suspects are believed to go on."""

from dataclasses import replace

from trefoilpaddle.state.chain.isolated_runs import IsolatedRun, IsolatedRuns

RUN = IsolatedRun(run_id=1, fingerprint="f" * 32, worker_id="w")
OVER = replace(RUN, isolation_s=0.0)


class TestApartRuns:
    def test_one_that_has_ended_does_not_begin_again(self) -> None:
        # News go by several ways: a peer passed the beginning on after the end, each
        # told the others once more, and the request was refused for three seconds.
        runs = IsolatedRuns()
        assert runs.record(RUN)
        assert runs.record(OVER)
        assert not runs.record(RUN)
        assert not runs.is_running(RUN.fingerprint)

    def test_an_end_that_comes_first_is_passed_on_once(self) -> None:
        runs = IsolatedRuns()
        assert runs.record(OVER)
        assert not runs.record(OVER)
        assert not runs.record(RUN)

    def test_two_runs_of_one_request_end_each_by_itself(self) -> None:
        # Two gateways send it at the same moment.
        runs = IsolatedRuns()
        second = replace(RUN, run_id=2, worker_id="v")
        runs.record(RUN)
        runs.record(second)
        runs.record(OVER)
        assert runs.is_running(RUN.fingerprint)
        assert runs.workers() == {"v"}
