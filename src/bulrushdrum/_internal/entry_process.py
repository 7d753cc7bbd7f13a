"""The entry process: builds its components from the settings, serves and drains."""

import json
import resource
import secrets
import signal
import sys
import time
from dataclasses import replace

import gevent
from gevent.event import Event as Signal

from bulrushdrum._internal.caller.frontend import Frontend
from bulrushdrum._internal.caller.http import CallerApp, make_server
from bulrushdrum._internal.caller.operators import (
    MAX_BODY_BYTES,
    OperatorApp,
    OperatorServices,
)
from bulrushdrum._internal.caller.receiving import BodyBudget, RequestLimits
from bulrushdrum._internal.configuration.edits import ConfigurationEditor
from bulrushdrum._internal.configuration.order_leases import OrderLeases
from bulrushdrum._internal.configuration.replica import ConfigurationReplica
from bulrushdrum._internal.limits.entry_set import EntrySet
from bulrushdrum._internal.limits.permits import Permits
from bulrushdrum._internal.observability.dump import DumpExchange
from bulrushdrum._internal.observability.events import (
    Event,
    flush_and_log_omitted,
    log_event,
    persist_unread_lines,
    start_nonblocking_logging,
)
from bulrushdrum._internal.observability.latency_histograms import LatencyHistograms
from bulrushdrum._internal.observability.log_output import LogOutput
from bulrushdrum._internal.peering.connections import PeerServer
from bulrushdrum._internal.peering.handshake import PeerIdentity, PeeringKeys
from bulrushdrum._internal.peering.hub import PeerHub
from bulrushdrum._internal.peering.process_messages import CacheEvents
from bulrushdrum._internal.platform.objects import ObjectStore
from bulrushdrum._internal.platform.table import Table
from bulrushdrum._internal.platform.vm_list import VmList
from bulrushdrum._internal.records.replication import RecordReplicator
from bulrushdrum._internal.records.report import build_report
from bulrushdrum._internal.routing.chains import POLICIES, ChainPlanner
from bulrushdrum._internal.routing.claim_expiry import ClaimExpiry
from bulrushdrum._internal.routing.claims import ClaimStore
from bulrushdrum._internal.routing.crash_quarantine import CrashQuarantine
from bulrushdrum._internal.routing.membership import Membership
from bulrushdrum._internal.routing.model_runner import ModelRunner
from bulrushdrum._internal.routing.retries import RetryBudget
from bulrushdrum._internal.routing.service_calls import (
    ANSWER_GRACE_SECONDS,
    MAX_ATTEMPTS,
    ServiceCallRunner,
)
from bulrushdrum._internal.settings.entry import EntrySettings
from bulrushdrum._internal.world.data_centres import LinkDelays
from bulrushdrum._internal.world.upstreams import UpstreamState

MAX_OPERATOR_CONNECTIONS = 100
# Files, the store, and authenticated peers.
_OTHER_DESCRIPTORS = 400
_DRAIN_POLL_SECONDS = 0.05
_LOG_FLUSH_INTERVAL_SECONDS = 1.0
# Callers that keep connections open are refused for at least this long. A connection
# that closes while a request is on its way does not tell whether the request ran.
_REFUSAL_SECONDS = 1.0
# Time for copies of records and returned permits to reach the other processes.
_LAST_MESSAGES_SECONDS = 2.0
# A request with a key reads and writes its claim; a refused one looks its key up.
_STORE_CALLS_PER_REQUEST = 8
_CONFIRM_TIMEOUT_SECONDS = 1.0


