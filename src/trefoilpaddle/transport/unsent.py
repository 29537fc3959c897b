"""Check whether a caller's connection has unsent parts of an answer."""

from aiohttp import web


def has_unsent(connection: web.RequestHandler) -> bool:
    """Return True if part of an answer is still in the send buffer."""
    transport = connection.transport
    return transport is not None and transport.get_write_buffer_size() > 0
