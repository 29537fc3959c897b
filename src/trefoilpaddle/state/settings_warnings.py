"""Warnings about valid settings that cannot work as written."""

from collections.abc import Iterator

from .problems import Problem
from .settings import GatewaySettings, SidecarSettings


def settings_warnings(
    settings: GatewaySettings | SidecarSettings, *, source: str
) -> Iterator[Problem]:
    """Yield a warning for each setting that cannot work as written."""
    if not settings.peers.seeds:
        yield Problem(
            source=source,
            key="peers.seeds",
            value="()",
            detail="a start while the configuration service is down finds no peer",
            accepted="the listen addresses of a few processes",
        )
    match settings:
        case GatewaySettings(callers=callers, stop=stop):
            longest_s = callers.max_deadline_s
            if stop.drain_s < longest_s:
                yield Problem(
                    source=source,
                    key="stop.drain_s",
                    value=f"{stop.drain_s:g}",
                    detail="a planned stop can cut off a request that still has time",
                    accepted=f"at least callers.max_deadline_s, {longest_s:g}",
                )
            if not callers.require_tokens:
                yield Problem(
                    source=source,
                    key="callers.require_tokens",
                    value="false",
                    detail="whoever reaches the port can act for any client account",
                    accepted="true, but on closed networks",
                )
