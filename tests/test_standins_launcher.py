"""Tests of the launcher: start, suspension, kill, stop and restart of processes."""

import contextlib
from pathlib import Path

import aiohttp
import psutil
import pytest

from tests.waiting import until
from trefoilpaddle.standins.description import (
    EXAMPLES,
    load_catalogue,
    load_description,
)
from trefoilpaddle.standins.launcher import deployment
from trefoilpaddle.standins.layout import make_layout
from trefoilpaddle.standins.running import DeploymentError
from trefoilpaddle.standins.written_settings import (
    Overrides,
    gateway_settings,
    sidecar_settings,
)
from trefoilpaddle.state.check_files import check_path
from trefoilpaddle.state.settings_read import load_gateway, load_sidecar

DEPLOYMENTS = ["baird", "garantia", "small"]


class TestExamples:
    @pytest.mark.parametrize("name", DEPLOYMENTS)
    def test_catalogue_has_no_problem_and_no_warning(self, name: str) -> None:
        checked = check_path(EXAMPLES / name / "catalogue")
        assert [str(each) for each in checked.problems + checked.warnings] == []

    @pytest.mark.parametrize("name", DEPLOYMENTS)
    def test_written_settings_are_accepted(self, name: str, tmp_path: Path) -> None:
        description = load_description(EXAMPLES / name)
        layout = make_layout(description)
        overrides = Overrides(policy={"choice": "round_robin", "hedge": False})
        path = tmp_path / "settings.toml"
        for gateway in layout.gateways:
            path.write_text(gateway_settings(gateway, description, layout, overrides))
            assert not load_gateway(path).ok().policy.hedge  # type: ignore[union-attr]
        for target in layout.targets:
            path.write_text(sidecar_settings(target, description, layout, overrides))
            assert load_sidecar(path).is_ok()

    @pytest.mark.parametrize("name", DEPLOYMENTS)
    def test_samples_are_governed_by_an_entry(self, name: str) -> None:
        description = load_description(EXAMPLES / name)
        checked = check_path(EXAMPLES / name / "catalogue")
        assert checked.catalogue is not None
        for sample in description.samples:
            governing = checked.catalogue.governing(
                account=sample.account,
                pipeline=sample.pipeline,
                class_of_work=sample.class_of_work,
            )
            assert governing is not None, sample.title


class TestDeployment:
    async def test_stand_ins_restart_after_faults_and_exit_at_the_end(self) -> None:
        folder = EXAMPLES / "small"
        description = load_description(folder)
        async with deployment(
            description, load_catalogue(folder), has_system=False
        ) as running:
            assert running.targets_of("draft") == ["draft-1", "draft-2"]
            child = running.children["encode-1"]
            running.freeze("encode-1")
            status = psutil.Process(child.pid)
            await until(lambda: status.status() == psutil.STATUS_STOPPED)
            running.thaw("encode-1")
            await running.wait_ready(["encode-1"])
            running.kill("encode-1")
            await child.wait(timeout_s=20.0)
            await running.start("encode-1")
            assert await running.stop("encode-1") == 0
            await running.start("encode-1")
            await running.set_fault("encode-1", {"kind": "down"})
            url = f"{running.target_url('encode-1')}/encode"
            async with aiohttp.request("POST", url, json={}) as response:
                assert response.status == 503
            assert (await running.record("encode-1"))["runs"] == []
            published = await running.publish("account/new", {"token_sha256": ""})
            assert await running.publish("account/new", None) == published + 1
            values = f"{running.config_url}/v1/values"
            async with aiohttp.request("GET", values) as response:
                before = await response.json()
            running.kill("config")
            await running.start("config")
            async with aiohttp.request("GET", values) as response:
                assert await response.json() == before
            pids = [each.pid for each in running.children.values()]
        assert not [pid for pid in pids if psutil.pid_exists(pid)]

    async def test_all_processes_exit_when_the_test_fails(self) -> None:
        folder = EXAMPLES / "small"
        pids: list[int] = []
        with contextlib.suppress(ZeroDivisionError):
            async with deployment(
                load_description(folder), load_catalogue(folder), has_system=False
            ) as running:
                pids += [each.pid for each in running.children.values()]
                raise ZeroDivisionError
        assert pids
        assert not [pid for pid in pids if psutil.pid_exists(pid)]

    async def test_error_contains_the_log_of_a_process_that_does_not_start(
        self,
    ) -> None:
        folder = EXAMPLES / "small"
        description = load_description(folder)
        overrides = Overrides(policy={"choice": "nearest"})
        with pytest.raises(DeploymentError, match="nearest"):
            async with deployment(
                description, load_catalogue(folder), overrides=overrides
            ):
                pass
