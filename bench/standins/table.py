"""Stand-in for the platform's transactional table, in memory.

Run it as `python -m bench.standins.table --address 127.0.0.1:21000`.
"""

if __name__ == "__main__":
    # bottle keeps the current request and response in a thread-local. Unless it is
    # patched, all greenlets share it: responses got the Content-Length of others.
    from gevent import monkey

    monkey.patch_all()

import bisect
import json

import bottle

from bench.standins.serving import Faults, json_body, new_app, parse_arguments, run


class TableState:
    """Rows by key, as `(value, version)`, and the sorted keys for scans."""

    def __init__(self):
        self._rows = {}
        self._keys = []

    def read(self, key):
        if key not in self._rows:
            return {"key": key, "value": None, "version": 0}
        value, version = self._rows[key]
        return {"key": key, "value": value, "version": version}

    def scan(self, prefix, after, limit):
        start = max(
            bisect.bisect_left(self._keys, prefix),
            bisect.bisect_right(self._keys, after),
        )
        rows = []
        for key in self._keys[start : start + limit]:
            if not key.startswith(prefix):
                break
            rows.append(self.read(key))
        return rows

    def transact(self, conditions, writes):
        """Apply `writes` if all conditions hold.

        Returns the new versions and no conflicts, or `None` and the conflicting rows.
        """
        conflicts = [
            self.read(condition["key"])
            for condition in conditions
            if self.read(condition["key"])["version"] != condition["version"]
        ]
        if conflicts:
            return None, conflicts
        return [self._write(write["key"], write["value"]) for write in writes], []

    def _write(self, key, value):
        version = self.read(key)["version"]
        if value is None:
            if version:
                del self._rows[key]
                del self._keys[bisect.bisect_left(self._keys, key)]
            return 0
        if not version:
            bisect.insort(self._keys, key)
        # Copied, so that no caller shares a mutable value with the table.
        self._rows[key] = (json.loads(json.dumps(value)), version + 1)
        return version + 1


def table_app(state: TableState, faults: Faults) -> bottle.Bottle:
    app = new_app(faults)

    @app.post("/v1/transactions")
    def transact():
        body = json_body()
        faults.admit(writes=True)
        try:
            versions, conflicts = state.transact(body["conditions"], body["writes"])
        except (KeyError, TypeError) as error:
            bottle.abort(400, f"malformed transaction: {error!r}")
        faults.finish(writes=True)
        if versions is None:
            bottle.response.status = 409
            return {"conflicts": conflicts}
        return {"versions": versions}

    @app.get("/v1/rows/<key:path>")
    def read(key):
        faults.admit(writes=False)
        row = state.read(key)
        faults.finish(writes=False)
        if not row["version"]:
            bottle.abort(404, "no such row")
        return row

    @app.get("/v1/rows")
    def scan():
        faults.admit(writes=False)
        query = bottle.request.query
        rows = state.scan(
            query.getunicode("prefix", ""),
            query.getunicode("after", ""),
            min(int(query.get("limit") or 1000), 5000),
        )
        faults.finish(writes=False)
        return {"rows": rows}

    return app


if __name__ == "__main__":
    options = parse_arguments(__doc__.splitlines()[0])
    table_faults = Faults(options.write_rate, options.read_rate)
    run(table_app(TableState(), table_faults), options.address)
