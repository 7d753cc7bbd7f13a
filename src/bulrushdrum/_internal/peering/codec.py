"""The encoding of messages with Cap'n Proto.

>>> decode(encode(messages.RecordsAck(batch=7)))
RecordsAck(batch=7)

Undecodable bytes raise `FrameError`.
"""

from collections.abc import Callable
from operator import attrgetter
from pathlib import Path
from typing import NamedTuple, get_args, get_origin

import capnp

from bulrushdrum._internal.peering import messages
from bulrushdrum._internal.peering.errors import FrameError

capnp.remove_import_hook()
_WIRE = capnp.load(str(Path(__file__).with_name("wire.capnp")))

_UNION_NAMES: dict[type, str] = {
    messages.Hello: "hello",
    messages.Welcome: "welcome",
    messages.Proof: "proof",
    messages.Describe: "describe",
    messages.Beat: "beat",
    messages.Open: "open",
    messages.Opened: "opened",
    messages.Steps: "steps",
    messages.Tokens: "tokens",
    messages.Close: "close",
    messages.AttemptFailed: "attemptFailed",
    messages.Call: "call",
    messages.CallResult: "callResult",
    messages.Resolve: "resolve",
    messages.ConfigEntries: "configEntries",
    messages.ConfigQuery: "configQuery",
    messages.ConfigConfirm: "configConfirm",
    messages.PermitBorrow: "permitBorrow",
    messages.PermitLoan: "permitLoan",
    messages.PermitReturn: "permitReturn",
    messages.EntrySetAck: "entrySetAck",
    messages.RecordCopies: "recordCopies",
    messages.RecordsAck: "recordsAck",
    messages.RecordsFlushed: "recordsFlushed",
    messages.Suspects: "suspects",
    messages.OrderLeaseRequest: "orderLeaseRequest",
    messages.OrderLease: "orderLease",
    messages.Desired: "desired",
    messages.Rejected: "rejected",
    messages.Resolved: "resolved",
    messages.CacheEvents: "cacheEvents",
    messages.DumpQuery: "dumpQuery",
    messages.Dump: "dump",
    messages.EntrySetQuery: "entrySetQuery",
    messages.EntrySetValue: "entrySetValue",
    messages.LoansQuery: "loansQuery",
    messages.LoansHeld: "loansHeld",
}
_MESSAGE_TYPES = {name: kind for kind, name in _UNION_NAMES.items()}


def _camel(name):
    head, *rest = name.split("_")
    return head + "".join(part.capitalize() for part in rest)


class _Plain(NamedTuple):
    """A field whose value is taken over as it is."""

    name: str


class _Items(NamedTuple):
    """A list of numbers or texts; `bounds` is None for texts."""

    name: str
    bounds: tuple[int, int] | None


class _Nested(NamedTuple):
    """A message inside the message."""

    name: str
    kind: type


class _NestedItems(NamedTuple):
    """A list of messages."""

    name: str
    kind: type


class _Layout(NamedTuple):
    """How the fields of a message are read and written."""

    plain: tuple  # (index, wire name)
    bounds: tuple  # (index, lowest, highest) of each integer
    special: tuple  # (index, field)
    read: Callable  # all fields of a reader as a tuple


# Cap'n Proto raises its exceptions with a stack trace, and walking the stack of a
# greenlet reads memory that belongs to another: the process ends with a segmentation
# fault. Integers are therefore checked here and never by Cap'n Proto.
_BOUNDS = {
    "uint8": (0, 2**8 - 1),
    "uint16": (0, 2**16 - 1),
    "uint32": (0, 2**32 - 1),
    "uint64": (0, 2**64 - 1),
}


def _bounds(kind, wire_name):
    """Return the lowest and highest value of an integer field, or None."""
    wire_type = getattr(_WIRE, kind.__name__).schema.fields[wire_name].proto.slot.type
    if wire_type.which() == "list":
        wire_type = wire_type.list.elementType
    return _BOUNDS.get(str(wire_type.which()))


def _field(kind, name, annotation):
    nested = [arg for arg in get_args(annotation) if hasattr(arg, "_fields")]
    if get_origin(annotation) is tuple:
        if nested:
            return _NestedItems(_camel(name), nested[0])
        return _Items(_camel(name), _bounds(kind, _camel(name)))
    return _Nested(_camel(name), nested[0]) if nested else _Plain(_camel(name))


def _layout(kind):
    fields = tuple(_field(kind, *item) for item in kind.__annotations__.items())
    names = [field.name for field in fields]
    single = attrgetter(names[0])
    plain, bounds, special = [], [], []
    for index, field in enumerate(fields):
        if isinstance(field, _Plain):
            plain.append((index, field.name))
            limits = _bounds(kind, field.name)
            if limits is not None:
                bounds.append((index, *limits))
        else:
            special.append((index, field))
    # attrgetter with one name returns the value itself, not a tuple.
    read = attrgetter(*names) if len(names) > 1 else lambda reader: (single(reader),)
    return _Layout(tuple(plain), tuple(bounds), tuple(special), read)


_LAYOUTS = {
    kind: _layout(kind)
    for kind in vars(messages).values()
    if isinstance(kind, type) and hasattr(kind, "_fields")
}


def _check_all(values, low, high):
    if min(values) < low or max(values) > high:
        raise OverflowError(f"a value of {values!r} is not in {low}..{high}")


def _write(builder, message):
    layout = _LAYOUTS[type(message)]
    for index, low, high in layout.bounds:
        if not low <= message[index] <= high:
            raise OverflowError(f"{message[index]!r} is not in {low}..{high}")
    for index, name in layout.plain:
        setattr(builder, name, message[index])
    for index, field in layout.special:
        value = message[index]
        match field:
            case _Items(name, limits) if value:
                if limits is not None:
                    _check_all(value, *limits)
                items = builder.init(name, len(value))
                for position, item in enumerate(value):
                    items[position] = item
            case _NestedItems(name) if value:
                items = builder.init(name, len(value))
                for position, item in enumerate(value):
                    _write(items[position], item)
            case _Nested(name) if value is not None:
                _write(builder.init(name), value)


def _read(kind, reader):
    layout = _LAYOUTS[kind]
    values = layout.read(reader)
    if layout.special:
        values = list(values)
        for index, field in layout.special:
            match field:
                case _Items():
                    values[index] = tuple(values[index])
                case _Nested():
                    values[index] = _read(field.kind, values[index])
                case _NestedItems():
                    values[index] = tuple(
                        _read(field.kind, item) for item in values[index]
                    )
    return kind._make(values)


def encode(message: messages.Message) -> bytes:
    """Return the bytes of the frame that carries `message`.

    A field whose value does not fit its type in `wire.capnp` raises `FrameError`.
    """
    try:
        frame = _WIRE.Frame.new_message()
        _write(frame.init(_UNION_NAMES[type(message)]), message)
        return frame.to_bytes_packed()
    except (capnp.KjException, TypeError, OverflowError, KeyError) as error:
        raise FrameError(f"cannot encode {message!r}: {error}") from error


def decode(data: bytes) -> messages.Message:
    """Return the message in `data`, or raise `FrameError`.

    Bytes that may be malformed must not be decoded in a greenlet, see `_BOUNDS`.
    """
    try:
        frame = _WIRE.Frame.from_bytes_packed(data)
        name = str(frame.which())
        return _read(_MESSAGE_TYPES[name], getattr(frame, name))
    except (capnp.KjException, KeyError, ValueError, UnicodeDecodeError) as error:
        raise FrameError(
            f"frame of {len(data)} bytes cannot be decoded: {error}"
        ) from error
