"""What all cases share: platform, configuration, record and exit code."""

import asyncio
import os
import sys
import tempfile
import time
import traceback
from pathlib import Path

from system_2_router import CannotRun, Router
from system_2_store import Store, StoreLink

HOLDS, BROKEN, CANNOT_RUN = 0, 1, 2
# Whether the disruption of the case is played.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
_LIMIT_SECONDS = 110.0


class Record:
    """What was sent, answered and run, written to `record.txt` of the case."""

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self._began_at

    def write(self, text: str):
        self._file.write(f"{self.now:9.3f} s  {text}\n")
        self._file.flush()


class Platform:
    """A store with a configuration, and the routers of a small deployment."""

    def __init__(self, folder: Path, record: Record):
        self.folder, self.record = folder, record
        self.store = Store()
        self.routers: list[Router] = []
        self.links: list[StoreLink] = []

    async def add_router(self, node: str = "edge-a-1", **bounds) -> Router:
        """Start a router, which has a link of its own to the store."""
        link = StoreLink(self.store)
        await link.start()
        router = Router(self.folder, link.port, node, **bounds)
        self.links.append(link)
        self.routers.append(router)
        router.start()
        return router

    def stop(self):
        for router in self.routers:
            router.stop()


def configuration(routes: list[dict], services: list[dict]) -> dict:
    return {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "t1", "api-keys": ["k1"]}],
    }


def route(name: str, prefix: str, kind: str, service: str, **more) -> dict:
    return {
        "name": name,
        "host": "h.example",
        "prefix": prefix,
        "route-kind": kind,
        "service": service,
        "max-attempts": 2,
        "timeout-ms": 1500,
        "goal-ms": 300,
        "priority": 2,
        **more,
    }


def main(play, folder: Path):
    """Play a case and exit: `play(platform, record)` returns whether the rule held."""
    record = Record(folder / "record.txt")
    with tempfile.TemporaryDirectory() as temporary:
        platform = Platform(Path(temporary), record)
        try:
            held = asyncio.run(_play(play, platform, record))
            code = HOLDS if held else BROKEN
        except (CannotRun, TimeoutError) as error:
            record.write(f"the case could not run: {error}")
            code = CANNOT_RUN
        except Exception:
            record.write(f"the case could not run: {traceback.format_exc()}")
            code = CANNOT_RUN
        finally:
            platform.stop()
    record.write(f"exit {code}")
    sys.exit(code)


async def _play(play, platform, record):
    # At the end, tasks of open connections are cancelled; that is no fault.
    asyncio.get_running_loop().set_exception_handler(lambda *_: None)
    async with asyncio.timeout(_LIMIT_SECONDS):
        await platform.store.start()
        record.write(f"the disruption is {'played' if TROUBLE else 'left out'}")
        return await play(platform, record)
