"""The `bulrushdrum` commands for operators.

Exit codes: 0 success, 1 failed or refused, 2 usage error, 3 conflict with another edit,
4 outcome unknown.
"""

import json
import secrets
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal

from cyclopts import App, Parameter

from bulrushdrum import __version__
from bulrushdrum._internal.operator.client import OperatorClient
from bulrushdrum._internal.operator.errors import EXIT_FAILED, CommandFailed
from bulrushdrum._internal.operator.output import (
    describe_edit,
    flatten,
    to_json,
    to_table,
)
from bulrushdrum._internal.records.report import (
    render_csv,
    render_table,
    report_of_json,
)
from bulrushdrum._internal.world.contracts import hash_api_key
from bulrushdrum._internal.world.upstreams import DesiredState

app = App(
    name="bulrushdrum",
    help="Route model pipelines over mixed accelerators.",
    version=__version__,
    result_action="return_value",
)
contracts = App(name="contracts", help="Show and change the customers' contracts.")
upstreams = App(name="upstreams", help="Show and change the upstreams.")
app.command(contracts)
app.command(upstreams)
app.register_install_completion_command()


@Parameter(name="*")
@dataclass(frozen=True)
class Connection:
    """Options for connecting to an entry."""

    operator: Annotated[str, Parameter(env_var="BULRUSHDRUM_OPERATOR")] = ""
    "Operator address of any entry, like 10.0.0.7:7102."
    key: Annotated[str, Parameter(env_var="BULRUSHDRUM_OPERATOR_KEY")] = ""
    "Operator key. Prefer the environment variable: other users can see the flags."
    json: Annotated[bool, Parameter(negative="")] = False
    "Print the result as JSON."

    def client(self) -> OperatorClient:
        return OperatorClient(self.operator, self.key)

    def print_result(self, response: dict, text: str):
        print(to_json(response) if self.json else text)


_DEFAULT_CONNECTION = Connection()


@contracts.command(name="list")
def list_contracts(
    *, prefix: str = "", connection: Connection = _DEFAULT_CONNECTION
) -> None:
    """List the contracts in force at the entry.

    Parameters
    ----------
    prefix
        List only customers whose names start with this prefix.
    """
    client, rows, after = connection.client(), [], ""
    while True:
        page = client.get("contracts", prefix=prefix, after=after)
        rows += page["contracts"]
        if not page["more"]:
            break
        after = rows[-1]["contract"]["customer"]
    header = ("CUSTOMER", "SHARE", "PRIORITY", "CONCURRENCY", "KEYS", "REVISION")
    table = [
        (
            row["contract"]["customer"],
            f"{row['contract']['share']:g}",
            row["contract"]["priority"],
            row["contract"]["concurrency"],
            len(row["contract"]["api_key_hashes"]),
            row["revision"],
        )
        for row in rows
    ]
    connection.print_result(
        {"revision": page["revision"], "contracts": rows}, to_table(header, table)
    )


@contracts.command(name="show")
def show_contract(
    customer: str, *, connection: Connection = _DEFAULT_CONNECTION
) -> None:
    """Show one customer's contract and its revision."""
    row = connection.client().get("contracts", customer)
    pairs = [("revision", row["revision"]), *row["contract"].items()]
    connection.print_result(row, _format_properties(pairs))


