"""Log lines on standard output, one for each event, as key=value or JSON."""

import logging as python_logging
import time
from typing import Any, Final, assert_never

import orjson
from absl import flags, logging

from .journal import Batch, Record, valid_text
from .log_format import LogFormat
from .log_limit import LineLimit
from .log_stream import LogStream

STDOUT_FD: Final = 1
"""Standard output, written without Python's own buffer, which may block."""

LEVELS: Final = {
    "DEBUG": "debug",
    "INFO": "info",
    "WARNING": "warning",
    "ERROR": "error",
    "CRITICAL": "error",
}


class LineFormatter(python_logging.Formatter):
    """Formats a record as one line with its time, level and process.

    Parameters
    ----------
    process_id : str
        Id of this process, on each line.
    format : LogFormat
        Format of the line.
    """

    def __init__(self, *, process_id: str, format: LogFormat) -> None:
        super().__init__()
        self._process_id = process_id
        self._format = format
        self._second = -1
        self._second_text = ""

    def format(self, record: python_logging.LogRecord) -> str:
        """Return the line of `record`, or one for each decision of its batch."""
        if isinstance(record.msg, Batch):
            return "\n".join(map(self._decision_line, record.msg.records))
        return self._message_line(record)

    def _decision_line(self, record: Record) -> str:
        match self._format:
            case LogFormat.KEY_VALUE:
                return f"{self._head(record.wall_s, 'info')} {record.decision}"
            case LogFormat.JSON:
                return self._json(record.wall_s, "info", record.decision.as_dict())
            case _:
                assert_never(self._format)

    def _message_line(self, record: python_logging.LogRecord) -> str:
        level = LEVELS.get(record.levelname, "info")
        text = self._text(record)
        match self._format:
            case LogFormat.KEY_VALUE:
                quoted = orjson.dumps(text).decode()
                return f"{self._head(record.created, level)} message={quoted}"
            case LogFormat.JSON:
                return self._json(record.created, level, {"message": text})
            case _:
                assert_never(self._format)

    def _text(self, record: python_logging.LogRecord) -> str:
        text = record.getMessage()
        if record.exc_info:
            text += "\n" + self.formatException(record.exc_info)
        return valid_text(text)

    def _head(self, wall_s: float, level: str) -> str:
        return f"time={self._time(wall_s)} level={level} process={self._process_id}"

    def _json(self, wall_s: float, level: str, fields: dict[str, Any]) -> str:
        head = {
            "time": self._time(wall_s),
            "level": level,
            "process": self._process_id,
        }
        return orjson.dumps(head | fields).decode()

    def _time(self, wall_s: float) -> str:
        """Return the time `wall_s` in UTC with milliseconds."""
        second = int(wall_s)
        if second != self._second:  # formatted once per second
            self._second = second
            self._second_text = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(second))
        return f"{self._second_text}.{int((wall_s - second) * 1000):03d}Z"


def set_up(*, format: LogFormat, verbosity: str, process_id: str) -> None:
    """Send the log to standard output in the chosen format.

    Parameters
    ----------
    format : LogFormat
        Format of the lines.
    verbosity : str
        Lowest level that is written.
    process_id : str
        Id of this process, on each line.
    """
    # absl warns on each line until its flags are parsed, and fire parses the flags.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(verbosity)
    logging.set_stderrthreshold("fatal")
    handler = logging.get_absl_handler()
    stream = LogStream(fd=STDOUT_FD)
    handler.python_handler.stream = stream
    handler.python_handler.filters = [LineLimit(stream=stream)]
    handler.setFormatter(LineFormatter(process_id=process_id, format=format))