class EntryProcess:
    """The components of one entry."""

    def __init__(self, settings: EntrySettings, log_output: LogOutput):
        self._settings = settings
        self._log_output = log_output
        self._latency_histograms = LatencyHistograms()
        self._stop_requested = Signal()
        self._resumed_at = 0.0
        self._confirmation = None
        identity = PeerIdentity(
            kind="entry",
            node=settings.node,
            incarnation=f"{settings.node}-{secrets.token_hex(6)}",
            data_centre=settings.data_centre,
            address=settings.advertised_address,
        )
        keys = PeeringKeys(
            settings.current_key,
            {name: key.encode() for name, key in settings.keys.items()},
        )
        self._hub = PeerHub(identity)
        table = Table(settings.table_url, settings.store_timeout)
        self._objects = ObjectStore(settings.objects_url, settings.store_timeout)
        vm_list = VmList(settings.vm_list_url, settings.store_timeout)
        self._membership = Membership(self._hub, settings, keys, vm_list)
        self._replica = ConfigurationReplica(self._hub, table, settings)
        self._editor = ConfigurationEditor(
            self._hub,
            table,
            self._replica,
            entry_names=self._membership.listed_entries,
        )
        limits = replace(settings.limits, region=settings.region)
        self._entry_set = EntrySet(
            self._hub,
            table,
            limits,
            self._membership.is_known_dead,
            self._membership.has_died,
        )
        self._permits = Permits(self._hub, self._entry_set, self._replica, limits)
        self._records = RecordReplicator(
            self._hub, self._objects, settings.records, self._membership.has_died
        )
        link_delays = LinkDelays(
            settings.link_delays, settings.local_delay, settings.default_delay
        )
        planner = self._planner = ChainPlanner(
            self._membership.upstreams,
            POLICIES[settings.routing_policy],
            link_delays,
            settings.seed,
        )
        retry_budget = RetryBudget(settings.retry_ratio, settings.retry_reserve)
        model_runner = ModelRunner(
            self._membership, planner, retry_budget, CrashQuarantine(), settings
        )
        service_calls = ServiceCallRunner(self._membership, retry_budget, settings.seed)
        claims = ClaimStore(table)
        self._claims = claims
        self._claim_expiry = ClaimExpiry(table)
        self._frontend = Frontend(
            settings,
            self._replica,
            self._permits,
            self._records,
            planner,
            model_runner,
            service_calls,
            claims,
            keys,
            self._latency_histograms,
            identity.incarnation,
            self._membership.check_clock,
        )
        self._peer_server = PeerServer(
            settings.listen,
            identity,
            keys,
            self._hub.serve,
            self._log_refused_peer,
            settings.max_handshakes,
        )
        caller_app = CallerApp(self._frontend, settings)
        limits = RequestLimits(
            settings.max_header_bytes,
            settings.max_body_bytes,
            settings.request_read_timeout,
        )
        budget = BodyBudget(settings.max_receiving_bytes)
        self._caller_http = make_server(
            caller_app.wsgi,
            settings.http_listen,
            caller_connections(settings),
            limits,
            budget,
        )
        self._order_leases = OrderLeases(self._hub, table, self._replica)
        self._membership.on_describe = self._order_leases.observe_describe
        self._dump_exchange = DumpExchange(self._hub, self.dump)
        operator_app = OperatorApp(
            OperatorServices(
                self._replica,
                self._editor,
                self._membership.dump_upstreams,
                self._report,
                self._dump_exchange.dump,
            ),
            settings.operator_key,
        )
        self._operator_http = make_server(
            operator_app.wsgi,
            settings.operator_listen,
            MAX_OPERATOR_CONNECTIONS,
            limits._replace(body_bytes=MAX_BODY_BYTES),
            budget,
        )
        self._membership.heartbeat_fields = lambda: (
            self._replica.revision,
            self._entry_set.version,
        )
        self._membership.on_entry_heartbeat = self._handle_heartbeat
        self._membership.on_clock_gap = self._confirm_configuration
        self._membership.on_upstream_lost(
            lambda upstream: planner.discard_cached_prefixes(upstream.id)
        )
        self._hub.register(CacheEvents, self._handle_cache_events)

    def run(self):
        """Serve until SIGTERM or SIGINT, then drain and return."""
        settings = self._settings
        gevent.signal_handler(signal.SIGTERM, self._stop_requested.set)
        gevent.signal_handler(signal.SIGINT, self._stop_requested.set)
        gevent.signal_handler(signal.SIGHUP, log_event, Event.RELOAD_IGNORED)
        gevent.signal_handler(signal.SIGUSR1, self._write_dump)
        gevent.spawn(self._flush_log_forever)
        self._peer_server.start()
        self._membership.start()
        self._replica.start()
        self._entry_set.start()
        self._permits.start()
        self._records.start()
        self._claims.start()
        self._claim_expiry.start()
        self._caller_http.start()
        self._operator_http.start()
        log_event(Event.ENTRY_READY, http=settings.http_listen, peers=settings.listen)
        self._stop_requested.wait()
        self._drain()

    def dump(self) -> dict:
        return {
            "node": self._settings.node,
            "incarnation": self._hub.local_identity.incarnation,
            "data_centre": self._settings.data_centre,
            "frontend": self._frontend.dump(),
            "callers": self._caller_http.dump(),
            "operators": self._operator_http.dump(),
            "peer_server": self._peer_server.dump(),
            "membership": self._membership.dump(),
            "configuration": self._replica.dump(),
            "permits": self._permits.dump(),
            "records": self._records.dump(),
            "metrics": self._latency_histograms.dump(),
            "connections": [
                {"peer": connection.peer.node, "sent_bytes": connection.sent_bytes}
                for connection in self._hub.connections()
            ],
        }

    def _report(self, customer, start, end):
        # Records of other entries are missing for at most their last flush interval.
        self._records.flush()
        return build_report(self._objects, customer, start, end).to_json()

    def _drain(self):
        log_event(Event.DRAIN_STARTED, in_progress=self._frontend.in_progress)
        persist_unread_lines()
        self._frontend.start_draining()
        self._membership.state = UpstreamState.DRAINING
        self._caller_http.is_draining = True
        started = time.monotonic()
        deadline = started + longest_request_seconds(self._settings)
        refuse_until = started + _REFUSAL_SECONDS
        while time.monotonic() < (
            deadline if self._frontend.in_progress else refuse_until
        ):
            gevent.sleep(_DRAIN_POLL_SECONDS)
        # Complete answers may still be on their way, and late requests be refused.
        self._caller_http.finish(deadline)
        self._operator_http.finish(deadline)
        self._permits.drain()
        self._claims.drain()
        self._records.drain()
        self._entry_set.leave()
        self._peer_server.stop()
        self._hub.finish(_LAST_MESSAGES_SECONDS)
        log_event(Event.PROCESS_STOPPED, in_progress=self._frontend.in_progress)
        persist_unread_lines()

    def _handle_heartbeat(self, connection, heartbeat):
        self._replica.observe_revision(
            connection.peer.incarnation, heartbeat.config_revision
        )
        self._entry_set.observe_version(heartbeat.entry_set_version)

    def _handle_cache_events(self, connection, message):
        incarnation = connection.peer.incarnation
        upstream = self._membership.upstream_by_incarnation(incarnation)
        if upstream is not None:
            for event in message.events:
                self._planner.record_cache_event(
                    upstream.id, event.prefix, event.stored
                )

    def _confirm_configuration(self, seconds):
        """Admit no requests until the configuration is confirmed after a pause.

        The process may have missed changes of the configuration while it was paused.
        """
        self._frontend.set_confirming(True)
        self._resumed_at = time.monotonic()
        if not self._confirmation:
            self._confirmation = gevent.spawn(self._await_confirmation)

    def _await_confirmation(self):
        # The process may be paused again while the configuration is being confirmed.
        while (
            self._replica.confirmed_seconds_ago() > time.monotonic() - self._resumed_at
        ):
            self._replica.confirm(_CONFIRM_TIMEOUT_SECONDS)
        self._frontend.set_confirming(False)
        self._confirmation = None

    def _log_refused_peer(self, address, error):
        log_event(Event.PEER_REFUSED, peer=address, reason=str(error))

    def _write_dump(self):
        self._log_output.write(json.dumps(self.dump()) + "\n")
        self._log_output.flush()

    def _flush_log_forever(self):
        while True:
            gevent.sleep(_LOG_FLUSH_INTERVAL_SECONDS)
            flush_and_log_omitted()


