"""The ``rattanmill`` command, for operators; see ``main``."""
