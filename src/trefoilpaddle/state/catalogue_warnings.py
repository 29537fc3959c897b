"""Warnings about a valid catalogue whose values cannot work as written."""

from collections import defaultdict
from collections.abc import Iterator

from .catalogue import Catalogue, Entry
from .problems import Problem


def catalogue_warnings(catalogue: Catalogue) -> Iterator[Problem]:
    """Yield a warning for each value that cannot work as written or is unused."""
    for name in sorted(catalogue.entries):
        entry = catalogue.entries[name]
        if not entry.accounts or not entry.pipelines:
            yield _warning(
                f"entry/{name}", "", "", "names no account or no pipeline", "both"
            )
        yield from _limit_warnings(name, entry, catalogue)
        yield from _shadow_warnings(name, entry, catalogue)
    yield from _floor_warnings(catalogue)
    yield from _unused_warnings(catalogue)


def _limit_warnings(name: str, entry: Entry, catalogue: Catalogue) -> Iterator[Problem]:
    limits = entry.limits
    if limits.rate_per_s is not None and limits.rate_per_s * limits.burst_s < 1:
        yield _warning(
            f"entry/{name}",
            "limits.burst_s",
            limits.burst_s,
            "holds less than one request, so a request waits for the rate",
            f"at least {1 / limits.rate_per_s:g}",
        )
    if limits.tokens_per_s is None:
        return
    for pipeline in entry.pipelines:
        stages = catalogue.pipelines[pipeline].stages
        n_tokens = sum(stage.max_tokens for stage in stages)
        if n_tokens > limits.tokens_per_s * entry.deadline_s:
            yield _warning(
                f"entry/{name}",
                "limits.tokens_per_s",
                limits.tokens_per_s,
                f"one longest answer of pipeline {pipeline} has {n_tokens} tokens"
                f" and cannot be had within deadline_s = {entry.deadline_s:g}",
                f"at least {n_tokens / entry.deadline_s:g}",
            )


def _shadow_warnings(
    name: str, entry: Entry, catalogue: Catalogue
) -> Iterator[Problem]:
    """Yield a warning if an earlier entry governs all requests of this one."""
    for earlier in sorted(catalogue.entries):
        if earlier >= name:
            return
        other = catalogue.entries[earlier]
        if (
            entry.accounts
            and set(entry.accounts) <= set(other.accounts)
            and set(entry.pipelines) <= set(other.pipelines)
            and entry.class_of_work == other.class_of_work
        ):
            yield _warning(
                f"entry/{name}",
                "",
                "",
                f"never governs: entry {earlier} comes first by name and matches"
                " all of its accounts and pipelines in the same class of work",
                "another class of work, accounts or pipelines",
            )


def _floor_warnings(catalogue: Catalogue) -> Iterator[Problem]:
    floors: dict[str, dict[str, float]] = defaultdict(dict)
    for name, entry in catalogue.entries.items():
        for pipeline in entry.pipelines:
            for stage in catalogue.pipelines[pipeline].stages:
                floors[stage.service][name] = entry.floor_share
    for service in sorted(floors):
        promised = sum(floors[service].values())
        if promised > 1:
            yield _warning(
                f"service/{service}",
                "",
                "",
                f"entries {', '.join(sorted(floors[service]))} together are promised"
                f" {promised:g} of each target by floor_share",
                "floors that sum to at most 1",
            )


def _unused_warnings(catalogue: Catalogue) -> Iterator[Problem]:
    entries = catalogue.entries.values()
    accounts = {account for entry in entries for account in entry.accounts}
    pipelines = {pipeline for entry in entries for pipeline in entry.pipelines}
    for account in sorted(catalogue.accounts.keys() - accounts):
        yield _warning(
            f"account/{account}", "", "", "is in no entry", "an entry with it"
        )
    for pipeline in sorted(catalogue.pipelines.keys() - pipelines):
        yield _warning(
            f"pipeline/{pipeline}", "", "", "is in no entry", "an entry with it"
        )


def _warning(
    source: str, key: str, value: object, detail: str, accepted: str
) -> Problem:
    return Problem(
        source=source, key=key, value=str(value), detail=detail, accepted=accepted
    )
