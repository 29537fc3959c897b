"""Which runs of suspects are believed to go on."""

from dataclasses import replace

from trefoilpaddle.state.chain.apart_runs import ApartRun, ApartRuns

RUN = ApartRun(run_id=1, fingerprint="f" * 32, worker_id="w")
OVER = replace(RUN, for_s=0.0)


class TestApartRuns:
    def test_one_that_has_ended_does_not_begin_again(self) -> None:
        # News go by several ways: a peer passed the beginning on after the end, each
        # told the others once more, and the request was refused for three seconds.
        runs = ApartRuns()
        assert runs.hear(RUN)
        assert runs.hear(OVER)
        assert not runs.hear(RUN)
        assert not runs.is_open(RUN.fingerprint)

    def test_an_end_that_comes_first_is_passed_on_once(self) -> None:
        runs = ApartRuns()
        assert runs.hear(OVER)
        assert not runs.hear(OVER)
        assert not runs.hear(RUN)

    def test_two_runs_of_one_request_end_each_by_itself(self) -> None:
        # Two gateways send it at the same moment.
        runs = ApartRuns()
        second = replace(RUN, run_id=2, worker_id="v")
        runs.hear(RUN)
        runs.hear(second)
        runs.hear(OVER)
        assert runs.is_open(RUN.fingerprint)
        assert runs.workers() == {"v"}
