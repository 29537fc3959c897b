"""Decoding of the platform's settings and configuration, and its requirements."""

import re
import tomllib
from pathlib import Path

import orjson
import pytest
from adapter import names
from adapter.configuration import decode_table
from adapter.node_settings import STREAM_COPIES_VARIABLE, decode, load
from adapter.store import decode_published
from result import Err

from trefoilpaddle.standins.platform.site import configuration, settings
from trefoilpaddle.state.chain.routes import (
    EngineService,
    PieceService,
    PlainService,
    RepeatPolicy,
)

ROOT = Path(__file__).resolve().parents[2]


def table(**fields: object) -> bytes:
    return orjson.dumps(configuration(3, **fields))


class TestConfiguration:
    def test_routes_are_found_by_host_and_longest_prefix(self) -> None:
        routes = [
            configuration(1)["routes"][0] | {"name": name, "prefix": prefix}
            for name, prefix in (("short", "/a/"), ("long", "/a/b/"))
        ]
        decoded = decode_table(table(routes=routes))
        host = routes[0]["host"]
        found = [decoded.match(host, path) for path in ("/a/b/c", "/a/x", "/b/", "/a")]
        assert [route and route.name for route in found] == [
            "long",
            "short",
            None,
            None,
        ]
        assert decoded.match("other", "/a/x") is None

    def test_the_kind_of_a_route_sets_repeats_and_streaming(self) -> None:
        decoded = decode_table(table())
        by_name = {r.name: r for routes in decoded.by_host.values() for r in routes}
        assert by_name["price"].repeat is RepeatPolicy.IDEMPOTENT
        assert by_name["hold"].repeat is RepeatPolicy.NON_IDEMPOTENT
        draft = by_name["draft"]
        assert draft.is_stream and draft.is_resumable
        assert draft.repeat is RepeatPolicy.NON_IDEMPOTENT
        assert draft.last_stages() == (1,)

    def test_the_event_timeout_is_the_longest_of_three(self) -> None:
        first = configuration(1)["routes"][0]
        times = [(300, 100), (900, 100), (300, 500)]
        routes = [
            first
            | {
                "name": f"r{number}",
                "kind": "streaming",
                "target_latency_ms": target_ms,
                "gap_target_ms": gap_ms,
            }
            for number, (target_ms, gap_ms) in enumerate(times)
        ]
        routes.append(first | {"name": "whole", "kind": "idempotent"})
        by_host = decode_table(table(routes=routes)).by_host
        waits_s = {r.name: r.event_timeout_s for rs in by_host.values() for r in rs}
        assert waits_s == {"r0": 2.0, "r1": 3.6, "r2": 4.0, "whole": float("inf")}

    def test_kinds_of_services_are_distinguished(self) -> None:
        services = decode_table(table()).services
        assert isinstance(services["stock"], PlainService)
        assert isinstance(services["model"], EngineService)
        encode = services["encode"]
        assert isinstance(encode, PieceService)
        assert (encode.call_s, encode.memory_bytes) == (0.02, 10e6)

    def test_missing_accounts_differ_from_an_empty_list(self) -> None:
        # An empty list means that every key has been revoked: no request may pass.
        assert decode_table(table(tenants=[])).has_accounts
        bare = configuration(3)
        del bare["tenants"]
        assert not decode_table(orjson.dumps(bare)).has_accounts

    def test_an_undecodable_configuration_is_ignored(self) -> None:
        assert decode_published(b"{}") is None
        assert decode_published(b"nonsense") is None


class TestSettings:
    def test_settings_contain_location_and_addresses(self) -> None:
        fields = settings(
            host="g1", domain="a", ports=[1, 2, 3, 4], store="s:5", seeds=["x:3"]
        )
        decoded = decode(fields, "9464/metrics")
        assert (decoded.host, decoded.failure_domain) == ("g1", "a")
        assert decoded.callers_address == "127.0.0.1:1"
        assert decoded.peers_address == "127.0.0.1:3"
        assert (decoded.metrics_address, decoded.metrics_path) == (
            "127.0.0.1:9464",
            "/metrics",
        )

    def test_a_faulty_file_is_reported(self, tmp_path: Path) -> None:
        path = tmp_path / "s.json"
        assert load(path).is_err()
        path.write_text("{")
        assert load(path).is_err()
        path.write_text("{}")
        assert load(path).unwrap_err().endswith("'listen_addresses'")


class TestDeploy:
    def test_requirements_are_those_of_the_project(self) -> None:
        project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
        lines = (ROOT / "requirements.txt").read_text().split()
        assert sorted(lines) == sorted(project["dependencies"])

    def test_platform_names_are_used_in_the_adapter_only(self) -> None:
        wire = re.compile("Trefoilpaddle-[A-Z]|kv-watch|stage-run")
        found = [
            path
            for path in (ROOT / "src" / "trefoilpaddle").rglob("*.py")
            if "standins" not in path.parts and wire.search(path.read_text())
        ]
        assert found == []

    def test_hop_by_hop_headers_are_not_forwarded(self) -> None:
        kept = names.end_to_end(
            (
                (b"Connection", b"close, X-One"),
                (b"x-one", b"1"),
                (b"Transfer-Encoding", b"chunked"),
                (b"X-Two", b"2"),
            )
        )
        assert kept == [(b"X-Two", b"2")]


class TestSwitches:
    @pytest.mark.parametrize(("value", "expected"), [(None, False), ("on", True)])
    def test_copies_of_streams_are_off_unless_set(
        self,
        tmp_path: Path,
        monkeypatch: pytest.MonkeyPatch,
        value: str | None,
        expected: bool,
    ) -> None:
        # Guards against a deployment that is served otherwise than before.
        monkeypatch.delenv(STREAM_COPIES_VARIABLE, raising=False)
        if value is not None:
            monkeypatch.setenv(STREAM_COPIES_VARIABLE, value)
        loaded = load(written_settings(tmp_path))
        assert loaded.unwrap().has_stream_copies is expected

    def test_another_value_is_refused(
        self, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setenv(STREAM_COPIES_VARIABLE, "yes")
        assert isinstance(load(written_settings(tmp_path)), Err)


def written_settings(folder: Path) -> Path:
    path = folder / "settings.json"
    fields = settings(
        host="g0", domain="a", ports=[1, 2, 3, 4], store="127.0.0.1:5", seeds=[]
    )
    path.write_bytes(orjson.dumps(fields))
    return path
