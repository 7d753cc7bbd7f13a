"""Client for the platform's object store."""

from urllib.parse import quote, urlencode

from bulrushdrum._internal.platform.errors import ObjectNotFound, StoreUnavailable
from bulrushdrum._internal.platform.service import PlatformService


class ObjectStore:
    """Client for the object store; `timeout` bounds each request, in seconds."""

    def __init__(self, address: str, timeout: float):
        self._service = PlatformService("object store", address, timeout)

    def put_if_absent(self, name: str, data: bytes) -> bool:
        """Store `data` and return true; if the object exists, only return false.

        Raises `StoreUnavailable` or `WriteOutcomeUnknown`. After the latter, the call
        is safe to repeat: it returns false if the first one took effect.
        """
        headers = {"If-None-Match": "*", "Content-Type": "application/octet-stream"}
        path = f"/v1/objects/{quote(name, safe='')}"
        response = self._service.write("PUT", path, data, (201, 412), headers)
        return response.status == 201

    def get(self, name: str) -> bytes:
        """Return the object; raises `ObjectNotFound` or `StoreUnavailable`."""
        path = f"/v1/objects/{quote(name, safe='')}"
        response = self._service.read(path, (200, 404))
        if response.status == 404:
            raise ObjectNotFound(f"object {name!r} does not exist")
        return response.data

    def names(self, prefix: str, after: str = "") -> list[str]:
        """Return the sorted names that begin with `prefix` and follow `after`.

        Raises `StoreUnavailable`.
        """
        names = []
        while True:
            query = urlencode({"prefix": prefix, "after": after})
            response = self._service.read(f"/v1/objects?{query}", (200,))
            page = self._service.decode_json(response, StoreUnavailable).get("names")
            if not isinstance(page, list):
                raise StoreUnavailable("object store: the answer lacks the names")
            if not page or page[-1] <= after:
                return names
            names += page
            after = page[-1]