def caller_connections(settings: EntrySettings) -> int:
    """Return how many connections of callers the open-files limit leaves room for.

    Over that limit the entry could not reach the store or its peers either.
    """
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return settings.max_connections
    others = _OTHER_DESCRIPTORS + MAX_OPERATOR_CONNECTIONS + settings.max_handshakes
    # A very low limit is shared between callers and all others.
    allowed = max(descriptors - others, descriptors // 4)
    return min(settings.max_connections, allowed)


def longest_request_seconds(settings: EntrySettings) -> float:
    """Return the longest time from the arrival of a request to the end of its answer.

    The sum of the timeouts that bound an admitted request, so that a planned stop never
    ends before a request that it has admitted.
    """
    call = MAX_ATTEMPTS * (settings.service_timeout + ANSWER_GRACE_SECONDS)
    return (
        settings.queue_timeout
        + max(settings.request_timeout + settings.open_timeout, call)
        + _STORE_CALLS_PER_REQUEST * settings.store_timeout
        + settings.request_read_timeout
    )


def run_entry(settings: EntrySettings):
    """Run an entry until SIGTERM or SIGINT."""
    log_output = start_nonblocking_logging(
        f"entry {settings.node}", sys.stderr.fileno()
    )
    EntryProcess(settings, log_output).run()
