"""Customer contracts, which define the limits and shares of each customer.

>>> contract = parse_contract({"customer": "warwick", "share": 2, "concurrency": 8})
>>> contract.share
2.0
"""

import hashlib
import json
import re
from typing import NamedTuple

from bulrushdrum._internal.world.errors import InvalidContract

MAX_CONCURRENCY = 10_000
MAX_SHARE = 1_000_000.0
HIGHEST_PRIORITY = 9
CUSTOMER_PATTERN = re.compile(r"[a-z0-9][a-z0-9_.-]{0,63}")
_HASH_PATTERN = re.compile(r"[0-9a-f]{64}")
_KIND_PATTERN = re.compile(
    r"chat:[^\s:]{1,64}|[a-z0-9_.-]{1,64}:[A-Z]{1,16} /\S{0,255}"
)


class Contract(NamedTuple):
    """One customer's contract.

    `share` is a weight relative to other customers. `priority` ranges from 0 to 9;
    higher priorities are served first. `concurrency` limits the requests in progress
    across all entries. `non_idempotent` lists the kinds of requests that run at most
    once, as `chat:<kind>` or `<service>:<METHOD> <path prefix>`. `api_key_hashes` are
    SHA-256 hashes in hexadecimal.
    """

    customer: str
    share: float = 1.0
    priority: int = 4
    concurrency: int = 16
    non_idempotent: tuple[str, ...] = ()
    api_key_hashes: tuple[str, ...] = ()
    home_region: str = ""

    def is_non_idempotent_chat(self, kind: str) -> bool:
        return f"chat:{kind}" in self.non_idempotent

    def is_non_idempotent_call(self, service: str, method: str, path: str) -> bool:
        call = f"{service}:{method} {path}"
        return any(
            call == kind or call.startswith(kind.rstrip("/") + "/")
            for kind in self.non_idempotent
            if not kind.startswith("chat:")
        )


def hash_api_key(api_key: str) -> str:
    """Return the hash of `api_key` as stored in `Contract.api_key_hashes`."""
    return hashlib.sha256(api_key.encode()).hexdigest()


def _check_number(raw, name, accepted_types, low, high, problems):
    value = raw[name]
    valid = isinstance(value, accepted_types) and not isinstance(value, bool)
    if not valid or not low <= value <= high:
        problems.append(f"{name}: {value!r} is not a number between {low} and {high}")


def _check_strings(raw, name, pattern, example, problems):
    values = raw[name]
    if not isinstance(values, (list, tuple)):
        problems.append(f"{name}: {values!r} is not a list")
        return
    for value in values:
        if not isinstance(value, str) or not pattern.fullmatch(value):
            problems.append(f"{name}: {value!r} is not like {example!r}")


def parse_contract(raw: dict) -> Contract:
    """Validate an untrusted contract; raises `InvalidContract` listing all problems."""
    if not isinstance(raw, dict):
        raise InvalidContract([f"{raw!r} is not an object"])
    problems = [
        f"{name}: unknown field, known are {', '.join(Contract._fields)}"
        for name in raw
        if name not in Contract._fields
    ]
    values = {**Contract._field_defaults, **raw}
    customer = values.get("customer")
    if not isinstance(customer, str) or not CUSTOMER_PATTERN.fullmatch(customer):
        problems.append(f"customer: {customer!r} is not like 'warwick-market'")
    _check_number(values, "share", (int, float), 0.001, MAX_SHARE, problems)
    _check_number(values, "priority", int, 0, HIGHEST_PRIORITY, problems)
    _check_number(values, "concurrency", int, 1, MAX_CONCURRENCY, problems)
    example = "ledger:POST /payments"
    _check_strings(values, "non_idempotent", _KIND_PATTERN, example, problems)
    _check_strings(values, "api_key_hashes", _HASH_PATTERN, "ab12... (64)", problems)
    if not isinstance(values["home_region"], str):
        problems.append(f"home_region: {values['home_region']!r} is not a string")
    if problems:
        raise InvalidContract(problems)
    return Contract(
        customer,
        float(values["share"]),
        values["priority"],
        values["concurrency"],
        tuple(values["non_idempotent"]),
        tuple(values["api_key_hashes"]),
        values["home_region"],
    )


def encode_contract(contract: Contract) -> str:
    """Serialize a contract to the compact JSON stored in the table."""
    return json.dumps(contract._asdict(), separators=(",", ":"))


def decode_contract(text: str) -> Contract:
    """Parse the output of `encode_contract`."""
    return parse_contract(json.loads(text))
