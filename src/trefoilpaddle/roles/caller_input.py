"""Reading and validation of callers' requests, within configured bounds."""

import asyncio
import hashlib
import math
import time
from collections.abc import Callable, Iterable, Iterator
from typing import Final

import orjson
from aiohttp import web
from result import Err, Ok, Result

from ..coordination.claims.claim_registry import new_try_id
from ..coordination.requests.request import Request
from ..coordination.targets.stage_body import Json
from ..protocol.checksum import checksum
from ..protocol.errors import NotRun
from ..protocol.ids import RequestId
from ..protocol.reasons import Reason
from ..state.catalogue import Pipeline
from ..state.governing import Governing, GoverningIndex
from ..state.published import Published
from ..state.settings import CallerSettings

BODY_TIMEOUT_S: Final = 10.0
MAX_KEY_CHARS: Final = 128
MAX_ID_CHARS: Final = 200
DEFAULT_PRIORITY: Final = 5
MAX_PRIORITY: Final = 9
STEP: Final = "read"
SSE_TYPE: Final = "text/event-stream"
BEARER: Final = "Bearer "


class CallerInput:
    """Converts a caller's HTTP request to a validated request.

    Parameters
    ----------
    settings : CallerSettings
        The bounds on requests.
    published : Published
        Provides the active catalogue.
    index : GoverningIndex
        Finds the governing entry of a request and the account of a token.
    generate_id : callable
        Returns a new request id.
    """

    __slots__ = ("_generate_id", "_index", "_published", "_settings")

    def __init__(
        self,
        *,
        settings: CallerSettings,
        published: Published,
        index: GoverningIndex,
        generate_id: Callable[[], str],
    ) -> None:
        self._settings = settings
        self._published = published
        self._index = index
        self._generate_id = generate_id

    async def read(self, http: web.Request) -> Result[Request, NotRun]:
        """Return the validated request, or why it is refused."""
        received_s = time.monotonic()
        match self.account(http):
            case Err(error):
                return Err(error)
            case Ok(account):
                pass
        match self._governing(http, account):
            case Err(error):
                return Err(error)
            case Ok(governing):
                pass
        # Looked up before the body is read: a publication may remove the pipeline
        # during the read, and the request keeps the pipeline it was accepted for.
        pipeline = self._published.catalogue.pipelines[http.match_info["pipeline"]]
        match await self._body(http):
            case Err(error):
                return Err(error)
            case Ok(body):
                pass
        return self._request(http, account, governing, pipeline, body, received_s)

    def account(self, http: web.Request) -> Result[str, NotRun]:
        """Return the client account of the caller's token or of its header."""
        authorization = http.headers.get("Authorization", "")
        if authorization.startswith(BEARER):
            token = authorization.removeprefix(BEARER).strip()
            digest = hashlib.sha256(token.encode()).hexdigest()
            account = self._index.account_of(digest)
            if account is not None:
                return Ok(account)
            return _refuse(Reason.UNAUTHORISED, "The bearer token is not known.")
        account = http.headers.get("X-Client-Account", "")
        if self._settings.require_tokens or not account:
            header = "Authorization: Bearer TOKEN"
            if not self._settings.require_tokens:
                header += " or X-Client-Account"
            return _refuse(Reason.UNAUTHORISED, f"Send the header {header}.")
        return Ok(account)

    def _governing(self, http: web.Request, account: str) -> Result[Governing, NotRun]:
        catalogue = self._published.catalogue
        name = http.match_info["pipeline"]
        if catalogue.revision == 0:
            return Err(
                NotRun(
                    reason=Reason.NO_CONFIGURATION,
                    step=STEP,
                    peer="",
                    detail="No catalogue is in force here yet.",
                    retry_after_s=1.0,
                )
            )
        if name not in catalogue.pipelines:
            return _refuse(
                Reason.UNKNOWN_PIPELINE, f"No pipeline {name[:64]!r} is published."
            )
        class_of_work = http.headers.get("X-Class-Of-Work")
        governing = self._index.governing(
            account=account, pipeline=name, class_of_work=class_of_work
        )
        if governing is None:
            return _refuse(
                Reason.NO_ENTRY,
                f"No entry allows client account {account[:64]!r} pipeline {name}"
                + (f" as {class_of_work[:64]!r}." if class_of_work else "."),
            )
        return Ok(governing)

    async def _body(self, http: web.Request) -> Result[bytes, NotRun]:
        if http.headers.get("Content-Encoding", "identity") != "identity":
            return _refuse(
                Reason.BAD_REQUEST, "Send the body without Content-Encoding."
            )
        limit = self._settings.max_body_bytes
        try:
            if http.content.is_eof():  # the complete body has already arrived
                return Ok(await http.read())
            async with asyncio.timeout(BODY_TIMEOUT_S):
                return Ok(await http.read())
        except web.HTTPRequestEntityTooLarge:
            return _refuse(Reason.TOO_LARGE, f"The body is larger than {limit} bytes.")
        except TimeoutError:
            return _refuse(
                Reason.BAD_REQUEST, f"The body took over {BODY_TIMEOUT_S:g} s."
            )

    def _request(
        self,
        http: web.Request,
        account: str,
        governing: Governing,
        pipeline: Pipeline,
        body: bytes,
        received_s: float,
    ) -> Result[Request, NotRun]:
        try:
            deadline_s = received_s + self._deadline_s(http, governing)
            priority = _priority(http)
            key = _key(http)
            named_id = _named_id(http)
            input_value = self._input(http, body)
        except ValueError as error:
            return _refuse(Reason.BAD_REQUEST, str(error))
        name = http.match_info["pipeline"]
        request_id = named_id or self._generate_id()
        return Ok(
            Request(
                request_id=request_id,
                account=account,
                pipeline_name=name,
                pipeline=pipeline,
                governing=governing,
                input=input_value,
                n_input_bytes=len(body),
                fingerprint=checksum(f"{account}\0{name}\0".encode() + body),
                try_id=new_try_id(request_id),
                key=key or named_id,
                is_key_generated=bool(named_id) and not key,
                priority=priority,
                deadline_s=deadline_s,
                is_streamed=SSE_TYPE in http.headers.get("Accept", ""),
            )
        )

    def _deadline_s(self, http: web.Request, governing: Governing) -> float:
        max_s = min(governing.entry.deadline_s, self._settings.max_deadline_s)
        text = http.headers.get("X-Deadline-S")
        if text is None:
            return max_s
        try:
            requested_s = float(text)
        except ValueError:
            requested_s = math.nan
        if not (math.isfinite(requested_s) and requested_s > 0):
            raise ValueError("X-Deadline-S must be a number of seconds above 0.")
        return min(requested_s, max_s)

    def _input(self, http: web.Request, body: bytes) -> Json:
        if http.content_type != "application/json":
            try:
                return body.decode()
            except UnicodeDecodeError:
                raise ValueError("A raw body must be UTF-8 text.") from None
        try:
            value = orjson.loads(body)
        except orjson.JSONDecodeError as error:
            raise ValueError(f"The body is not JSON: {error}.") from None
        if not isinstance(value, dict):
            raise ValueError("A JSON body must be an object.")
        if depth_exceeds(value, self._settings.max_json_depth):
            raise ValueError(
                f"The JSON is nested deeper than {self._settings.max_json_depth}."
            )
        return value


