"""The command line interface: one class with a method for each command."""

import contextlib
import sys
from typing import Final

import fire

from trefoilpaddle import __version__

# Each command imports its modules when it runs: a sidecar needs no tables, for
# example, and the binary starts in a fraction of the time.

DEFAULT_AT: Final = "http://127.0.0.1:9464"
"""Default URL of the operators' port."""


class Commands:
    """trefoilpaddle serves multi-stage model pipelines, driven by a catalogue."""

    def gateway(self, *, settings: str) -> None:
        """Run the gateway whose settings are in the TOML file SETTINGS."""
        from . import serve

        sys.exit(serve.gateway(str(settings)))

    def sidecar(self, *, settings: str) -> None:
        """Run the sidecar whose settings are in the TOML file SETTINGS."""
        from . import serve

        sys.exit(serve.sidecar(str(settings)))

    def explain(
        self,
        request_id: str,
        *,
        at: str = DEFAULT_AT,
        json: bool = False,
    ) -> None:
        """Tell why the request REQUEST_ID was served as it was.

        AT is the URL of the operators' port of any process.
        """
        from .explain import explain

        sys.exit(explain(str(request_id), at=at, as_json=json))

    def status(
        self,
        *,
        at: str = DEFAULT_AT,
        watch: bool = False,
        json: bool = False,
    ) -> None:
        """Show hosts, targets, owners, stages, and the revision in force in each.

        AT is the URL of the operators' port of any process.
        """
        from .status import status

        with contextlib.suppress(KeyboardInterrupt):  # ends --watch
            sys.exit(status(at=at, watch=watch, as_json=json))

    def check(self, path: str, *, against: str = "", json: bool = False) -> None:
        """Find every fault of a settings file, a catalogue file or a folder.

        AGAINST is the URL of the operators' port of a running process; then
        the difference to the catalogue in force is shown too.
        """
        from .check import check

        sys.exit(check(str(path), against=against, as_json=json))

    def replay(
        self,
        trace: str,
        *,
        policy: str = "",
        json: bool = False,
        plot: str = "",
        seeds: int = 1,
    ) -> None:
        """Play the trace file TRACE under the plain baseline and the product.

        POLICY changes the product, as in choice=late_binding,hedge=false.
        PLOT names a picture to draw. SEEDS plays the scenario that many times,
        from as many seeds. The exit code is 1 if a stated outcome is not
        reached, or something that must always hold did not.
        """
        try:
            from .replay import replay as run
        except ModuleNotFoundError as error:  # not included in the binary
            sys.exit(f"replay needs {error.name}; run it from a checkout")

        sys.exit(
            run(
                str(trace),
                policy=_text(policy),
                as_json=json,
                plot=str(plot),
                n_seeds=seeds,
            )
        )

    def version(self) -> None:
        """Print the version."""
        print(__version__)


def _text(value: object) -> str:
    """Return the argument as typed; fire parses ``a=b,c=d`` as a tuple."""
    return ",".join(map(str, value)) if isinstance(value, tuple) else str(value)


def main() -> None:
    """Run the command given by the arguments."""
    fire.Fire(Commands, name="trefoilpaddle")
