"""Stand-in for the platform's VM list.

Run it as `python -m bench.standins.vm_list --address 127.0.0.1:21002 --lag-seconds 2`.
`PUT /v1/vms` with `{"vms": [...], "lag_seconds": 2}` replaces the list after the lag.
"""

if __name__ == "__main__":
    # bottle keeps the current request and response in a thread-local. Unless it is
    # patched, all greenlets share it: responses got the Content-Length of others.
    from gevent import monkey

    monkey.patch_all()

import hashlib
import json

import bottle
import gevent

from bench.standins.serving import Faults, json_body, new_app, parse_arguments, run


class VmListState:
    """The list as readers see it; a change becomes visible after a lag, in order."""

    def __init__(self, lag_seconds: float = 0.0):
        self.lag_seconds = lag_seconds
        self.vms = []
        self._last_put = 0
        self._visible_put = 0

    def put(self, vms, lag_seconds):
        self._last_put += 1
        if lag_seconds > 0:
            gevent.spawn_later(lag_seconds, self._publish, self._last_put, vms)
        else:
            self._publish(self._last_put, vms)

    def _publish(self, number, vms):
        if number > self._visible_put:
            self._visible_put = number
            self.vms = vms


def vm_list_app(state: VmListState, faults: Faults) -> bottle.Bottle:
    app = new_app(faults)

    @app.get("/v1/vms")
    def get():
        faults.admit(writes=False)
        body = json.dumps({"vms": state.vms})
        etag = f'"{hashlib.sha256(body.encode()).hexdigest()[:16]}"'
        faults.finish(writes=False)
        bottle.response.set_header("ETag", etag)
        if bottle.request.get_header("If-None-Match") == etag:
            bottle.response.status = 304
            return ""
        bottle.response.content_type = "application/json"
        return body

    @app.put("/v1/vms")
    def put():
        body = json_body()
        state.put(body["vms"], float(body.get("lag_seconds", state.lag_seconds)))
        return {}

    return app


if __name__ == "__main__":
    options = parse_arguments(__doc__.splitlines()[0], lag_seconds=0.0)
    run(
        vm_list_app(
            VmListState(options.lag_seconds),
            Faults(options.write_rate, options.read_rate),
        ),
        options.address,
    )
