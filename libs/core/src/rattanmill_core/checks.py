"""Converts plain tables to structs and reports all errors, not just the first.

A person who corrects a file needs all errors at once: the location of each,
the value found and the values allowed.
"""

import math
from typing import Any, TypeVar, get_args

import msgspec
import msgspec.inspect as mi

_S = TypeVar("_S", bound=msgspec.Struct)
_MAX_SHOWN_CHARACTERS = 60


def read_struct(value: object, struct: type[_S]) -> _S | list[str]:
    """Converts plain data to a struct.

    Args:
        value: Tables, lists and values, as read from JSON or TOML.
        struct: Type to convert to.

    Returns:
        The struct, or one message for each error in ``value``.
    """
    errors = _find_errors(value, struct, "")
    return errors or msgspec.convert(value, struct)


def allowed(hint: Any) -> str:
    """Describes the values that a type accepts."""
    return _describe(mi.type_info(hint))


def _describe(kind: mi.Type) -> str:
    match kind:
        case mi.Metadata(extra_json_schema={"description": str(words)}):
            return words
        case mi.Metadata(type=inner):
            return _describe(inner)
        case mi.FloatType():
            return "a number" + _describe_bounds(kind)
        case mi.IntType():
            return "a whole number" + _describe_bounds(kind)
        case mi.StrType(max_length=int(max_length)):
            return f"text of at most {max_length} characters"
        case mi.StrType():
            return "text"
        case mi.BoolType():
            return "true or false"
        case mi.ListType(item_type=item):
            return f"a list, each {_describe(item)}"
        case mi.UnionType(types=types):
            return " or ".join(_describe(t) for t in types)
        case mi.LiteralType(values=values):
            return ", ".join(map(repr, values))
        case mi.EnumType(cls=cls):
            return ", ".join(str(member.value) for member in cls)
        case mi.StructType() | mi.DictType():
            return "a table"
    return type(kind).__name__.removesuffix("Type").lower()


def _describe_bounds(kind: mi.IntType | mi.FloatType) -> str:
    if kind.ge is not None and kind.le is not None:
        return f" from {kind.ge} to {kind.le}"
    words = [
        f"{word} {bound}"
        for word, bound in (
            ("above", kind.gt),
            ("from", kind.ge),
            ("below", kind.lt),
            ("up to", kind.le),
        )
        if bound is not None
    ]
    return "".join((" ", " and ".join(words))) if words else ""


def _find_errors(value: object, hint: Any, path: str) -> list[str]:
    match mi.type_info(hint):
        case mi.StructType(cls=cls):
            return _find_struct_errors(value, cls, path)
        case mi.DictType():
            return _find_dict_errors(value, hint, path)
    # TOML allows inf and nan, but JSON does not: they would be stored as null,
    # and every instance would reject the document.
    finite = not isinstance(value, float) or math.isfinite(value)
    try:
        msgspec.convert(value, hint)
    except msgspec.ValidationError:
        finite = False
    return [] if finite else [_format_error(path, value, hint)]


def _find_struct_errors(
    value: object, struct: type[msgspec.Struct], path: str
) -> list[str]:
    if not isinstance(value, dict):
        return [_format_error(path, value, struct)]
    fields = {f.encode_name: f for f in msgspec.structs.fields(struct)}
    known = ", ".join(fields)
    errors = [
        f"{_join_path(path, name)}: is not known; allowed: {known}"
        for name in value
        if name not in fields
    ]
    errors += [
        f"{_join_path(path, name)}: is missing; allowed: {allowed(field.type)}"
        for name, field in fields.items()
        if field.required and name not in value
    ]
    return errors + [
        error
        for name, field in fields.items()
        if name in value
        for error in _find_errors(
            value[name], field.type, _join_path(path, name)
        )
    ]


def _find_dict_errors(value: object, hint: Any, path: str) -> list[str]:
    if not isinstance(value, dict):
        return [_format_error(path, value, hint)]
    key_hint, value_hint = get_args(hint)
    return [
        error
        for name, inner in value.items()
        for error in (
            _find_errors(name, key_hint, f"{path} (name)")
            + _find_errors(inner, value_hint, _join_path(path, str(name)))
        )
    ]


def _join_path(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _format_error(path: str, value: object, hint: Any) -> str:
    shown = repr(value)
    if len(shown) > _MAX_SHOWN_CHARACTERS:
        shown = shown[:_MAX_SHOWN_CHARACTERS] + "..."
    where = f"{path}: " if path else ""
    return f"{where}{shown}; allowed: {allowed(hint)}"
