"""Whether a connection of a caller still holds a part of an answer."""

from aiohttp import web


def has_unsent(connection: web.RequestHandler) -> bool:
    """Return True if a part of an answer has not left this process yet."""
    transport = connection.transport
    return transport is not None and transport.get_write_buffer_size() > 0
