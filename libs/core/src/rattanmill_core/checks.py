"""Reads plain tables into structs and tells every error, not just the first.

A person who mends a file wants all that is wrong in one go: where it stands,
what was found and what is allowed.
"""

import math
from typing import Any, TypeVar, get_args

import msgspec
import msgspec.inspect as mi

_S = TypeVar("_S", bound=msgspec.Struct)
_SHOWN_LETTERS = 60


def read_struct(value: object, struct: type[_S]) -> _S | list[str]:
    """Returns the struct, or a sentence for each error in ``value``."""
    errors = _errors(value, struct, "")
    return errors or msgspec.convert(value, struct)


def allowed(hint: Any) -> str:
    """Returns in words what values a type takes."""
    return _words(mi.type_info(hint))


def _words(kind: mi.Type) -> str:
    match kind:
        case mi.Metadata(extra_json_schema={"description": str(words)}):
            return words
        case mi.Metadata(type=inner):
            return _words(inner)
        case mi.FloatType():
            return "a number" + _bounds(kind)
        case mi.IntType():
            return "a whole number" + _bounds(kind)
        case mi.StrType(max_length=int(most)):
            return f"text of at most {most} letters"
        case mi.StrType():
            return "text"
        case mi.BoolType():
            return "true or false"
        case mi.ListType(item_type=item):
            return f"a list, each {_words(item)}"
        case mi.UnionType(types=types):
            return " or ".join(_words(t) for t in types)
        case mi.LiteralType(values=values):
            return ", ".join(map(repr, values))
        case mi.EnumType(cls=cls):
            return ", ".join(str(member.value) for member in cls)
        case mi.StructType() | mi.DictType():
            return "a table"
    return type(kind).__name__.removesuffix("Type").lower()


def _bounds(kind: mi.IntType | mi.FloatType) -> str:
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


def _errors(value: object, hint: Any, path: str) -> list[str]:
    match mi.type_info(hint):
        case mi.StructType(cls=cls):
            return _struct_errors(value, cls, path)
        case mi.DictType():
            return _dict_errors(value, hint, path)
    # TOML has inf and nan, which JSON cannot carry: they would be stored as
    # null and every instance would refuse the document.
    finite = not isinstance(value, float) or math.isfinite(value)
    try:
        msgspec.convert(value, hint)
    except msgspec.ValidationError:
        finite = False
    return [] if finite else [_wrong(path, value, hint)]


def _struct_errors(
    value: object, struct: type[msgspec.Struct], path: str
) -> list[str]:
    if not isinstance(value, dict):
        return [_wrong(path, value, struct)]
    fields = {f.encode_name: f for f in msgspec.structs.fields(struct)}
    known = ", ".join(fields)
    errors = [
        f"{_join(path, name)}: is not known; allowed: {known}"
        for name in value
        if name not in fields
    ]
    errors += [
        f"{_join(path, name)}: is missing; allowed: {allowed(field.type)}"
        for name, field in fields.items()
        if field.required and name not in value
    ]
    return errors + [
        error
        for name, field in fields.items()
        if name in value
        for error in _errors(value[name], field.type, _join(path, name))
    ]


def _dict_errors(value: object, hint: Any, path: str) -> list[str]:
    if not isinstance(value, dict):
        return [_wrong(path, value, hint)]
    key_hint, value_hint = get_args(hint)
    return [
        error
        for name, inner in value.items()
        for error in (
            _errors(name, key_hint, f"{path} (name)")
            + _errors(inner, value_hint, _join(path, str(name)))
        )
    ]


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _wrong(path: str, value: object, hint: Any) -> str:
    shown = repr(value)
    if len(shown) > _SHOWN_LETTERS:
        shown = shown[:_SHOWN_LETTERS] + "..."
    where = f"{path}: " if path else ""
    return f"{where}{shown}; allowed: {allowed(hint)}"
