"""Capacity plan of a scale run, made before anything is started: processes, memory, descriptors. No I/O.

The memory for the members of a group grows with the square of its size, as each courier of the group holds all others.
The byte figures are measured ones (docs/measurements.md, "The scale run"), rounded up.
"""

from __future__ import annotations

from dataclasses import dataclass, field

MB = 1_000_000
MAX_MEMORY_BYTES, MAX_PROCESSES = 12_000 * MB, 200
MAX_MEMBERS = 1_024  # that a courier holds (``PeerConfig.max_members``)
MAX_REAL_COURIERS = 100  # a rig has a block of 256 ports, and a courier takes two
MEMBER_BYTES = 1_100  # for each member that a courier holds
# Memory of a hollow courier without members, and of a process of hollow couriers without these.
HOLLOW_COURIER_BYTES, HOLLOW_HOST_BYTES = 100_000, 35 * MB
# Memory of a real courier without members, of a process of relays, and of the parent process.
REAL_COURIER_BYTES, RELAY_PROCESS_BYTES, PARENT_BYTES = 30 * MB, 30 * MB, 80 * MB
SIMULATED_COURIER_BYTES = 120_000  # memory without members
# Number of hollow couriers that get a process of their own, to measure what one costs alone; and the number of hollow
# couriers below which none gets one.
SINGLE_HOSTS, MIN_HOLLOW_FOR_SINGLE_HOSTS = 2, 20
# Most hollow couriers in one process, and number of couriers for each process of relays.
COURIERS_PER_HOST, COURIERS_PER_RELAY_PROCESS = 250, 1_000
SPARE_DESCRIPTORS = 64  # of each process, in addition to those for its couriers
DESCRIPTORS_PER_REAL_COURIER = 24  # in the parent process, for the courier's clients and its calls
FAULTS = ("none", "loss", "delay", "cut", "one-way", "stop", "kill", "restarts")


@dataclass(frozen=True, slots=True)
class RunParameters:
    """Parameters of one scale run. Times in microseconds."""

    real: int
    hollow: int
    zones: int = 1
    span: int = 30_000_000  # duration of the measurement
    seed: int = 1
    fault: str = "none"
    grouped: bool = False  # couriers know only those of their own zone
    rate: float = 1.0  # messages per second at a hollow courier
    failing: float = 0.001  # share of a hollow courier's calls that fail; the same share is refused
    period: int = 1_000_000  # between probes of members

    @property
    def couriers(self) -> int:
        """Number of real and hollow couriers."""
        return self.real + self.hollow


@dataclass(frozen=True, slots=True)
class ResourceLimits:
    """Resource limits of a run."""

    memory: int = MAX_MEMORY_BYTES  # of all processes together
    processes: int = MAX_PROCESSES
    descriptors: int = 1_024  # per process


@dataclass(slots=True)
class Plan:
    """The processes to start, and the resources that they are expected to take."""

    zones: dict[str, str] = field(default_factory=dict)  # by courier
    hosts: list[tuple[str, list[str]]] = field(default_factory=list)  # of each host process: its zone, its couriers
    # Couriers with a host process of their own; if there are any, another host process has no courier.
    single_hosts: list[str] = field(default_factory=list)
    relays: list[list[str]] = field(default_factory=list)  # of each relay process: its zones
    numbers: dict[str, int] = field(default_factory=dict)  # by courier: its position among all
    memory: int = 0  # bytes
    processes: int = 0  # including the parent process

    def zone(self, name: str) -> list[str]:
        """Return the names of the couriers of a zone."""
        return [courier for courier, zone in self.zones.items() if zone == name]


class RunTooLargeError(ValueError):
    """The requested run is invalid or exceeds the bounds.

    Each line of the message names one error and the accepted values.
    """


