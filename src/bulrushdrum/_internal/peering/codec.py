"""Encodes messages as Cap'n Proto frames and decodes them.

>>> decode(encode(shared_state_messages.RecordsAck(batch=7)))
RecordsAck(batch=7)

Bytes that cannot be decoded raise `FrameError`.
"""

from collections.abc import Callable
from operator import attrgetter
from pathlib import Path
from typing import NamedTuple, get_args, get_origin

import capnp

from bulrushdrum._internal.peering import (
    process_messages,
    request_messages,
    shared_state_messages,
)
from bulrushdrum._internal.peering.errors import FrameError
from bulrushdrum._internal.peering.messages import Message

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name("wire.capnp")))

# Packing adds at most a sixteenth; pointers between segments add up to one word for
# each pointer, which `total_size` does not count.
_PACKED_WORDS_PER_WORD = 2
# Holds the root pointer and the table of segments.
_SPARE_PACKED_WORDS = 128

_UNION_NAMES: dict[type, str] = {
    process_messages.Hello: "hello",
    process_messages.Welcome: "welcome",
    process_messages.Proof: "proof",
    process_messages.Describe: "describe",
    process_messages.Beat: "beat",
    request_messages.Open: "open",
    request_messages.Opened: "opened",
    request_messages.Steps: "steps",
    request_messages.Tokens: "tokens",
    request_messages.Close: "close",
    request_messages.AttemptFailed: "attemptFailed",
    request_messages.Call: "call",
    request_messages.CallResult: "callResult",
    request_messages.Resolve: "resolve",
    shared_state_messages.ConfigEntries: "configEntries",
    shared_state_messages.ConfigQuery: "configQuery",
    shared_state_messages.ConfigConfirm: "configConfirm",
    shared_state_messages.PermitBorrow: "permitBorrow",
    shared_state_messages.PermitLoan: "permitLoan",
    shared_state_messages.PermitReturn: "permitReturn",
    shared_state_messages.EntrySetAck: "entrySetAck",
    shared_state_messages.RecordCopies: "recordCopies",
    shared_state_messages.RecordsAck: "recordsAck",
    shared_state_messages.RecordsFlushed: "recordsFlushed",
    shared_state_messages.Suspects: "suspects",
    shared_state_messages.OrderLeaseRequest: "orderLeaseRequest",
    shared_state_messages.OrderLease: "orderLease",
    shared_state_messages.Desired: "desired",
    process_messages.Rejected: "rejected",
    request_messages.Resolved: "resolved",
    process_messages.CacheEvents: "cacheEvents",
    process_messages.DumpQuery: "dumpQuery",
    process_messages.Dump: "dump",
    shared_state_messages.EntrySetQuery: "entrySetQuery",
    shared_state_messages.EntrySetValue: "entrySetValue",
    shared_state_messages.LoansQuery: "loansQuery",
    shared_state_messages.LoansHeld: "loansHeld",
}
_MESSAGE_TYPES = {name: message_type for message_type, name in _UNION_NAMES.items()}


def _to_camel_case(name):
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


class _ScalarField(NamedTuple):
    """A number, text or byte string, which needs no conversion."""

    name: str


class _ListField(NamedTuple):
    """A list of integers or texts; `value_range` is None for texts."""

    name: str
    value_range: tuple[int, int] | None


class _StructField(NamedTuple):
    """A nested struct; None leaves it unset."""

    name: str
    message_type: type


class _StructListField(NamedTuple):
    """A list of structs."""

    name: str
    message_type: type


class _MessageLayout(NamedTuple):
    """How the fields of a message type are read and written.

    An index is the position of a field in the named tuple.
    """

    scalars: tuple  # (index, name in the schema)
    integer_ranges: tuple  # (index, lowest value, highest value) of integer scalars
    composites: tuple  # (index, field) of lists and structs
    read_fields: Callable  # returns all fields of a reader as a tuple


# Cap'n Proto captures a stack trace when it raises an exception. In a greenlet this
# reads memory beyond the greenlet's stack, and the process ends with a segmentation
# fault. Integers are therefore range-checked here and never by Cap'n Proto.
_INTEGER_RANGES = {
    "uint8": (0, 2**8 - 1),
    "uint16": (0, 2**16 - 1),
    "uint32": (0, 2**32 - 1),
    "uint64": (0, 2**64 - 1),
}


def _integer_range(message_type, schema_name):
    """Return the lowest and highest value of an integer field or integer list.

    None means that its values are not integers.
    """
    schema_type = (
        getattr(_SCHEMA, message_type.__name__)
        .schema.fields[schema_name]
        .proto.slot.type
    )
    if schema_type.which() == "list":
        schema_type = schema_type.list.elementType
    return _INTEGER_RANGES.get(str(schema_type.which()))


