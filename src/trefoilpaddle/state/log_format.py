"""How log lines are written; apart from the settings, which are slow to import."""

from enum import StrEnum, unique


@unique
class LogFormat(StrEnum):
    """How a line is written."""

    KEY_VALUE = "key_value"
    JSON = "json"