@contracts.command(name="set")
def set_contract(
    customer: str,
    *,
    share: float | None = None,
    priority: int | None = None,
    concurrency: int | None = None,
    non_idempotent: list[str] | None = None,
    home_region: str | None = None,
    api_key_hash: Annotated[list[str] | None, Parameter(negative="")] = None,
    remove_api_key_hash: Annotated[list[str] | None, Parameter(negative="")] = None,
    new_api_key: Annotated[bool, Parameter(negative="")] = False,
    file: Path | None = None,
    expected_revision: int | None = None,
    connection: Connection = _DEFAULT_CONNECTION,
) -> None:
    """Create or change a contract; fields that are not given keep their values.

    Parameters
    ----------
    share
        Weight relative to other customers.
    priority
        From 0 to 9, higher first.
    concurrency
        Maximum number of requests in progress across all entries.
    non_idempotent
        Kinds that run at most once, like chat:pay or "ledger:POST /payments"; replaces
        the list.
    home_region
        Region whose entries own the customer's permits.
    api_key_hash
        SHA-256 of an API key to add.
    remove_api_key_hash
        SHA-256 of an API key to remove.
    new_api_key
        Generate an API key, add its hash to the contract and print the key once.
    file
        JSON file with the whole contract; other options are applied on top of it.
    expected_revision
        Refuse the change if the contract is not at this revision; by default, the
        revision read just before the change.
    """
    client = connection.client()
    revision, contract = _current_contract(client, customer)
    if file is not None:
        contract = _read_json(file)
    changes = {
        "share": share,
        "priority": priority,
        "concurrency": concurrency,
        "non_idempotent": non_idempotent,
        "home_region": home_region,
    }
    contract |= {name: value for name, value in changes.items() if value is not None}
    contract.setdefault("customer", customer)
    current_hashes = contract.get("api_key_hashes", [])
    if not isinstance(current_hashes, list):
        raise CommandFailed("usage", f"{file}: api_key_hashes is not a list")
    hashes = [
        item for item in current_hashes if item not in (remove_api_key_hash or [])
    ]
    api_key = f"bd-{secrets.token_urlsafe(32)}" if new_api_key else ""
    added = [*(api_key_hash or []), *([hash_api_key(api_key)] if api_key else [])]
    contract["api_key_hashes"] = hashes + [item for item in added if item not in hashes]
    response = client.edit(
        "contracts",
        customer,
        contract=contract,
        expected_revision=revision if expected_revision is None else expected_revision,
    )
    text = describe_edit(f"contract of {customer}", response)
    if api_key:
        response["api_key"] = api_key
        text += f"\nAPI key, shown only now: {api_key}"
    connection.print_result(response, text)


@upstreams.command(name="list")
def list_upstreams(*, connection: Connection = _DEFAULT_CONNECTION) -> None:
    """List all upstreams with their desired state and the state the entry sees."""
    response = connection.client().get("upstreams")
    header = ("UPSTREAM", "STATE", "SERVES", "DATA CENTRE", "DESIRED", "REVISION")
    table = [
        (
            row["upstream"],
            seen.get("state", "not connected"),
            seen.get("service") or _describe_model(seen),
            seen.get("data_centre", ""),
            "serving" if row["desired"]["serving"] else "stopped",
            row["revision"],
        )
        for row in response["upstreams"]
        for seen in (row["seen"] or {},)
    ]
    connection.print_result(response, to_table(header, table))


@upstreams.command(name="state")
def show_upstream(
    upstream: str, *, connection: Connection = _DEFAULT_CONNECTION
) -> None:
    """Show the desired state of an upstream and the state the entry sees."""
    row = connection.client().get("upstreams", upstream)
    connection.print_result(row, _format_properties(flatten(row)))


@upstreams.command(name="start")
def start_upstream(
    upstream: str, *, connection: Connection = _DEFAULT_CONNECTION
) -> None:
    """Allow an upstream to accept new work."""
    _edit_upstream(upstream, connection, None, {"serving": True})


@upstreams.command(name="stop")
def stop_upstream(
    upstream: str, *, connection: Connection = _DEFAULT_CONNECTION
) -> None:
    """Stop sending new work to an upstream; running work is completed."""
    _edit_upstream(upstream, connection, None, {"serving": False})


@upstreams.command(name="set")
def set_upstream(
    upstream: str,
    *,
    model: str | None = None,
    model_version: str | None = None,
    adapter: list[str] | None = None,
    role: str | None = None,
    expected_revision: int | None = None,
    connection: Connection = _DEFAULT_CONNECTION,
) -> None:
    """Set the desired model, version, adapters or role of an upstream.

    Parameters
    ----------
    adapter
        Replaces the list of adapters.
    expected_revision
        Refuse the change if the upstream is not at this revision; by default, the
        revision read just before the change.
    """
    options = {
        "model": model,
        "model_version": model_version,
        "adapters": adapter,
        "role": role,
    }
    changes = {name: value for name, value in options.items() if value is not None}
    if not changes:
        raise CommandFailed("usage", "nothing to set; see upstreams set --help")
    _edit_upstream(upstream, connection, expected_revision, changes)


