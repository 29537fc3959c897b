"""Log lines on standard error: one for each event, key=value or JSON."""

import datetime
import logging as python_logging
from typing import Any, Final, assert_never

import orjson
from absl import flags, logging

from .journal import Decision
from .settings import LogFormat, LogSettings

LEVELS: Final = {
    "DEBUG": "debug",
    "INFO": "info",
    "WARNING": "warning",
    "ERROR": "error",
    "CRITICAL": "error",
}


class LineFormatter(python_logging.Formatter):
    """Writes a record as one line with its time, level and process.

    Parameters
    ----------
    process_id : str
        Written on each line.
    format : LogFormat
        How the line is written.
    """

    def __init__(self, *, process_id: str, format: LogFormat) -> None:
        super().__init__()
        self._process_id = process_id
        self._format = format

    def format(self, record: python_logging.LogRecord) -> str:
        """Return the line of `record`, without its line end."""
        match self._format:
            case LogFormat.KEY_VALUE:
                return self._key_value(record)
            case LogFormat.JSON:
                return self._json(record)
            case _:
                assert_never(self._format)

    def _key_value(self, record: python_logging.LogRecord) -> str:
        head = f"time={_time(record)} level={_level(record)} process={self._process_id}"
        if isinstance(record.msg, Decision):
            return f"{head} {record.msg}"
        return f"{head} message={_quoted(self._text(record))}"

    def _json(self, record: python_logging.LogRecord) -> str:
        line: dict[str, Any] = {
            "time": _time(record),
            "level": _level(record),
            "process": self._process_id,
        }
        if isinstance(record.msg, Decision):
            line |= record.msg.as_dict()
        else:
            line["message"] = self._text(record)
        return orjson.dumps(line, default=str).decode()

    def _text(self, record: python_logging.LogRecord) -> str:
        text = record.getMessage()
        if record.exc_info:
            text += "\n" + self.formatException(record.exc_info)
        return text


def set_up(*, settings: LogSettings, process_id: str) -> None:
    """Send the log to standard error in the chosen format."""
    # absl warns on each line before its flags are parsed; fire parses ours.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(settings.verbosity)
    logging.set_stderrthreshold("debug")
    formatter = LineFormatter(process_id=process_id, format=settings.format)
    logging.get_absl_handler().setFormatter(formatter)


def _time(record: python_logging.LogRecord) -> str:
    moment = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
    return moment.isoformat(timespec="milliseconds").removesuffix("+00:00") + "Z"


def _level(record: python_logging.LogRecord) -> str:
    return LEVELS.get(record.levelname, "info")


def _quoted(text: str) -> str:
    """Return `text` as one word of one line, whatever it holds."""
    return orjson.dumps(text).decode()
