"""Commands that run a stand-in as a separate process, and the demos."""

import dataclasses
import sys
from collections.abc import Iterable
from typing import Final

import uvloop

from .batching import BatchModel
from .calls import CallModel, CallService
from .config import Config
from .demo import demo
from .engine import Engine, EngineModel
from .hosts import Hosts
from .platform.demo import demo_platform
from .web import StandIn, serve_process
from .weights import Weights

ANY_PORT: Final = "127.0.0.1:0"
_FENCING: Final = {"checked": True, "ignored": False}


def _serve(stand_in: StandIn, listen: str) -> None:
    uvloop.run(serve_process(stand_in.application(), listen=listen))


def _names(value: object) -> tuple[str, ...]:
    """Return the names in ``a,b``, which fire parses to a string or a tuple."""
    if isinstance(value, str):
        return tuple(part for part in value.split(",") if part)
    if isinstance(value, Iterable):
        return tuple(str(part) for part in value)
    return (str(value),)


class Commands:
    """Stand-ins for targets and platform, each listening on ``--listen IP:PORT``."""

    def engine(
        self,
        listen: str = ANY_PORT,
        name: str = "engine",
        fencing: str = "checked",
        models: object = "base",
        **parameters: float,
    ) -> None:
        """Run a model engine; parameters are those of EngineModel and BatchModel."""
        if fencing not in _FENCING:
            raise SystemExit(f"--fencing {fencing}: must be checked or ignored")
        in_batch = {each.name for each in dataclasses.fields(BatchModel)}
        batch = {key: value for key, value in parameters.items() if key in in_batch}
        rest = {key: value for key, value in parameters.items() if key not in in_batch}
        model = EngineModel(
            batch=BatchModel(**batch),  # type: ignore[arg-type]
            is_fenced=_FENCING[fencing],
            models=_names(models),
            **rest,  # type: ignore[arg-type]
        )
        _serve(Engine(model=model, name=name), listen)

    def pool(
        self,
        listen: str = ANY_PORT,
        name: str = "pool",
        once_paths: object = "",
        **parameters: float,
    ) -> None:
        """Run a pool's target; parameters are those of CallModel."""
        paths = _names(once_paths)
        model = CallModel(once_paths=paths, **parameters)  # type: ignore[arg-type]
        _serve(CallService(model=model, name=name), listen)

    def plain(
        self,
        listen: str = ANY_PORT,
        name: str = "plain",
        once_paths: object = "/hold,/issue",
        **parameters: float,
    ) -> None:
        """Run a plain service's target; parameters are those of CallModel."""
        self.pool(listen, name, once_paths, **parameters)

    def config(
        self,
        listen: str = ANY_PORT,
        start_revision: int = 0,
        reads_per_s: float = 2000.0,
        lag_s: float = 0.0,
    ) -> None:
        """Run the configuration service."""
        stand_in = Config(
            start_revision=start_revision, reads_per_s=reads_per_s, lag_s=lag_s
        )
        _serve(stand_in, listen)

    def hosts(
        self, listen: str = ANY_PORT, start_revision: int = 0, lag_s: float = 0.0
    ) -> None:
        """Run the host list."""
        _serve(Hosts(start_revision=start_revision, lag_s=lag_s), listen)

    def weights(
        self,
        listen: str = ANY_PORT,
        size_bytes: int = 1024 * 1024,
        bytes_per_s: float = 4 * 1024 * 1024,
        max_readings: int = 2,
        time_scale: float = 1.0,
    ) -> None:
        """Run the weight store."""
        stand_in = Weights(
            size_bytes=size_bytes,
            bytes_per_s=bytes_per_s,
            max_readings=max_readings,
            time_scale=time_scale,
        )
        _serve(stand_in, listen)

    def demo(self, deployment: str = "garantia", serve: bool = False) -> None:
        """Run examples/DEPLOYMENT, send its samples and drain; or leave it to serve."""
        sys.exit(uvloop.run(demo(name=str(deployment), is_serving=bool(serve))))

    def demo_platform(self) -> None:
        """Run two gateways on the stand-in platform, with a kill and a stop."""
        sys.exit(uvloop.run(demo_platform()))
