"""Invalid values and malformed frames must not crash a process with greenlets."""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

# Each program provokes Cap'n Proto errors in greenlets of different stack depths.
ENCODING_PROGRAM = """
import gevent
from bulrushdrum._internal.peering.errors import FrameError
from bulrushdrum._internal.peering.codec import encode
from bulrushdrum._internal.peering.request_messages import Step
from bulrushdrum._internal.peering.shared_state_messages import RecordsAck

refused = 0

def work(message):
    global refused
    for _ in range(200):
        try:
            encode(message)
        except FrameError:
            refused += 1
        gevent.sleep(0.0001)

messages = [RecordsAck(batch=-1), Step("r", tokens=(1, 2**32)), Step("r", count=2**40)]
greenlets = [gevent.spawn(work, message) for message in messages]
for _ in range(100):
    gevent.sleep(0.001)
gevent.joinall(greenlets)
print(refused)
"""

# Packed, each of these frames is larger than the message itself.
GROWING_FRAMES_PROGRAM = """
import gevent
from gevent.event import Event
from bulrushdrum._internal.peering.codec import decode, encode
from bulrushdrum._internal.peering.request_messages import Call, CallResult, Step, Steps

growing = (b"x" * 8 + b"y" * 6 + bytes(2)) * 100
bodies = [growing, b"x" * 100_000, b"x" * 7_000_000]
messages = [CallResult("c", body=body) for body in bodies]
messages += [Call("c", body=body) for body in bodies]
messages += [
    Steps(tuple(Step("r", activation=part) for _ in range(3000)))
    for part in (b"x" * 8, growing[:128], b"x" * 1000)
]
resumed = Event()
equal = 0

def work(message):
    global equal
    resumed.wait()
    equal += decode(encode(message)) == message

greenlets = [gevent.spawn(work, message) for message in messages]
gevent.sleep(0.01)
resumed.set()
gevent.joinall(greenlets, raise_error=True)
print(equal, len(messages))
"""

HANDSHAKE_PROGRAM = """
import random
import struct
import gevent
from gevent import socket
from bulrushdrum._internal.peering.connections import PeerServer
from bulrushdrum._internal.peering.handshake import PeerIdentity, PeeringKeys
from bulrushdrum._internal.peering.codec import encode
from bulrushdrum._internal.peering.process_messages import Hello

with socket.socket() as reserved:
    reserved.bind(("127.0.0.1", 0))
    port = reserved.getsockname()[1]
refused = []
server = PeerServer(
    f"127.0.0.1:{port}",
    PeerIdentity("sidecar", "a", "a.1", "dc1", f"127.0.0.1:{port}"),
    PeeringKeys("k1", {"k1": b"x" * 16}),
    on_connect=lambda connection: None,
    on_refused=lambda address, error: refused.append(error),
)
server.start()
draw = random.Random(1)
good = encode(Hello(1, "entry", "b", "b.1", "dc1", "", "k1", b"0123456789abcdef"))

def send(data):
    sock = socket.create_connection(("127.0.0.1", port))
    # The reader blocks in the middle of the frame, so that the event loop's stack has
    # changed when it resumes.
    sock.sendall(struct.pack("!I", len(data)))
    gevent.sleep(0.002)
    sock.sendall(data)
    sock.settimeout(0.2)
    try:
        sock.recv(1000)
    except OSError:
        pass
    sock.close()

for _ in range(60):
    frames = []
    for _ in range(5):
        data = bytearray(good)
        for _ in range(3):
            data[draw.randrange(len(data))] = draw.randrange(256)
        frames.append(bytes(data))
    gevent.joinall([gevent.spawn(send, data) for data in frames])
gevent.sleep(0.2)
print(len(refused))
"""


def run_program(program):
    return subprocess.run(
        [sys.executable, "-c", program],
        cwd=ROOT,
        env={"PYTHONPATH": "src"},
        capture_output=True,
        text=True,
        timeout=60,
    )


def test_values_out_of_range_raise_frame_error_in_greenlets():
    # Guards against a segmentation fault: the stack trace that Cap'n Proto captures for
    # an exception reads beyond the end of a greenlet's stack.
    completed = run_program(ENCODING_PROGRAM)
    assert (completed.returncode, completed.stdout) == (0, "600\n"), completed.stderr


def test_frames_that_grow_when_they_are_packed_do_not_crash_a_greenlet():
    # Guards against the same fault in pycapnp's retry with a larger buffer: a body of
    # 1.6 KB could end an entry, and an answer of 100 KB a sidecar.
    completed = run_program(GROWING_FRAMES_PROGRAM)
    assert (completed.returncode, completed.stdout) == (0, "9 9\n"), completed.stderr


def test_malformed_handshakes_are_refused_without_a_crash():
    # Guards against the same fault when an unauthenticated peer sends malformed bytes.
    completed = run_program(HANDSHAKE_PROGRAM)
    assert (completed.returncode, completed.stdout) == (0, "300\n"), completed.stderr
