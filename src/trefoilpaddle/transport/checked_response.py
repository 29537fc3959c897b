"""Rejects responses whose heads HTTP does not allow and the library parses."""

import re
from typing import TYPE_CHECKING, Final, Self

import aiohttp
from absl import logging

if TYPE_CHECKING:
    from aiohttp.connector import Connection

FINAL_STATUSES: Final = range(200, 600)
"""Statuses with which HTTP ends an exchange; no protocol here switches to another."""

CONTROL_BYTE: Final = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")

LOG_PERIOD_S: Final = 1.0


class CheckedResponse(aiohttp.ClientResponse):
    """A response whose status is a final one, and whose headers can be passed on.

    The library's parser accepts any number of three digits, and control bytes in
    values. What is passed on or taken as a statement must be an answer, whatever else
    its head says.
    """

    async def start(self, connection: "Connection") -> Self:
        """Read the head of the response.

        Raises
        ------
        aiohttp.ClientResponseError
            If its status is not a final one, or a header has a control byte.
        """
        await super().start(connection)
        problem = self._problem()
        if not problem:
            return self
        logging.log_every_n_seconds(
            logging.WARNING,
            "a response of %s:%s is rejected: %s",
            LOG_PERIOD_S,
            self.url.host,
            self.url.port,
            problem,
        )
        raise aiohttp.ClientResponseError(
            self.request_info,
            self.history,
            status=self.status,
            message=problem,
            headers=self.headers,
        )

    def _problem(self) -> str:
        """Return why HTTP does not allow the head; an empty text if it does."""
        if self.status not in FINAL_STATUSES:
            return f"its status is {self.status:03d}"
        for name, value in self.raw_headers:
            if CONTROL_BYTE.search(value):
                return f"its header {name!r} has a control byte"
        return ""
