"""Upper bound on the throughput that any routing policy can reach on a system.

Each token, of the prompt or the answer, passes one engine of every layer range, so the
throughput is a flow from layer 0 to the last layer through engines of limited capacity.
The maximum flow is the bound. Links and latency are ignored, which can only raise it.
"""

import numpy as np
from scipy.sparse import csr_matrix
from scipy.sparse.csgraph import maximum_flow

from bench.topology import EngineSpec, Topology

# maximum_flow takes integers; capacities are counted in thousandths of a token.
_SCALE = 1000


def engine_capacity(spec: EngineSpec) -> float:
    """Return the capacity of an engine in tokens per second.

    The base time of an iteration is ignored: its share vanishes as iterations grow, and
    an upper bound must not be below a throughput that can be reached.
    """
    return spec.tokens_per_second


def throughput_bound(topology: Topology) -> float:
    """Return the bound in tokens per second, prompt and answer tokens together.

    The nodes of the flow network are the layer boundaries and two nodes per engine,
    joined by an edge with the capacity of the engine.
    """
    boundaries = sorted({0, topology.layers, *(s.first for s in topology.engines)})
    index = {boundary: number for number, boundary in enumerate(boundaries)}
    size = len(boundaries) + 2 * len(topology.engines)
    capacities = np.zeros((size, size), dtype=np.int32)
    for number, spec in enumerate(topology.engines):
        inlet = len(boundaries) + 2 * number
        limit = int(engine_capacity(spec) * _SCALE)
        capacities[index[spec.first], inlet] = limit
        capacities[inlet, inlet + 1] = limit
        capacities[inlet + 1, index[spec.end]] = limit
    flow = maximum_flow(csr_matrix(capacities), index[0], index[topology.layers])
    return flow.flow_value / _SCALE