def _build_field(message_type, name, annotation):
    nested = [arg for arg in get_args(annotation) if hasattr(arg, "_fields")]
    if get_origin(annotation) is tuple:
        if nested:
            return _StructListField(_to_camel_case(name), nested[0])
        return _ListField(
            _to_camel_case(name), _integer_range(message_type, _to_camel_case(name))
        )
    return (
        _StructField(_to_camel_case(name), nested[0])
        if nested
        else _ScalarField(_to_camel_case(name))
    )


def _build_layout(message_type):
    fields = tuple(
        _build_field(message_type, *item)
        for item in message_type.__annotations__.items()
    )
    names = [field.name for field in fields]
    read_only_field = attrgetter(names[0])
    scalars, integer_ranges, composites = [], [], []
    for index, field in enumerate(fields):
        if isinstance(field, _ScalarField):
            scalars.append((index, field.name))
            value_range = _integer_range(message_type, field.name)
            if value_range is not None:
                integer_ranges.append((index, *value_range))
        else:
            composites.append((index, field))
    # With a single name, attrgetter returns the value instead of a tuple.
    read_fields = (
        attrgetter(*names)
        if len(names) > 1
        else lambda reader: (read_only_field(reader),)
    )
    return _MessageLayout(
        tuple(scalars), tuple(integer_ranges), tuple(composites), read_fields
    )


_MESSAGE_LAYOUTS = {
    message_type: _build_layout(message_type)
    for module in (process_messages, request_messages, shared_state_messages)
    for message_type in vars(module).values()
    if isinstance(message_type, type) and hasattr(message_type, "_fields")
}


def _check_range(values, low, high):
    if min(values) < low or max(values) > high:
        raise OverflowError(f"{values!r} has a value outside {low}..{high}")


def _write(builder, message):
    layout = _MESSAGE_LAYOUTS[type(message)]
    for index, low, high in layout.integer_ranges:
        if not low <= message[index] <= high:
            raise OverflowError(f"{message[index]!r} is outside {low}..{high}")
    for index, name in layout.scalars:
        setattr(builder, name, message[index])
    for index, field in layout.composites:
        value = message[index]
        match field:
            case _ListField(name, value_range) if value:
                if value_range is not None:
                    _check_range(value, *value_range)
                items = builder.init(name, len(value))
                for position, item in enumerate(value):
                    items[position] = item
            case _StructListField(name) if value:
                items = builder.init(name, len(value))
                for position, item in enumerate(value):
                    _write(items[position], item)
            case _StructField(name) if value is not None:
                _write(builder.init(name), value)


def _read(message_type, reader):
    layout = _MESSAGE_LAYOUTS[message_type]
    values = layout.read_fields(reader)
    if layout.composites:
        values = list(values)
        for index, field in layout.composites:
            match field:
                case _ListField():
                    values[index] = tuple(values[index])
                case _StructField():
                    values[index] = _read(field.message_type, values[index])
                case _StructListField():
                    values[index] = tuple(
                        _read(field.message_type, item) for item in values[index]
                    )
    return message_type._make(values)


def encode(message: Message) -> bytes:
    """Return `message` encoded as a packed frame.

    Raises `FrameError` if a value does not fit the type of its field in `wire.capnp`.
    """
    try:
        frame = _SCHEMA.Frame.new_message()
        _write(frame.init(_UNION_NAMES[type(message)]), message)
        # `to_bytes_packed` raises a KjException, and then retries with a larger buffer,
        # if the packed frame is larger than the message, as with bytes that hold no
        # zeros. In a greenlet, raising one can crash the process, see
        # `_INTEGER_RANGES`. The buffer given here is always large enough.
        words = _PACKED_WORDS_PER_WORD * frame.total_size.word_count
        return frame._to_bytes_packed_helper(words + _SPARE_PACKED_WORDS)
    except (capnp.KjException, TypeError, OverflowError, KeyError) as error:
        raise FrameError(f"cannot encode {message!r}: {error}") from error


def decode(data: bytes) -> Message:
    """Decode one packed frame. Raises `FrameError` if `data` is malformed.

    Untrusted bytes must not be decoded in a greenlet, see `_INTEGER_RANGES`.
    """
    try:
        frame = _SCHEMA.Frame.from_bytes_packed(data)
        name = str(frame.which())
        return _read(_MESSAGE_TYPES[name], getattr(frame, name))
    except (capnp.KjException, KeyError, ValueError, UnicodeDecodeError) as error:
        raise FrameError(
            f"frame of {len(data)} bytes cannot be decoded: {error}"
        ) from error