def _largest(parameters: RunParameters) -> int:
    """Return the size of the largest group in which all couriers know each other."""
    return -(-parameters.couriers // parameters.zones) if parameters.grouped else parameters.couriers


def _static_errors(parameters: RunParameters) -> list[str]:
    """Return the errors that do not depend on the bounds."""
    errors: list[str] = []
    if parameters.fault not in FAULTS:
        errors.append(f"--fault: {parameters.fault!r:.40} is unknown (wanted: {', '.join(FAULTS)})")
    if parameters.couriers < 2:
        errors.append(f"--real and --hollow: {parameters.couriers} couriers (wanted: 2 or more together)")
    if not 1 <= parameters.zones <= max(1, parameters.couriers):
        errors.append(
            f"--zones: {parameters.zones} for {parameters.couriers} couriers (wanted: one courier in each, or more)"
        )
    if parameters.real > MAX_REAL_COURIERS:
        errors.append(
            f"--real: {parameters.real} (wanted: {MAX_REAL_COURIERS} at the most, by the addresses that a rig has)"
        )
    if parameters.fault in ("cut", "one-way") and parameters.zones < 2:
        errors.append(f"--fault {parameters.fault}: there is one zone (wanted: --zones 2 or more)")
    if parameters.fault in ("stop", "kill") and not parameters.hollow:
        errors.append(f"--fault {parameters.fault}: no hollow courier (wanted: --hollow 1 or more)")
    return errors


def _too_many_members(largest: int) -> str:
    return (
        f"{largest} couriers know each other, and one holds {MAX_MEMBERS} members (wanted: {MAX_MEMBERS + 1} at "
        "the most in a group: fewer, or --grouped and more --zones)"
    )


def plan_run(parameters: RunParameters, bounds: ResourceLimits) -> Plan:
    """Plan a run.

    Raises ``RunTooLargeError`` with all invalid parameters, or, if there are none, with all exceeded bounds.
    """
    errors = _static_errors(parameters)
    if errors:
        raise RunTooLargeError("\n".join(errors))
    largest = _largest(parameters)
    if largest - 1 > MAX_MEMBERS:
        errors.append(_too_many_members(largest))
    layout = _lay_out(parameters)
    members = largest * MEMBER_BYTES
    memory_by_kind = {
        "the controlling process": PARENT_BYTES,
        "relays": RELAY_PROCESS_BYTES * len(layout.relays),
        "real": parameters.real * (REAL_COURIER_BYTES + members),
        "hollow": HOLLOW_HOST_BYTES * len(layout.hosts) + parameters.hollow * (HOLLOW_COURIER_BYTES + members),
    }
    layout.memory = sum(memory_by_kind.values())
    if layout.memory > bounds.memory:
        breakdown = ", ".join(f"{name} {size / MB:,.0f} MB" for name, size in memory_by_kind.items())
        errors.append(
            f"about {layout.memory / MB:,.0f} MB of memory ({breakdown}; {largest} members at {MEMBER_BYTES} bytes at "
            f"each) (wanted: {bounds.memory / MB:,.0f} MB at the most; --grouped and more --zones take less)"
        )
    layout.processes = 1 + len(layout.relays) + len(layout.hosts) + parameters.real
    if layout.processes > bounds.processes:
        errors.append(
            f"{layout.processes} processes: the controlling one, {len(layout.relays)} of relays, {len(layout.hosts)} "
            f"of hollow couriers, {parameters.real} real couriers (wanted: {bounds.processes} at the most)"
        )
    for process, needed in (
        ("a process of hollow couriers", max([0, *(len(names) for _, names in layout.hosts)]) + SPARE_DESCRIPTORS),
        (
            "the controlling process",
            SPARE_DESCRIPTORS
            + 4 * (len(layout.hosts) + len(layout.relays))
            + DESCRIPTORS_PER_REAL_COURIER * parameters.real,
        ),
        ("a process of relays", max(map(len, layout.relays)) + SPARE_DESCRIPTORS),
    ):
        if needed > bounds.descriptors:
            errors.append(
                f"{process} needs {needed} descriptors, and a process may have {bounds.descriptors} (wanted: "
                "less, or a higher limit by ulimit -n in the starting shell)"
            )
    if errors:
        raise RunTooLargeError("\n".join(errors))
    return layout


def _lay_out(parameters: RunParameters) -> Plan:
    layout = Plan()
    names = [f"n{n}" for n in range(parameters.real)] + [f"h{n}" for n in range(parameters.hollow)]
    layout.numbers = {name: position for position, name in enumerate(names)}
    # Round robin over the zones, so that each has real and hollow couriers.
    for position, name in enumerate(names):
        layout.zones[name] = f"z{position % parameters.zones}"
    if parameters.hollow >= MIN_HOLLOW_FOR_SINGLE_HOSTS:
        layout.single_hosts = [f"h{n}" for n in range(SINGLE_HOSTS)]
    for zone in (f"z{n}" for n in range(parameters.zones)):
        hollow = [name for name in layout.zone(zone) if name.startswith("h") and name not in layout.single_hosts]
        # Two hosts at least if grouped: with one, killing it would leave nobody in the zone to detect the failure.
        host_count = min(len(hollow), max(-(-len(hollow) // COURIERS_PER_HOST), 2 if parameters.grouped else 1))
        layout.hosts += [(zone, hollow[n::host_count]) for n in range(host_count)]
    layout.hosts += [(layout.zones[name], [name]) for name in layout.single_hosts]
    if layout.single_hosts:
        layout.hosts.append(("z0", []))  # measures what reporting costs
    zones = [f"z{n}" for n in range(parameters.zones)]
    processes = min(len(zones), max(1, -(-parameters.couriers // COURIERS_PER_RELAY_PROCESS)))
    layout.relays = [zones[n::processes] for n in range(processes)]
    return layout


def plan_simulation(parameters: RunParameters, bounds: ResourceLimits) -> int:
    """Return the bytes of memory that a run on the simulated network takes.

    Raises ``RunTooLargeError`` if the run is invalid or a group has too many members, or with the calculation if the
    memory is above the bound.
    """
    errors = _static_errors(parameters)
    if errors:
        raise RunTooLargeError("\n".join(errors))
    couriers, largest = parameters.couriers, _largest(parameters)
    memory = PARENT_BYTES + couriers * (SIMULATED_COURIER_BYTES + largest * MEMBER_BYTES)
    if memory > bounds.memory:
        max_members = int((((bounds.memory - PARENT_BYTES) / couriers) - SIMULATED_COURIER_BYTES) / MEMBER_BYTES)
        raise RunTooLargeError(
            f"--model: {couriers:,} couriers that know {largest:,} each at {MEMBER_BYTES:,} bytes take "
            f"{memory / MB:,.0f} MB (wanted: {bounds.memory / MB:,.0f} MB at the most; "
            + (f"--grouped with --zones {-(-couriers // max_members)} or more)" if max_members > 1 else "fewer)")
        )
    if largest - 1 > MAX_MEMBERS:
        raise RunTooLargeError(f"--model: {_too_many_members(largest)}")
    return memory
