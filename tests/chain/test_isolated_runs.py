"""Tracking of the runs of suspect requests."""

from dataclasses import replace

from trefoilpaddle.state.chain.isolated_runs import IsolatedRun, IsolatedRuns

RUN = IsolatedRun(run_id=1, fingerprint="f" * 32, worker_id="w")
ENDED = replace(RUN, isolation_s=0.0)


class TestIsolatedRuns:
    def test_an_ended_run_does_not_begin_again(self) -> None:
        # Updates take several paths: a peer relayed the beginning after the end, each
        # peer relayed it again, and the request was refused for three seconds.
        runs = IsolatedRuns()
        assert runs.record(RUN)
        assert runs.record(ENDED)
        assert not runs.record(RUN)
        assert not runs.is_running(RUN.fingerprint)

    def test_an_end_that_arrives_first_is_new_once(self) -> None:
        runs = IsolatedRuns()
        assert runs.record(ENDED)
        assert not runs.record(ENDED)
        assert not runs.record(RUN)

    def test_two_runs_of_one_request_end_independently(self) -> None:
        # Two gateways send the request at the same moment.
        runs = IsolatedRuns()
        second = replace(RUN, run_id=2, worker_id="v")
        runs.record(RUN)
        runs.record(second)
        runs.record(ENDED)
        assert runs.is_running(RUN.fingerprint)
        assert runs.workers() == {"v"}
