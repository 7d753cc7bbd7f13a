"""Runs a complete system in processes, for the demo, tests and measurements.

>>> with Cluster(three_stages()) as cluster:  # doctest: +SKIP
...     cluster.add_customer("warwick")
...     answer = cluster.caller("warwick").chat(cluster.http("entry0"), "hello")

Each process has a log in the cluster's directory. Leaving the block kills all processes
that the cluster started, and no others, also after an exception.
"""

import atexit
import json
import os
import shutil
import signal
import tempfile
from pathlib import Path

import urllib3

from bench.client import Caller
from bench.launch import (
    OPERATOR_KEY,
    PLATFORM,
    SpecAddresses,
    entry_settings,
    sidecar_settings,
    upstream_arguments,
)
from bench.processes import PortPool, Process, wait_for
from bench.topology import Topology
from bulrushdrum._internal.world.contracts import hash_api_key

READY_TIMEOUT_SECONDS = 30.0
_NO_PLATFORM_FAULTS = {
    "down": False,
    "slow_seconds": 0.0,
    "slow_answer_seconds": 0.0,
    "lose_answers": 0,
}


class ClusterError(RuntimeError):
    """The system under test refused or failed a request that the bench depends on."""


def _json_request(method, url, body=None, headers=None, timeout=5.0):
    response = urllib3.request(
        method,
        url,
        body=None if body is None else json.dumps(body),
        headers={"Content-Type": "application/json", **(headers or {})},
        timeout=timeout,
        retries=False,
    )
    try:
        return response.status, response.json()
    except ValueError:
        return response.status, response.data.decode(errors="replace")


