"""Stand-in for a model engine: the HTTP interface of section 16 of the design page.

Run it as `python -m bench.standins.engine --address 127.0.0.1:20000 --model
warwick-7b --first-layer 0 --end-layer 4 --model-layers 8`. `POST /v1/faults` with an
object such as `{"crash_at_step": 3}` sets faults, see `batching.Faults`; each call
replaces all earlier faults. `expected_answer` computes the answer of a chain without
faults.
"""

if __name__ == "__main__":
    # bottle keeps the current request and response in a thread-local. Unless it is
    # patched, all greenlets share it: responses got the Content-Length of others.
    from gevent import monkey

    monkey.patch_all()

import argparse
import json
import random
from dataclasses import fields

import bottle
import gevent

from bench.standins.batching import BatchingEngine, EngineOptions, Faults
from bench.standins.model_digest import expected_answer
from bench.standins.web import close_connection, serve

__all__ = ["create_app", "expected_answer", "main"]


def _bad_request(message):
    return bottle.HTTPResponse(json.dumps({"error": message}), 400)


class _EngineApp:
    """HTTP handlers of one engine."""

    def __init__(self, engine: BatchingEngine):
        self._engine = engine
        self._highest_fencing = 0
        self._role = ""
        self._adapters = []

    def describe(self):
        options = self._engine.options
        return {
            "engine": options.engine,
            "model": options.model,
            "model_version": options.model_version,
            "first_layer": options.first_layer,
            "end_layer": options.end_layer,
            "model_layers": options.model_layers,
            "accelerator": options.accelerator,
            "tokens_per_second": options.tokens_per_second,
            "slots": options.slots,
            "checks_fencing": options.checks_fencing,
            "role": self._role,
            "adapters": self._adapters,
        }

    def steps(self):
        steps = json.loads(bottle.request.body.read())["steps"]
        results = self._engine.submit(steps)
        if self._engine.faults.lose_answers > 0:
            self._engine.faults.lose_answers -= 1
            close_connection()
        bottle.response.content_type = "application/json"
        options = self._engine.options
        return json.dumps(
            {
                "model": options.model,
                "model_version": options.model_version,
                "role": self._role,
                "adapters": self._adapters,
                "results": results,
            }
        )

    def release(self):
        self._engine.release(bottle.request.json["sequences"])
        return {}

    def orders(self):
        order = bottle.request.json
        fencing = order["fencing"]
        if self._engine.options.checks_fencing and fencing < self._highest_fencing:
            return bottle.HTTPResponse(json.dumps({"error": "stale_fencing"}), 409)
        gevent.sleep(self._engine.faults.delay_order_seconds)
        self._highest_fencing = max(self._highest_fencing, fencing)
        self._engine.apply_order(order)
        self._role = order.get("role") or self._role
        self._adapters = list(order.get("adapters") or self._adapters)
        if self._engine.faults.lose_order_answers > 0:
            self._engine.faults.lose_order_answers -= 1
            close_connection()
        return self.describe()

    def load(self):
        return self._engine.load()

    def stats(self):
        """Return counters for measurements; not part of the engine interface."""
        runs = self._engine.runs
        return {
            "positions": sum(run.count for run in runs),
            "cached_positions": sum(run.cached for run in runs),
        }

    def cache_events(self):
        after = int(bottle.request.query.get("after") or 0)
        return {"events": self._engine.prefix_cache.events(after)}

    def journal(self):
        bottle.response.content_type = "application/x-ndjson"
        for run in self._engine.runs:
            yield "".join(json.dumps(line) + "\n" for line in run.lines())

    def faults(self):
        raw = bottle.request.json
        known = {item.name for item in fields(Faults)}
        unknown = set(raw) - known
        if unknown:
            return _bad_request(f"unknown faults {unknown}, known are {sorted(known)}")
        self._engine.faults = Faults(**raw)
        return {}


def create_app(engine: BatchingEngine) -> bottle.Bottle:
    """Return the WSGI application of `engine`."""
    routes = _EngineApp(engine)
    app = bottle.Bottle()
    app.get("/v1/engine")(routes.describe)
    app.post("/v1/steps")(routes.steps)
    app.post("/v1/release")(routes.release)
    app.post("/v1/orders")(routes.orders)
    app.get("/v1/load")(routes.load)
    app.get("/v1/stats")(routes.stats)
    app.get("/v1/cache-events")(routes.cache_events)
    app.get("/v1/journal")(routes.journal)
    app.post("/v1/faults")(routes.faults)
    return app


def _parse_arguments(arguments):
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--address", required=True, help="HOST:PORT to listen on")
    for item in fields(EngineOptions):
        flag = "--" + item.name.replace("_", "-")
        if item.type is bool:
            parser.add_argument(
                flag, default=item.default, action=argparse.BooleanOptionalAction
            )
        else:
            parser.add_argument(flag, default=item.default, type=item.type)
    return vars(parser.parse_args(arguments))


def main(arguments=None):
    """Serve the engine until the process is terminated."""
    values = _parse_arguments(arguments)
    address = values.pop("address")
    options = EngineOptions(**values)
    engine = BatchingEngine(options, random.Random(options.fault_seed))
    engine.start()
    serve(create_app(engine), address)


if __name__ == "__main__":
    main()
