"""Stand-in for the platform's object store, in memory.

Run it as `python -m bench.standins.objects --address 127.0.0.1:21001`.
"""

if __name__ == "__main__":
    # bottle keeps the current request and response in a thread-local. Unless it is
    # patched, all greenlets share it: responses got the Content-Length of others.
    from gevent import monkey

    monkey.patch_all()

import bisect

import bottle

from bench.standins.serving import MAX_BODY_BYTES, Faults, new_app, parse_arguments, run

_PAGE_SIZE = 1000


def objects_app(faults: Faults) -> bottle.Bottle:
    app = new_app(faults)
    objects = {}
    names = []

    @app.put("/v1/objects/<name:path>")
    def put(name):
        data = bottle.request.body.read(MAX_BODY_BYTES)
        faults.admit(writes=True)
        exists = name in objects
        if not exists or bottle.request.get_header("If-None-Match") != "*":
            if not exists:
                bisect.insort(names, name)
            objects[name] = data
            exists = False
        faults.finish(writes=True)
        bottle.response.status = 412 if exists else 201
        return {}

    @app.get("/v1/objects/<name:path>")
    def get(name):
        faults.admit(writes=False)
        if name not in objects:
            bottle.abort(404, "no such object")
        faults.finish(writes=False)
        bottle.response.content_type = "application/octet-stream"
        return objects[name]

    @app.get("/v1/objects")
    def scan():
        faults.admit(writes=False)
        prefix = bottle.request.query.getunicode("prefix", "")
        after = bottle.request.query.getunicode("after", "")
        start = max(
            bisect.bisect_left(names, prefix), bisect.bisect_right(names, after)
        )
        page = names[start : start + _PAGE_SIZE]
        faults.finish(writes=False)
        return {"names": [name for name in page if name.startswith(prefix)]}

    return app


if __name__ == "__main__":
    options = parse_arguments(__doc__.splitlines()[0])
    run(objects_app(Faults(options.write_rate, options.read_rate)), options.address)
