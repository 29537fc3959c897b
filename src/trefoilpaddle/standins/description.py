"""A deployment as described in ``examples/NAME/deployment.toml``."""

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
    """Kinds of published keys, in the order in which they can be published."""

    ACCOUNT = "account"
    SERVICE = "service"
    PIPELINE = "pipeline"
    ENTRY = "entry"


@dataclass(slots=True, kw_only=True, config=_STRICT)
class ServiceDescription:
    """One service's targets.

    Parameters
    ----------
    name : str
        As in the catalogue; targets are called ``NAME-1`` and so on.
    kind : ServiceKind
        Which stand-in plays them.
    n_targets : int
        How many.
    fencing : Fencing
        Of engines: whether they refuse orders with an old fencing number.
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
        What it is, for a person.
    pipeline, account, class_of_work : str
        As in the catalogue.
    input : str
        File under ``examples/inputs``; JSON if it ends so, else text.
    is_streamed : bool
        Whether the answer is asked for as a stream.
    has_minted_id : bool
        Whether an id is asked for first and sent with the request, so that a
        retry cannot run it twice.
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
    """A deployment: who serves it, and what the demo asks of it.

    Parameters
    ----------
    name : str
        Name of the deployment.
    region : str
        Where it stands.
    failure_domains : tuple of str
        Targets and gateways are spread over them in turn.
    n_gateways : int
        Entry hosts.
    hosts_lag_s : float
        How late the host list is.
    reads_per_s : float
        Reads that the configuration service bears.
    services : tuple of ServiceDescription
        Targets.
    samples : tuple of Sample
        What the demo sends.
    """

    name: Name
    region: Name = "r1"
    failure_domains: Annotated[tuple[Name, ...], Field(min_length=1)]
    n_gateways: Count
    hosts_lag_s: Annotated[float, Field(ge=0.0)] = 0.5
    reads_per_s: Positive = 2000.0
    services: Annotated[tuple[ServiceDescription, ...], Field(min_length=1)]
    samples: tuple[Sample, ...] = ()

    def domain(self, place: int) -> str:
        """Return the failure domain of the process at `place`, counted from 0."""
        return self.failure_domains[place % len(self.failure_domains)]


_DESCRIPTION: Final = TypeAdapter(Description)


def load_description(folder: Path) -> Description:
    """Return the deployment described in `folder`.

    Raises
    ------
    OSError, tomllib.TOMLDecodeError, pydantic.ValidationError
        If the file is missing or wrong.
    """
    table = tomllib.loads((folder / "deployment.toml").read_text())
    return _DESCRIPTION.validate_python(table)


def load_catalogue(folder: Path) -> PublishedValues:
    """Return the values in ``catalogue/*.json`` in an order to publish them in.

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
