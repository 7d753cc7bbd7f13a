"""A stand-in store and a router process, for the tests of routers."""

import pytest
from bench.standins.row_store import RowStore
from tests.integration.router_system import Router


@pytest.fixture
def store():
    store = RowStore()
    yield store
    store.stop()


@pytest.fixture
def router(tmp_path, store):
    router = Router(tmp_path, store)
    yield router
    router.stop()
