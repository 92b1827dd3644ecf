"""Logging: short messages, prefixed with the name of the component.

The program id and request id are bound to the task that serves a call, so
that all its lines include them. Bodies and secrets are never logged.
"""

import logging
import sys
from contextlib import AbstractContextManager
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger, Message, Record

_TEXT_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {extra[part]}:"
    " {extra[sentence]}{extra[ids]}\n{exception}"
)
_PART_FIELD = "part"
_FORMAT_FIELDS = (_PART_FIELD, "sentence", "ids")


class _JsonLine(msgspec.Struct, omit_defaults=True):
    """One log line in JSON."""

    time: str
    level: str
    part: str
    message: str
    program: str = ""
    request: str = ""
    exception: str = ""


def configure_logs(log_format: str, level: str) -> None:
    """Sends all logs, including those of libraries, to standard error.

    Args:
        log_format: ``text`` or ``json``.
        level: Minimum level logged, such as ``INFO``.
    """
    logger.remove()
    logger.configure(extra={_PART_FIELD: "daemon"})
    # Without diagnose=False, tracebacks show the values of variables, which
    # include bodies and secrets.
    if log_format == "json":
        logger.add(_write_json, level=level, format="{message}", diagnose=False)
    else:
        logger.add(sys.stderr, level=level, format=_text_format, diagnose=False)
    logging.basicConfig(handlers=[_ForwardHandler()], level=level, force=True)


def part_logger(part: str) -> "Logger":
    """Returns the logger of a component, whose name prefixes each line."""
    return logger.bind(part=part)


def log_ids(program: str, request: str) -> AbstractContextManager[None]:
    """Adds ids to all lines that this task logs within the context.

    Args:
        program: Id of the program, or empty.
        request: Id of the request.
    """
    return logger.contextualize(program=program, request=request)


class _ForwardHandler(logging.Handler):
    """Forwards records of the standard library's loggers to loguru."""

    def emit(self, record: logging.LogRecord) -> None:
        """Logs a record with its logger's top-level name as component."""
        part = part_logger(record.name.split(".")[0])
        part.opt(exception=record.exc_info).log(
            record.levelname, "{}", record.getMessage()
        )


def _extract_ids(record: "Record") -> dict[str, str]:
    return {
        name: str(value)
        for name, value in record["extra"].items()
        if name not in _FORMAT_FIELDS and value
    }


def _text_format(record: "Record") -> str:
    # Each message stays on one line: with a line break in it, text from an
    # endpoint would look like a log line of this process.
    extra = record["extra"]
    extra["sentence"] = record["message"].replace("\n", " ")
    ids = " ".join(
        f"{name}={value}" for name, value in _extract_ids(record).items()
    )
    extra["ids"] = f" [{ids}]" if ids else ""
    return _TEXT_FORMAT


def _write_json(message: "Message") -> None:
    record = message.record
    _, _, trace = str(message).partition("Traceback (most recent call last)")
    ids = _extract_ids(record)
    line = _JsonLine(
        time=record["time"].isoformat(timespec="milliseconds"),
        level=record["level"].name,
        part=record["extra"][_PART_FIELD],
        message=record["message"],
        program=ids.get("program", ""),
        request=ids.get("request", ""),
        exception=f"Traceback{trace}" if trace else "",
    )
    sys.stderr.write(msgspec.json.encode(line).decode() + "\n")
