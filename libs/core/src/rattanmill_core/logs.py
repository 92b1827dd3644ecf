"""Logging: short sentences with a fixed prefix for each part."""

import sys
from typing import TYPE_CHECKING

from loguru import logger

if TYPE_CHECKING:
    from loguru import Logger

_TEXT_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {extra[part]}: {message}"
)


def configure_logs(log_format: str, level: str) -> None:
    """Sends logs to standard error.

    Args:
        log_format: ``text`` or ``json``.
        level: Least level shown, such as ``INFO``.
    """
    logger.remove()
    logger.configure(extra={"part": "daemon"})
    if log_format == "json":
        logger.add(sys.stderr, level=level, serialize=True)
    else:
        logger.add(sys.stderr, level=level, format=_TEXT_FORMAT)


def part_logger(part: str) -> "Logger":
    """Returns the logger of one part, whose name prefixes each line."""
    return logger.bind(part=part)
