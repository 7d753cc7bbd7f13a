"""What callers may hold on a VM, from the platform's settings file."""

import json

import pytest
from hypothesis import given, seed, settings
from hypothesis import strategies as st

from bulrushdrum._internal.gateway.body_buffer import BodyBuffer
from bulrushdrum._internal.platform.router_settings import read_router_settings
from bulrushdrum._internal.settings.errors import SettingsError
from bulrushdrum._internal.settings.router import CallerResources

BODY_BYTES = 4_194_304


def read(tmp_path, **fields):
    path = tmp_path / "settings.json"
    path.write_text(
        json.dumps(
            {
                "node-name": "r1",
                "zone": "a",
                "ip": "10.0.0.1",
                "listen": {"front": "10.0.0.1:80", "ready-addr": "10.0.0.1:81"},
                "internal-ports": [7000, 7001],
                "platform": {"address": "10.0.0.2:90"},
                **fields,
            }
        )
    )
    return read_router_settings(str(path)).caller_resources


def test_limits_of_the_settings_file_are_converted(tmp_path):
    resources = read(tmp_path, limits={"memory-mb": 200, "max-fds": 4100})
    assert resources == CallerResources(200_000_000, 4100)
    assert read(tmp_path) == CallerResources()
    assert read(tmp_path, limits={"max-fds": 500}).memory_bytes == 256_000_000


@pytest.mark.parametrize(
    "limits",
    [
        {"memory-mb": 0},
        {"memory-mb": -1},
        {"memory-mb": "much"},
        {"max-fds": 0},
        {"max-fds": 1e400},
        [],
        None,
    ],
)
def test_limits_without_meaning_are_rejected(tmp_path, limits):
    # Guards against a router that starts without a bound.
    with pytest.raises(SettingsError):
        read(tmp_path, limits=limits)


@pytest.mark.parametrize("memory_mb", [200, 256, 552])
def test_a_vm_has_room_for_several_of_the_largest_bodies(memory_mb):
    # Guards against a budget that callers within the limits meet. A body that is sent
    # on is in memory twice, beside the 36 MB of the process.
    memory_bytes = memory_mb * 1_000_000
    held_bytes = CallerResources(memory_bytes).held_bytes
    assert held_bytes > 10 * BODY_BYTES
    assert 2 * held_bytes + 36_000_000 < memory_bytes


@pytest.mark.parametrize("descriptors", [600, 4100, 10_933])
def test_each_caller_may_need_a_descriptor_for_an_upstream(descriptors):
    # Guards against callers that leave no descriptors for upstreams and the store.
    connections = CallerResources(descriptors=descriptors).connections
    assert connections >= 100
    assert 2 * connections + 400 <= descriptors


@seed(20261206)
@settings(max_examples=200, deadline=None)
@given(st.lists(st.integers(1, 150_000), max_size=12))
def test_a_body_is_the_sum_of_its_parts(sizes):
    # Guards against parts that are lost or exchanged at the end of a block.
    parts = [bytes([n + 1]) * size for n, size in enumerate(sizes)]
    buffer = BodyBuffer()
    for part in parts:
        buffer.append(part)
    assert buffer.join() == b"".join(parts)
    assert buffer.size == sum(sizes)
    assert buffer.size <= buffer.held_bytes <= buffer.size + 65_536
