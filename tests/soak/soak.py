"""Randomized soak test of router processes under injected faults.

    python -m tests.soak.soak --seeds 50 --seconds 12

Guarantees are checked throughout the run. Each seed determines the faults and their
times. Only processes that the run has started are killed. A failing seed prints the
command to rerun it.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import random  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from collections import deque  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402
from bench.proxy import Faults  # noqa: E402
from gevent import socket  # noqa: E402
from tests.soak.world import LAST_EVENT, TROUBLES, Environment, Router  # noqa: E402
from tests.unit.gateway_fakes import read_response  # noqa: E402

CALLERS = 6
# The bounds that users rely on: a new configuration takes effect within APPLY_SECONDS,
# and service resumes within RECOVER_SECONDS of the last fault.
APPLY_SECONDS = 2.0
RECOVER_SECONDS = 12.0
# Added to a bound to allow for the duration of a request.
SLACK_SECONDS = 1.0
# The store may be restored from one of the last copies.
_COPIES = 5
_COPY_INTERVAL_SECONDS = 0.7
COMPLETE_BODY = b"".join(
    b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, LAST_EVENT + 1)
)


class Soak:
    """A run with one seed."""

    def __init__(self, seed: int, folder: Path):
        self._random = random.Random(seed)
        self.environment = Environment(seed)
        self.routers = [
            Router(f"r{n}", "ab"[n % 2], folder, self.environment) for n in range(2)
        ]
        self.outcomes: dict[str, int] = {}
        self._refused: list[str] = []
        self._number = 0
        self._end = 0.0
        # When each router's last fault was; APPLY_SECONDS is not checked soon after.
        self._disturbed: dict[str, float] = {}
        self._started_at: dict[str, float] = {}
        self._key, self._old_key, self._changed_at = "k1", None, 0.0
        self.faults: list[str] = []
        self._copies: deque = deque(maxlen=_COPIES)

    def run(self, seconds: float) -> list[str]:
        """Inject faults, clear them, and return the violated guarantees."""
        try:
            self._await_service(30.0)
            self._end = time.monotonic() + seconds
            response_seed = self._random.random()
            callers = [gevent.spawn(self._send_requests, n) for n in range(CALLERS)]
            copier = gevent.spawn(self._copy_store)
            injectors = [gevent.spawn(self._inject_faults) for _ in range(2)]
            injectors.append(gevent.spawn(self._inject_lost_responses, response_seed))
            gevent.joinall([*callers, *injectors])
            copier.kill()
            self._clear_faults()
            if not self._await_service(RECOVER_SECONDS):
                self._add_violation(
                    "no request was served after all faults were cleared"
                )
            for request in self._refused:
                if self.environment.has_run(request):
                    self._add_violation(f"{request} was refused as not run but ran")
            return self.environment.violations
        finally:
            for router in self.routers:
                if router.process.poll() is None:
                    router.process.kill()
                router.process.wait()
            self.environment.stop()

    def _add_violation(self, text):
        self.environment.violations.append(text)

    def _await_service(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            served = [self._call(r, "g", self._key) for r in self.routers]
            if all(answer is not None and answer.status == 200 for answer in served):
                return True
            gevent.sleep(0.2)
        return False

    def _send_requests(self, number):
        draw = random.Random(number)
        while time.monotonic() < self._end:
            router = draw.choice(self.routers)
            started_at = time.monotonic()
            key, kind = self._key, draw.choice("ggwr")
            uses_old = self._old_key is not None and draw.random() < 0.2
            if uses_old:
                key = self._old_key
            changed_at = self._changed_at
            answer = self._call(router, kind, key)
            status = None if answer is None else answer.status
            name = f"{kind}:{status}"
            self.outcomes[name] = self.outcomes.get(name, 0) + 1
            applied = started_at - changed_at > APPLY_SECONDS + SLACK_SECONDS
            undisturbed = started_at - self._disturbed.get(router.name, 0.0) > 4.0
            if uses_old and key == self._old_key and applied and undisturbed:
                if status is not None and status != 401:
                    self._add_violation(
                        f"a removed key got status {status} at {router.name}"
                    )
            if uses_old and key == self._old_key:
                # A router that started after the change has never known the key.
                restarted_at = self._started_at.get(router.name, 0.0)
                if changed_at < restarted_at < started_at and status == 200:
                    self._add_violation(
                        f"a removed key works at {router.name} after its restart"
                    )
            gevent.sleep(draw.random() * 0.05)

    def _call(self, router, kind, key):
        self._number += 1
        request = f"{kind}{self._number}"
        data = (
            f"POST /{kind}/x HTTP/1.1\r\nHost: h.example\r\n"
            f"Bulrushdrum-Attempt-Id: {request}\r\nAuthorization: Token {key}\r\n"
            "Bulrushdrum-Token-Count: 100,20\r\nContent-Length: 0\r\n\r\n"
        ).encode()
        try:
            with socket.create_connection(("127.0.0.1", router.port), 1.0) as sock:
                sock.settimeout(6.0)
                sock.sendall(data)
                answer = read_response(sock)
        except (OSError, ValueError, IndexError):
            return None
        if answer.status in (503, 401):
            self._refused.append(request)
        if answer.status == 200 and kind == "g":
            if not COMPLETE_BODY.startswith(answer.body):
                self._add_violation(f"{request}: events are missing or out of order")
            if answer.is_complete and answer.body != COMPLETE_BODY:
                self._add_violation(f"{request}: a partial response looks complete")
        elif answer.status == 200 and answer.is_complete and answer.body != b"done":
            self._add_violation(f"{request}: got {answer.body!r}")
        return answer

    def _inject_faults(self):
        while time.monotonic() < self._end:
            gevent.sleep(self._random.uniform(0.2, 1.2))
            fault = self._random.choice(
                [
                    self._kill,
                    self._stop,
                    self._pause,
                    self._store_down,
                    self._drop_store_history,
                    self._restore_store,
                    self._store_link,
                    self._server_link,
                    self._server_link,
                    self._server_trouble,
                    self._server_trouble,
                    self._engine_refuses,
                    self._engine_silent,
                    self._crash,
                    self._drain,
                    self._change_key,
                ]
            )
            self.faults.append(fault.__name__)
            fault()

    def _inject_lost_responses(self, seed):
        """Lose responses of plain servers, the only fault that may cause a rerun."""
        draw = random.Random(seed)
        while time.monotonic() < self._end:
            gevent.sleep(draw.uniform(0.5, 2.0))
            link = draw.choice(self.environment.plain_servers).link
            link.set_faults(Faults(lose_answers="*"))
            gevent.sleep(draw.uniform(0.2, 0.8))
            link.set_faults(Faults())

    def _mark_disturbed(self, router):
        self._disturbed[router.name] = time.monotonic()

    def _mark_all_disturbed(self):
        for router in self.routers:
            self._mark_disturbed(router)

    def _restart(self, router, number):
        self._mark_disturbed(router)
        if router.process.poll() is None:
            router.process.send_signal(number)
        router.process.wait()
        gevent.sleep(self._random.uniform(0.0, 0.5))
        if router.process.poll() is not None:
            self._started_at[router.name] = time.monotonic()
            router.start()
        self._mark_disturbed(router)

    def _kill(self):
        self._restart(self._random.choice(self.routers), signal.SIGKILL)

    def _stop(self):
        self._restart(self._random.choice(self.routers), signal.SIGTERM)

    def _pause(self):
        router = self._random.choice(self.routers)
        process = router.process
        self._mark_disturbed(router)
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            gevent.sleep(self._random.uniform(0.2, 2.0))
            process.send_signal(signal.SIGCONT)
        self._mark_disturbed(router)

    def _store_down(self):
        self.environment.store.is_down = True
        gevent.sleep(self._random.uniform(0.2, 2.0))
        self.environment.store.is_down = False
        self._mark_all_disturbed()

    def _drop_store_history(self):
        self.environment.store.forget_history()

    def _restore_store(self):
        """Bring the store back from a copy; who wrote since then writes again."""
        store, copy = self.environment.store, self._random.choice(self._copies)
        store.is_down = True
        gevent.sleep(self._random.uniform(0.0, 1.0))
        store.restore(copy)
        self.environment.configure_again()
        store.is_down = False
        self._mark_all_disturbed()
        gevent.sleep(self._random.uniform(0.0, 1.5))
        self.environment.register_again()
        gevent.sleep(self._random.uniform(0.0, 1.5))
        self.environment.expire_registrations()
        self._mark_all_disturbed()

    def _copy_store(self):
        while True:
            self._copies.append(self.environment.store.copy())
            gevent.sleep(_COPY_INTERVAL_SECONDS)

    def _link_faults(self, link):
        link.set_faults(
            self._random.choice(
                [
                    Faults(cut=True),
                    Faults(drop=True),
                    Faults(stall="up"),
                    Faults(stall="down"),
                    Faults(lose_answers="*"),
                    Faults(delay_up=0.1, delay_down=0.1),
                ]
            )
        )
        gevent.sleep(self._random.uniform(0.2, 2.0))
        link.set_faults(Faults())

    def _store_link(self):
        self._link_faults(self.environment.store_link)
        self._mark_all_disturbed()

    def _server_link(self):
        servers = self._random.choice(
            [self.environment.engines, self.environment.plain_servers]
        )
        self._link_faults(self._random.choice(servers).link)

    def _server_trouble(self):
        servers = [*self.environment.engines, *self.environment.plain_servers]
        server = self._random.choice(servers)
        server.trouble = self._random.choice(TROUBLES)
        self.faults.append(server.trouble.__name__)
        gevent.sleep(self._random.uniform(0.5, 2.0))
        server.trouble = None

    def _engine_refuses(self):
        engine = self._random.choice(self.environment.engines)
        engine.refuses = True
        gevent.sleep(self._random.uniform(0.2, 3.0))
        engine.refuses = False

    def _engine_silent(self):
        """Let streams over an engine stop without an end; some callers leave."""
        engine = self._random.choice(self.environment.engines)
        engine.is_silent = True
        gevent.sleep(self._random.uniform(0.2, 3.0))
        engine.is_silent = False

    def _crash(self):
        server = self._random.choice(
            [*self.environment.engines, *self.environment.plain_servers]
        )
        server.link.set_faults(Faults(cut=True))
        server.leave()
        gevent.sleep(self._random.uniform(0.1, 1.5))
        server.start()
        server.link.set_faults(Faults())

    def _drain(self):
        server = self._random.choice(self.environment.engines)
        server.draining = True
        server.register()
        gevent.sleep(1.5)
        server.leave()
        gevent.sleep(1.0)
        server.start()

    def _change_key(self):
        if time.monotonic() - self._changed_at < 5.0:
            return
        self._old_key = self._key
        self._key = f"k{self.environment.version + 1}"
        self.environment.configure(self._key)
        self._changed_at = time.monotonic()

    def _clear_faults(self):
        self.environment.store.is_down = False
        for link in self.environment.links():
            link.set_faults(Faults())


def run_seed(seed: int, seconds: float) -> tuple[list[str], Soak]:
    """Run one seed and return the violated guarantees and the run."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, Path(folder))
        violations = soak.run(seconds)
        if violations:
            for router in soak.routers:
                print(router.log_tail(), file=sys.stderr)
        return violations, soak


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=5, help="number of seeds")
    parser.add_argument("--first", type=int, default=1, help="first seed")
    parser.add_argument(
        "--seconds",
        type=float,
        default=12.0,
        help="duration of the faults of each seed",
    )
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        violations, soak = run_seed(seed, options.seconds)
        failed += bool(violations)
        outcome = "; ".join(violations[:5]) or "passed"
        print(f"seed {seed}: {outcome} {dict(sorted(soak.outcomes.items()))}")
        if violations:
            print(
                f"  rerun: python -m tests.soak.soak --first {seed} --seeds 1 "
                f"--seconds {options.seconds}; faults: {soak.faults}"
            )
    print(f"{options.seeds - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
