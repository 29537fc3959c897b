"""Format of log lines; separate from the settings, whose import is slow."""

from enum import StrEnum, unique


@unique
class LogFormat(StrEnum):
    """Format of a log line."""

    KEY_VALUE = "key_value"
    JSON = "json"
