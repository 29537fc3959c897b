"""Types of single settings; their errors state what is accepted."""

import ipaddress
from typing import Annotated, Final
from urllib.parse import urlsplit

from pydantic import AfterValidator
from pydantic_core import PydanticCustomError

ADDRESS: Final = "IP:PORT, such as 10.0.0.7:7400; port 0 takes a free one"
URL: Final = "http://HOST:PORT or https://HOST:PORT without a path"


def _address(text: str) -> str:
    ip, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(ip.removeprefix("[").removesuffix("]"))
        is_port = port.isdecimal() and int(port) < 65536
    except ValueError:
        is_port = False
    if not is_port:
        raise _refused("address", "is no address", ADDRESS)
    return text


def _url(text: str) -> str:
    try:
        parts = urlsplit(text)
        is_url = parts.scheme in {"http", "https"} and bool(parts.hostname)
        is_bare = not (parts.path or parts.query or parts.fragment)
        _ = parts.port  # raises for a port out of bounds
    except ValueError:
        is_url = is_bare = False
    if not (is_url and is_bare):
        raise _refused("url", "is no URL of a service", URL)
    return text


def _url_or_empty(text: str) -> str:
    return _url(text) if text else text


def _refused(kind: str, detail: str, accepted: str) -> PydanticCustomError:
    return PydanticCustomError(kind, detail, {"accepted": accepted})


AddressText = Annotated[str, AfterValidator(_address)]
"""``ip:port`` on which a process listens."""

Url = Annotated[str, AfterValidator(_url)]
"""URL of a service, without a path."""

OptionalUrl = Annotated[str, AfterValidator(_url_or_empty)]
"""As `Url`, or empty if there is no such service."""
