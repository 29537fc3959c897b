"""Rejects responses whose status HTTP does not define as a final one."""

from typing import TYPE_CHECKING, Final, Self

import aiohttp
from absl import logging

if TYPE_CHECKING:
    from aiohttp.connector import Connection

FINAL_STATUSES: Final = range(200, 600)
"""Statuses with which HTTP ends an exchange; no protocol here switches to another."""

LOG_PERIOD_S: Final = 1.0


class CheckedResponse(aiohttp.ClientResponse):
    """A response whose status HTTP defines as a final one.

    The library's parser accepts any number of three digits. What is passed on or taken
    as a statement must be an answer, whatever else its head says.
    """

    async def start(self, connection: "Connection") -> Self:
        """Read the head of the response.

        Raises
        ------
        aiohttp.ClientResponseError
            If its status is not a final one.
        """
        await super().start(connection)
        if self.status not in FINAL_STATUSES:
            logging.log_every_n_seconds(
                logging.WARNING,
                "a response of %s:%s with the status %03d is rejected",
                LOG_PERIOD_S,
                self.url.host,
                self.url.port,
                self.status,
            )
            raise aiohttp.ClientResponseError(
                self.request_info,
                self.history,
                status=self.status,
                message="not a final status",
                headers=self.headers,
            )
        return self