class Cluster:
    """A running system with the processes of `topology`."""

    def __init__(self, topology: Topology):
        self._topology = topology
        self._directory = Path(tempfile.mkdtemp(prefix="bulrushdrum-"))
        self._ports = PortPool()
        self._processes: dict[str, Process] = {}
        self._addresses: dict[str, str] = {}
        self._links: dict[tuple[str, str], str] = {}
        self._faulty_links: set[tuple[str, str]] = set()
        self._vms: dict[str, dict] = {}
        self._specs = {
            spec.name: spec
            for spec in (*topology.entries, *topology.engines, *topology.services)
        }
        self._contracts: dict[str, dict] = {}
        self._http = urllib3.PoolManager(retries=False)
        atexit.register(self.close)

    def __enter__(self):
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_):
        self.close()

    @property
    def topology(self) -> Topology:
        return self._topology

    @property
    def directory(self) -> Path:
        return self._directory

    @property
    def entries(self) -> list[str]:
        return [name for name, vm in self._vms.items() if vm["role"] == "entry"]

    def process(self, name: str) -> Process:
        return self._processes[name]

    def address(self, name: str) -> str:
        """Return an address: of "<entry>", "<entry>/http", "<engine>/upstream"..."""
        return self._addresses[name]

    # Start and stop.

    def start(self):
        for name in PLATFORM:
            self._start_standin(name)
        if self._topology.proxied:
            self._start("proxy", ["-m", "bench.proxy", "--control"], "proxy")
        for spec in (*self._topology.engines, *self._topology.services):
            self._reserve(spec.name, f"{spec.name}/upstream")
        for spec in self._topology.entries:
            names = (spec.name, f"{spec.name}/http", f"{spec.name}/operator")
            self._reserve(*names)
        upstreams = self._topology.upstream_names
        for name in upstreams:
            self.start_upstream(name, wait=False)
        for spec in self._topology.entries:
            self.start_entry(spec.name, wait=False)
        for name in upstreams:
            for part in (f"{name}/upstream", name):
                self.process(part).wait_listening(self._addresses[part])
        for name in self.entries:
            self.wait_entry(name)
        self.wait_connected()
        self.wait_peers()

    def kill_all(self):
        """Kill every process at once, for systems whose shutdown is not tested."""
        for process in self._processes.values():
            process.signal(signal.SIGKILL)

    def close(self):
        """Kill every process that this cluster started and remove its directory."""
        atexit.unregister(self.close)
        for process in self._processes.values():
            process.signal(signal.SIGKILL)  # no orderly stop: all data is deleted
        for process in self._processes.values():
            process.kill()
        self._ports.close()
        shutil.rmtree(self._directory, ignore_errors=True)

    def _reserve(self, *names):
        for name in names:
            if name not in self._addresses:
                self._addresses[name] = self._ports.reserve()

    def _start(self, name, arguments, address_name):
        self._reserve(address_name)
        address = self._addresses[address_name]
        process = Process(name, [*arguments, address], self._directory)
        self._processes[name] = process
        process.start()
        process.wait_listening(address)

    def _start_standin(self, name):
        arguments = ["-m", f"bench.standins.{name}"]
        if name != "vm_list":
            arguments += ["--write-rate", str(self._topology.write_rate)]
            arguments += ["--read-rate", str(self._topology.read_rate)]
        self._start(name, [*arguments, "--address"], name)

    def start_upstream(self, name: str, wait: bool = True):
        """Start or restart an engine or plain service and its sidecar; list its VM."""
        spec = self._specs[name]
        if not self._running(f"{name}/upstream"):
            self.start_engine(name)
        if not self._running(name):
            settings = self._write_settings(name, self._make_settings(spec))
            self._start_role(name, "sidecar", settings)
        self.list_vm(name)
        if wait:
            for part in (f"{name}/upstream", name):
                self.process(part).wait_listening(self._addresses[part])

    def start_engine(self, name: str):
        """Start the engine or plain service of an upstream, without its sidecar."""
        part = f"{name}/upstream"
        journal = self._directory / f"{name}.journal"
        arguments = upstream_arguments(
            self._topology, self._specs[name], self._addresses[part], journal
        )
        process = self._processes.get(part)
        if process is None:
            process = Process(part.replace("/", "-"), arguments, self._directory)
            self._processes[part] = process
        process.start()

    def start_entry(self, name: str, wait: bool = True):
        spec = self._specs[name]
        settings = self._write_settings(name, self._make_settings(spec))
        self._start_role(name, "entry", settings)
        self.list_vm(name)
        if wait:
            self.wait_entry(name)

    def _running(self, name):
        return name in self._processes and self._processes[name].running

    def _start_role(self, name, role, settings):
        # If set, runs the zip application of `make binary` instead of the sources.
        binary = os.environ.get("BULRUSHDRUM_BINARY")
        program = [binary] if binary else ["-m", "bulrushdrum"]
        arguments = [*program, role, "--settings", str(settings)]
        if name not in self._processes:
            self._processes[name] = Process(name, arguments, self._directory)
        self._processes[name].start()

    # Settings and links.

    def _write_settings(self, name, settings):
        path = self._directory / f"{name}.json"
        path.write_text(json.dumps(settings))
        return path

    def _make_settings(self, spec):
        addresses = SpecAddresses(self._addresses, self._address_map(spec))
        if spec in self._topology.entries:
            links = {name: self._link(spec.name, name) for name in PLATFORM}
            return entry_settings(self._topology, spec, addresses, links)
        return sidecar_settings(self._topology, spec, addresses)

    def _address_map(self, spec):
        if not self._topology.proxied:
            return {}
        others = [name for name in self._specs if name != spec.name]
        if spec not in self._topology.entries:
            others = [name for name in others if name in self._topology.upstream_names]
        return {self._addresses[name]: self._link(spec.name, name) for name in others}

    def _link(self, source, target):
        """Return the address that `source` dials to reach `target`."""
        if not self._topology.proxied:
            return self._addresses[target]
        if (source, target) not in self._links:
            body = {"name": f"{source}>{target}", "target": self._addresses[target]}
            self._links[source, target] = self._post_control("proxy", "links", body)[
                "listen"
            ]
        return self._links[source, target]

    def _post_control(self, name, path, body):
        status, response = _json_request(
            "POST", f"http://{self._addresses[name]}/v1/{path}", body
        )
        if status != 200:
            raise ClusterError(f"{name} refused {body}: {status} {response}")
        return response

    # Faults.

    def set_link(self, source: str, target: str, **faults):
        """Set the faults of the link from `source` to `target`; none restores it."""
        body = {"link": f"{source}>{target}", "faults": faults}
        self._post_control("proxy", "faults", body)
        if faults:
            self._faulty_links.add((source, target))
        else:
            self._faulty_links.discard((source, target))

    def link_states(self) -> dict[str, dict]:
        """Return the state of each link, by its name "<source>><target>"."""
        return _json_request("GET", f"http://{self._addresses['proxy']}/v1/links")[1]

    def links_of(self, *names: str) -> list[tuple[str, str]]:
        """Return the links from or to any of `names`."""
        return [pair for pair in self._links if set(pair) & set(names)]

    def set_links_of(self, *names: str, **faults):
        for source, target in self.links_of(*names):
            self.set_link(source, target, **faults)

    def set_faults(self, name: str, **faults):
        """Set the faults of a stand-in: "table", "objects", "<upstream>/upstream"..."""
        self._post_control(name, "faults", faults)

    def list_vm(self, name: str, state: str = "live"):
        """Add or update a VM in the platform's list; the state "gone" removes it."""
        spec = self._specs[name]
        role = "entry" if spec in self._topology.entries else "sidecar"
        self._vms[name] = {
            "name": name,
            "address": self._addresses[name],
            "role": role,
            "data_centre": spec.data_centre,
            "region": self._topology.region_of(spec.data_centre),
            "state": state,
        }
        if state == "gone":
            del self._vms[name]
        url = f"http://{self._addresses['vm_list']}/v1/vms"
        status, response = _json_request("PUT", url, {"vms": list(self._vms.values())})
        if status != 200:
            raise ClusterError(f"VM list update failed: {status} {response}")

    def repair(self):
        """Clear all faults, restart stopped processes and wait for all connections."""
        for source, target in list(self._faulty_links):
            self.set_link(source, target)
        for name in PLATFORM:
            self.set_faults(name, **_NO_PLATFORM_FAULTS)
        for process in self._processes.values():
            process.resume()
        for name in self._topology.upstream_names:
            if self._running(f"{name}/upstream"):
                self.set_faults(f"{name}/upstream")
            self.start_upstream(name)
        for spec in self._topology.entries:
            if not self._running(spec.name):
                self.start_entry(spec.name, wait=False)
        for name in self.entries:
            self.wait_entry(name)
        self.wait_connected()
        self.wait_peers()

    def kill_vm(self, name: str):
        """Kill all processes of a VM; the VM list still contains it."""
        for part in (f"{name}/upstream", name):
            if part in self._processes:
                self._processes[part].kill()

    # Operators.

    def operator(self, entry: str, method: str, path: str, body=None, timeout=15.0):
        """Send an operator request to `entry`; return the status and the JSON body."""
        return _json_request(
            method,
            f"http://{self._addresses[f'{entry}/operator']}/v1/operator/{path}",
            body,
            {"Authorization": f"Bearer {OPERATOR_KEY}"},
            timeout,
        )

    def engine_stats(self) -> dict[str, int]:
        """Return the sums of the counters of all engines."""
        total = {}
        for spec in self._topology.engines:
            address = self._addresses[f"{spec.name}/upstream"]
            _, stats = _json_request("GET", f"http://{address}/v1/stats")
            for name, value in stats.items():
                total[name] = total.get(name, 0) + value
        return total

    def dump(self, entry: str) -> dict:
        status, dump = self.operator(entry, "GET", "dump")
        if status != 200:
            raise ClusterError(f"dump of {entry}: {status} {dump}")
        return dump

    def upstreams_of(self, entry: str) -> dict:
        """Return the upstreams known to an entry, by id; empty if its dump fails."""
        try:
            upstreams = self.dump(entry)["membership"]["upstreams"]
        except (urllib3.exceptions.HTTPError, OSError, ClusterError):
            return {}
        return upstreams

    def wait_entry(self, name: str):
        """Wait until an entry is ready for callers."""
        address = self._addresses[f"{name}/http"]
        self.process(name).wait_listening(address)
        url = f"http://{address}/readyz"
        wait_for(
            lambda: _json_request("GET", url)[0] == 200,
            f"{name} to be ready",
            READY_TIMEOUT_SECONDS,
        )

    def wait_connected(self, entries=None, upstreams=None):
        """Wait until entries know upstreams as serving; all of both by default."""
        expected = set(upstreams or self._topology.upstream_names)
        for entry in entries or self.entries:
            wait_for(
                lambda entry=entry: expected <= self.serving_at(entry),
                f"{entry} to see {sorted(expected)}",
                READY_TIMEOUT_SECONDS,
            )

    def wait_peers(self):
        """Wait until the entries are connected and agree on the entry set.

        Before that, an entry cannot borrow permits, and cannot use all that it owns.
        """
        for entry in self.entries:
            wait_for(
                lambda entry=entry: self._has_peers(entry),
                f"{entry} to be connected to the other entries and in the entry set",
                READY_TIMEOUT_SECONDS,
            )

    def _has_peers(self, entry):
        try:
            dump = self.dump(entry)
        except (urllib3.exceptions.HTTPError, OSError, ClusterError):
            return False
        connected = {peer["node"] for peer in dump["membership"]["entries"]}
        permits = dump["permits"]
        return (
            set(self.entries) <= connected | {entry}
            and permits["entry_set"]["member"]
            and not permits["missing_acknowledgements"]
        )

    def serving_at(self, entry: str) -> set[str]:
        """Return the ids of the upstreams that an entry assigns work to."""
        return {
            name
            for name, upstream in self.upstreams_of(entry).items()
            if upstream["state"] == "serving" and not upstream["listed_leaving"]
        }

    def add_customer(self, name: str, entry: str = "", **fields) -> dict:
        """Create a contract, wait until every entry has applied it, and return it."""
        contract = self.put_customer(entry or self.entries[0], name, **fields)
        for other in self.entries:
            self.wait_customer(other, name)
        self._contracts[name] = contract
        return contract

    def put_customer(self, entry: str, name: str, **fields) -> dict:
        """Create a contract through `entry` and return it."""
        contract = {
            "customer": name,
            "api_key_hashes": [hash_api_key(self.api_key(name))],
            **fields,
        }
        body = {"contract": contract, "expected_revision": 0}
        status, response = self.operator(entry, "PUT", f"contracts/{name}", body)
        if status not in (200, 201):
            raise ClusterError(f"contract of {name}: {status} {response}")
        return contract

    def wait_customer(self, entry: str, name: str):
        """Wait until `entry` has applied the customer's contract."""
        wait_for(
            lambda: self._knows_customer(entry, name),
            f"{entry} to know {name}",
            READY_TIMEOUT_SECONDS,
        )

    def ensure_customer(self, name: str, **fields) -> dict:
        """Create the contract of a customer unless it exists; return it."""
        if name not in self._contracts:
            self.add_customer(name, **fields)
        return self._contracts[name]

    def _knows_customer(self, entry, customer):
        url = f"http://{self._addresses[f'{entry}/http']}/v1/models"
        headers = {"Authorization": f"Bearer {self.api_key(customer)}"}
        return _json_request("GET", url, headers=headers)[0] == 200

    # Callers.

    def api_key(self, customer: str) -> str:
        return f"key-of-{customer}"

    def caller(self, customer: str, model: str = "") -> Caller:
        return Caller(self.api_key(customer), model or self._topology.model)

    def http(self, entry: str) -> str:
        return self._addresses[f"{entry}/http"]