@app.command
def report(
    customer: str,
    *,
    from_: Annotated[str, Parameter(name="--from")] = "",
    to: str = "",
    format: Literal["table", "json", "csv"] = "table",
    connection: Connection = _DEFAULT_CONNECTION,
) -> None:
    """Report a customer's delivered, refused and delayed work.

    Parameters
    ----------
    from_
        Start time, like 2026-12-04 or 2026-12-04T10:00:00Z; by default one day before
        the end.
    to
        End time, exclusive; by default now.
    """
    query = {"from": from_, "to": to}
    response = connection.client().get("report", customer, **query)
    if connection.json or format == "json":
        print(to_json(response))
        return
    render = render_csv if format == "csv" else render_table
    print(render(report_of_json(response)), end="")


@app.command
def dump(*, node: str = "", connection: Connection = _DEFAULT_CONNECTION) -> None:
    """Print the state of the entry or of a process connected to it.

    Parameters
    ----------
    node
        Name of the other process.
    """
    print(to_json(connection.client().get("dump", node=node)))


@app.command
def check_settings(role: Literal["entry", "sidecar"], file: str) -> int:
    """Check a settings file without starting a process."""
    from bulrushdrum._internal.operator.roles import load_settings
    from bulrushdrum._internal.settings.errors import SettingsError

    try:
        load_settings(role, file)
    except SettingsError as error:
        for problem in error.problems:
            print(f"{file}: {problem}", file=sys.stderr)
        return EXIT_FAILED
    print(f"{file}: valid settings of {role}")
    return 0


@app.command
def entry(*, settings: str) -> int:
    """Run an entry until SIGTERM."""
    from bulrushdrum._internal.operator.roles import run_role

    return run_role("entry", settings)


@app.command
def sidecar(*, settings: str) -> int:
    """Run the process beside an upstream until SIGTERM."""
    from bulrushdrum._internal.operator.roles import run_role

    return run_role("sidecar", settings)


def run_commands(arguments: list[str]) -> int:
    """Run one command and return its exit code."""
    try:
        return app(arguments) or 0
    except CommandFailed as error:
        if "--json" in arguments:
            print(json.dumps({"error": error.body}), file=sys.stderr)
        else:
            print(f"{error.body['code']}: {error}", file=sys.stderr)
            if error.body["code"] == "conflict":
                current = to_json(error.body["value"])
                print(
                    f"revision {error.body['revision']} has:\n{current}",
                    file=sys.stderr,
                )
        return error.exit_code


def _current_contract(client, customer) -> tuple[int, dict[str, Any]]:
    try:
        row = client.get("contracts", customer)
    except CommandFailed as error:
        if error.body["code"] != "not_found":
            raise
        return 0, {}
    return row["revision"], row["contract"]


def _edit_upstream(upstream, connection, expected_revision, changes):
    client = connection.client()
    try:
        row = client.get("upstreams", upstream)
    except CommandFailed as error:
        if error.body["code"] != "not_found":
            raise
        # Operators may configure an upstream before it first connects.
        row = {"revision": 0, "desired": DesiredState()._asdict()}
    response = client.edit(
        "upstreams",
        upstream,
        desired=row["desired"] | changes,
        expected_revision=(
            row["revision"] if expected_revision is None else expected_revision
        ),
    )
    connection.print_result(response, describe_edit(f"upstream {upstream}", response))


def _read_json(path):
    try:
        value = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as error:
        raise CommandFailed("usage", f"{path}: {error}") from error
    if not isinstance(value, dict):
        raise CommandFailed("usage", f"{path}: not a JSON object")
    return value


def _describe_model(seen):
    if not seen.get("model"):
        return ""
    layers = "-".join(str(number) for number in seen.get("layers", ()))
    return f"{seen['model']} {seen.get('model_version', '')} layers {layers}"


def _format_properties(pairs):
    return "\n".join(f"{name:<24} {_format_value(value)}" for name, value in pairs)


def _format_value(value):
    if isinstance(value, list):
        return ", ".join(str(item) for item in value) or "-"
    return "-" if value in ("", None) else value