def depth_exceeds(value: Json, max_depth: int) -> bool:
    """Return True if containers in `value` are nested deeper than `max_depth`."""
    level = list(_containers([value]))
    depth = 0
    while level:
        depth += 1
        if depth > max_depth:
            return True
        level = [inner for outer in level for inner in _containers(outer)]
    return False


def _containers(outer: Iterable[Json]) -> Iterator[Iterable[Json]]:
    for item in outer:
        match item:
            case dict():
                yield item.values()
            case list():
                yield item


def _priority(http: web.Request) -> int:
    text = http.headers.get("X-Priority")
    if text is None:
        return DEFAULT_PRIORITY
    if not (text.isascii() and text.isdigit() and int(text[:4]) <= MAX_PRIORITY):
        raise ValueError(f"X-Priority must be 0 to {MAX_PRIORITY}.")
    return int(text)


def _key(http: web.Request) -> str:
    key = http.headers.get("Idempotency-Key")
    if key is None:
        return ""
    is_printable = key.isascii() and key.isprintable()
    if not (is_printable and 1 <= len(key) <= MAX_KEY_CHARS):
        raise ValueError(
            f"Idempotency-Key must be 1 to {MAX_KEY_CHARS} printable characters."
        )
    return key


def _named_id(http: web.Request) -> str:
    text = http.headers.get("X-Request-Id", "")
    if text and (len(text) > MAX_ID_CHARS or RequestId.parse(text).is_err()):
        raise ValueError("X-Request-Id must be an id from POST /v1/requests.")
    return text


def _refuse(reason: Reason, detail: str) -> Err[NotRun]:
    return Err(NotRun(reason=reason, step=STEP, peer="", detail=detail))
