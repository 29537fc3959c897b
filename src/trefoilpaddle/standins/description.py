"""Descriptions of deployments, read from ``examples/NAME/deployment.toml``."""

import json
import tomllib
from enum import StrEnum, unique
from pathlib import Path
from typing import Annotated, Final

from pydantic import ConfigDict, Field, TypeAdapter
from pydantic.dataclasses import dataclass

from trefoilpaddle.state.catalogue import Count, Name, Positive, ServiceKind
from trefoilpaddle.state.settings import Fencing

EXAMPLES: Final = Path(__file__).resolve().parents[3] / "examples"

_STRICT: Final = ConfigDict(extra="forbid", frozen=True)

PublishedValues = dict[str, dict[str, object]]
"""Catalogue values by key."""


@unique
class CatalogueKind(StrEnum):
    """Kinds of published keys, in a valid order of publication."""

    ACCOUNT = "account"
    SERVICE = "service"
    PIPELINE = "pipeline"
    ENTRY = "entry"


@dataclass(slots=True, kw_only=True, config=_STRICT)
class ServiceDescription:
    """Targets of one service.

    Parameters
    ----------
    name : str
        Name in the catalogue; targets are named ``NAME-1`` and so on.
    kind : ServiceKind
        Kind of the service, which selects the stand-in.
    n_targets : int
        Number of targets.
    fencing : Fencing
        Whether engines refuse orders with an old fencing number.
    stand_in : dict
        Parameters of the stand-in's model.
    """

    name: Name
    kind: ServiceKind
    n_targets: Count
    fencing: Fencing = Fencing.CHECKED
    stand_in: dict[str, int | float | bool | str] = Field(default_factory=dict)

    def targets(self) -> list[str]:
        """Return the names of the targets."""
        return [f"{self.name}-{i + 1}" for i in range(self.n_targets)]


@dataclass(slots=True, kw_only=True, config=_STRICT)
class Sample:
    """One request that the demo sends.

    Parameters
    ----------
    title : str
        Title to print.
    pipeline, account, class_of_work : str
        Names in the catalogue.
    input : str
        File under ``examples/inputs``; JSON if its name ends in ``.json``,
        otherwise text.
    is_streamed : bool
        Whether a streamed answer is requested.
    has_minted_id : bool
        Whether a request id is obtained first and sent with the request, so that
        a retry cannot run it twice.
    """

    title: str
    pipeline: Name
    account: Name
    class_of_work: Name
    input: Annotated[str, Field(pattern=r"^[\w.-]+$")]
    is_streamed: bool = False
    has_minted_id: bool = False


@dataclass(slots=True, kw_only=True, config=_STRICT)
class Description:
    """A deployment: its processes, and the requests of the demo.

    Parameters
    ----------
    name : str
        Name of the deployment.
    region : str
        Region of the deployment.
    failure_domains : tuple of str
        Gateways and targets are assigned to them in turn.
    n_gateways : int
        Number of gateways, each on its own entry host.
    hosts_lag_s : float
        Delay of the host list.
    reads_per_s : float
        Rate limit of the configuration service, in reads per second.
    services : tuple of ServiceDescription
        Services and their targets.
    samples : tuple of Sample
        Requests that the demo sends.
    """

    name: Name
    region: Name = "r1"
    failure_domains: Annotated[tuple[Name, ...], Field(min_length=1)]
    n_gateways: Count
    hosts_lag_s: Annotated[float, Field(ge=0.0)] = 0.5
    reads_per_s: Positive = 2000.0
    services: Annotated[tuple[ServiceDescription, ...], Field(min_length=1)]
    samples: tuple[Sample, ...] = ()

    def domain(self, process_index: int) -> str:
        """Return the failure domain of a process by its index, counted from 0."""
        return self.failure_domains[process_index % len(self.failure_domains)]


_DESCRIPTION: Final = TypeAdapter(Description)


def load_description(folder: Path) -> Description:
    """Return the deployment described in `folder`.

    Raises
    ------
    OSError, tomllib.TOMLDecodeError, pydantic.ValidationError
        If the file is missing or invalid.
    """
    table = tomllib.loads((folder / "deployment.toml").read_text())
    return _DESCRIPTION.validate_python(table)


def load_catalogue(folder: Path) -> PublishedValues:
    """Return the values in ``catalogue/*.json`` in a valid order of publication.

    Raises
    ------
    OSError, json.JSONDecodeError
        If a file cannot be read.
    """
    values: PublishedValues = {}
    for path in sorted((folder / "catalogue").glob("*.json")):
        values |= json.loads(path.read_text())
    order = [kind.value for kind in CatalogueKind]
    keys = sorted(values, key=lambda key: order.index(key.partition("/")[0]))
    return {key: values[key] for key in keys}
