"""A randomized soak: real routers, faults from outside, promises checked throughout.

    python -m tests.soak.soak --seeds 50 --seconds 12

Each seed decides the faults and their times. The processes that it ends are those that
it started. A seed that failed prints what is needed to run it again.
"""

from gevent import monkey

monkey.patch_all()

import argparse  # noqa: E402
import random  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402
from pathlib import Path  # noqa: E402

import gevent  # noqa: E402
from bench.proxy import Faults  # noqa: E402
from gevent import socket  # noqa: E402
from tests.soak.world import LAST_EVENT, Router, World  # noqa: E402
from tests.unit.gateway_fakes import read_response  # noqa: E402

CALLERS = 6
# The users' bounds: a new configuration is in force after two seconds, and service
# resumes within twelve seconds of the last fault.
APPLY_SECONDS = 2.0
RECOVER_SECONDS = 12.0
# Added to a bound for the time that a request takes on this machine.
SLACK_SECONDS = 1.0
WHOLE = b"".join(b"id: %d\ndata: t%d\n\n" % (n, n) for n in range(1, LAST_EVENT + 1))


class Soak:
    """One run with one seed."""

    def __init__(self, seed: int, folder: Path):
        self._random = random.Random(seed)
        self.world = World()
        self.routers = [
            Router(f"r{n}", "ab"[n % 2], folder, self.world) for n in range(2)
        ]
        self.outcomes: dict[str, int] = {}
        self._refused: list[str] = []
        self._number = 0
        self._end = 0.0
        # Routers that were disturbed lately are not bound by the time for a change.
        self._disturbed: dict[str, float] = {}
        self._key, self._old_key, self._changed_at = "k1", None, 0.0
        self.faults: list[str] = []

    def run(self, seconds: float) -> list[str]:
        """Play the faults, heal, and return the broken promises."""
        try:
            self._await_service(30.0)
            self._end = time.monotonic() + seconds
            seed_of_answers = self._random.random()
            callers = [gevent.spawn(self._call_forever, n) for n in range(CALLERS)]
            hands = [gevent.spawn(self._disturb_forever) for _ in range(2)]
            hands.append(gevent.spawn(self._lose_answers_forever, seed_of_answers))
            gevent.joinall([*callers, *hands])
            self._heal()
            if not self._await_service(RECOVER_SECONDS):
                self._note("no request was served after all faults had ended")
            for request in self._refused:
                if self.world.ran(request):
                    self._note(f"{request} was refused as not run, and ran")
            return self.world.violations
        finally:
            for router in self.routers:
                if router.process.poll() is None:
                    router.process.kill()
                router.process.wait()
            self.world.stop()

    def _note(self, text):
        self.world.violations.append(text)

    def _await_service(self, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            served = [self._call(r, "g", self._key) for r in self.routers]
            if all(answer is not None and answer.status == 200 for answer in served):
                return True
            gevent.sleep(0.2)
        return False

    def _call_forever(self, number):
        draw = random.Random(number)
        while time.monotonic() < self._end:
            router = draw.choice(self.routers)
            began = time.monotonic()
            key, kind = self._key, draw.choice("ggwr")
            uses_old = self._old_key is not None and draw.random() < 0.2
            if uses_old:
                key = self._old_key
            changed_at = self._changed_at
            answer = self._call(router, kind, key)
            status = None if answer is None else answer.status
            name = f"{kind}:{status}"
            self.outcomes[name] = self.outcomes.get(name, 0) + 1
            settled = began - changed_at > APPLY_SECONDS + SLACK_SECONDS
            calm = began - self._disturbed.get(router.name, 0.0) > 4.0
            if uses_old and key == self._old_key and settled and calm:
                if status is not None and status != 401:
                    self._note(f"a key taken away got {status} at {router.name}")
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
            if not WHOLE.startswith(answer.body):
                self._note(f"{request}: events are missing or out of order")
            if answer.is_complete and answer.body != WHOLE:
                self._note(f"{request}: a part looks like the whole")
        elif answer.status == 200 and answer.is_complete and answer.body != b"done":
            self._note(f"{request}: got {answer.body!r}")
        return answer

    def _disturb_forever(self):
        while time.monotonic() < self._end:
            gevent.sleep(self._random.uniform(0.2, 1.2))
            fault = self._random.choice(
                [
                    self._kill,
                    self._stop,
                    self._pause,
                    self._store_down,
                    self._forget,
                    self._store_link,
                    self._server_link,
                    self._server_link,
                    self._crash,
                    self._drain,
                    self._change_key,
                ]
            )
            self.faults.append(fault.__name__)
            fault()

    def _lose_answers_forever(self, seed):
        """Lose answers of plain servers, the one fault that tempts to run twice."""
        draw = random.Random(seed)
        while time.monotonic() < self._end:
            gevent.sleep(draw.uniform(0.5, 2.0))
            link = draw.choice(self.world.plain).link
            link.set_faults(Faults(lose_answers="*"))
            gevent.sleep(draw.uniform(0.2, 0.8))
            link.set_faults(Faults())

    def _disturb(self, router):
        self._disturbed[router.name] = time.monotonic()

    def _disturb_all(self):
        for router in self.routers:
            self._disturb(router)

    def _restart(self, router, number):
        self._disturb(router)
        if router.process.poll() is None:
            router.process.send_signal(number)
        router.process.wait()
        gevent.sleep(self._random.uniform(0.0, 0.5))
        if router.process.poll() is not None:
            router.start()
        self._disturb(router)

    def _kill(self):
        self._restart(self._random.choice(self.routers), signal.SIGKILL)

    def _stop(self):
        self._restart(self._random.choice(self.routers), signal.SIGTERM)

    def _pause(self):
        router = self._random.choice(self.routers)
        process = router.process
        self._disturb(router)
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
            gevent.sleep(self._random.uniform(0.2, 2.0))
            process.send_signal(signal.SIGCONT)
        self._disturb(router)

    def _store_down(self):
        self.world.store.is_down = True
        gevent.sleep(self._random.uniform(0.2, 2.0))
        self.world.store.is_down = False
        self._disturb_all()

    def _forget(self):
        self.world.store.forget_history()

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
        self._link_faults(self.world.store_link)
        self._disturb_all()

    def _server_link(self):
        servers = self._random.choice([self.world.engines, self.world.plain])
        self._link_faults(self._random.choice(servers).link)

    def _crash(self):
        server = self._random.choice([*self.world.engines, *self.world.plain])
        server.link.set_faults(Faults(cut=True))
        server.leave()
        gevent.sleep(self._random.uniform(0.1, 1.5))
        server.start()
        server.link.set_faults(Faults())

    def _drain(self):
        server = self._random.choice(self.world.engines)
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
        self._key = f"k{self.world.version + 1}"
        self.world.configure(self._key)
        self._changed_at = time.monotonic()

    def _heal(self):
        self.world.store.is_down = False
        for link in self.world.links():
            link.set_faults(Faults())


def run_seed(seed: int, seconds: float) -> tuple[list[str], Soak]:
    """Run one seed and return the broken promises and the run."""
    with tempfile.TemporaryDirectory() as folder:
        soak = Soak(seed, Path(folder))
        violations = soak.run(seconds)
        if violations:
            for router in soak.routers:
                print(router.log_tail(), file=sys.stderr)
        return violations, soak


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=5, help="how many")
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--seconds", type=float, default=12.0, help="faults, each")
    options = parser.parse_args()
    failed = 0
    for seed in range(options.first, options.first + options.seeds):
        violations, soak = run_seed(seed, options.seconds)
        failed += bool(violations)
        outcome = "; ".join(violations[:5]) or "kept"
        print(f"seed {seed}: {outcome} {dict(sorted(soak.outcomes.items()))}")
        if violations:
            print(
                f"  again: python -m tests.soak.soak --first {seed} --seeds 1 "
                f"--seconds {options.seconds}; faults: {soak.faults}"
            )
    print(f"{options.seeds - failed} passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
