"""Logging: short sentences with a fixed prefix for each part.

Ids of program and request are bound to the task that serves a call, so that
every line it writes carries them. Bodies and secrets are never logged.
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
_PART = "part"
_OWN = (_PART, "sentence", "ids")


class _Line(msgspec.Struct, omit_defaults=True):
    """One line of a log in JSON."""

    time: str
    level: str
    part: str
    message: str
    program: str = ""
    request: str = ""
    exception: str = ""


def configure_logs(log_format: str, level: str) -> None:
    """Sends logs to standard error, the libraries' own among them.

    Args:
        log_format: ``text`` or ``json``.
        level: Least level shown, such as ``INFO``.
    """
    logger.remove()
    logger.configure(extra={_PART: "daemon"})
    # Without diagnose=False, a traceback shows the values of variables, and
    # bodies and secrets with them.
    if log_format == "json":
        logger.add(_write_json, level=level, format="{message}", diagnose=False)
    else:
        logger.add(sys.stderr, level=level, format=_text_format, diagnose=False)
    logging.basicConfig(handlers=[_Forward()], level=level, force=True)


def part_logger(part: str) -> "Logger":
    """Returns the logger of one part, whose name prefixes each line."""
    return logger.bind(part=part)


def log_ids(program: str, request: str) -> AbstractContextManager[None]:
    """Binds ids to all that this task logs in the context.

    Args:
        program: Id of the program, or empty.
        request: Id of the request.
    """
    return logger.contextualize(program=program, request=request)


class _Forward(logging.Handler):
    """Brings records of the standard library's loggers into ours."""

    def emit(self, record: logging.LogRecord) -> None:
        """Logs a record under its logger's name."""
        part = part_logger(record.name.split(".")[0])
        part.opt(exception=record.exc_info).log(
            record.levelname, "{}", record.getMessage()
        )


def _ids(record: "Record") -> dict[str, str]:
    return {
        name: str(value)
        for name, value in record["extra"].items()
        if name not in _OWN and value
    }


def _text_format(record: "Record") -> str:
    # One line for each message: a line break in what an endpoint said would
    # look like a line of ours.
    extra = record["extra"]
    extra["sentence"] = record["message"].replace("\n", " ")
    ids = " ".join(f"{name}={value}" for name, value in _ids(record).items())
    extra["ids"] = f" [{ids}]" if ids else ""
    return _TEXT_FORMAT


def _write_json(message: "Message") -> None:
    record = message.record
    _, _, trace = str(message).partition("Traceback (most recent call last)")
    ids = _ids(record)
    line = _Line(
        time=record["time"].isoformat(timespec="milliseconds"),
        level=record["level"].name,
        part=record["extra"][_PART],
        message=record["message"],
        program=ids.get("program", ""),
        request=ids.get("request", ""),
        exception=f"Traceback{trace}" if trace else "",
    )
    sys.stderr.write(msgspec.json.encode(line).decode() + "\n")
