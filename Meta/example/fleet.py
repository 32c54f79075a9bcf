"""The Association's three failure domains with all four services: a node and a backend server on each host."""

import dataclasses
import pathlib
import signal
import time
import uuid

from . import http_requests as http
from .processes import Child, Children, RunError, free_port, is_free

DOMAINS = ["ljubljana-centre", "bezigrad", "domzale"]
PEER_PORT, ENTRY_PORT, ADMIN_PORT = 7100, 7101, 7102
KEYED = ["order-intake", "courier-payouts"]
READY_SECONDS = 30
STOP_SECONDS = 45


@dataclasses.dataclass
class ServiceKind:
    """A service at the Association's size of today; `service_ms` is this example's own choice."""
    name: str
    upstreams: int
    slots: int
    service_ms: float


SERVICES = [
    ServiceKind("menu-catalogue", 5, 90, 5),
    ServiceKind("order-intake", 4, 110, 8),
    ServiceKind("courier-maps", 3, 150, 6),
    ServiceKind("courier-payouts", 3, 20, 10),
]

# A caller of the file that may call each service, for the probes before the load.
PROBE_KEYS = {"menu-catalogue": "example-diner-key", "order-intake": "example-kitchen-key",
              "courier-maps": "example-courier-key", "courier-payouts": "example-courier-key"}


@dataclasses.dataclass
class Host:
    """A backend server host: its address, its failure domain, and the two processes."""
    name: str
    service: ServiceKind
    domain: str
    address: str
    backend_port: int
    node: Child | None = None
    backend: Child | None = None

    @property
    def entry(self) -> str:
        return f"{self.address}:{ENTRY_PORT}"

    @property
    def peer(self) -> str:
        return f"{self.address}:{PEER_PORT}"


class Fleet:
    """Starts, finds, and stops the processes of the example."""

    def __init__(self, children: Children, build: pathlib.Path, random, service_overrides=None, node_flags=()):
        self.children = children
        self.build = build
        self.random = random
        self.node_flags = list(node_flags)
        self.services = [(service_overrides or {}).get(it.name, it) for it in SERVICES]
        self.store_port = free_port(random)
        self.store_fault_port = free_port(random)
        self.store: Child | None = None
        self.hosts = self._place_hosts()
        self.extra_entries: list[str] = []
        self.direct: dict[str, tuple[str, int, Child]] = {}

    def _place_hosts(self) -> list[Host]:
        """Spreads the upstreams of each service over the domains. Hosts of one domain stand in three racks, so that
        the third number of an address tells them apart."""
        for _ in range(50):
            network = self.random.randrange(16, 250)
            if is_free(f"127.{network}.1.1", PEER_PORT):
                break
        hosts = []
        for service in self.services:
            for n in range(service.upstreams):
                place = n % len(DOMAINS)
                address = f"127.{network}.{10 * (place + 1) + len(hosts) % 3}.{len(hosts) + 1}"
                port = free_port(self.random)
                hosts.append(Host(f"{service.name}-{n + 1}", service, DOMAINS[place], address, port))
        return hosts

    @property
    def store_url(self) -> str:
        return f"http://127.0.0.1:{self.store_port}"

    def program(self, name: str) -> pathlib.Path:
        for it in (self.build / name, self.build / "tests" / name):
            if it.is_file():
                return it
        raise RunError(f"{name} is not built; run Meta/stairspur.sh build")

    def start_store(self) -> None:
        self.store = self.children.start("store", [self.program("standin_store"), f"--port={self.store_port}",
                                                   f"--fault_port={self.store_fault_port}"])
        wait_until(lambda: self.set_store_fault("ok"), 10, "the store stand-in does not answer", self.children)

    def set_store_fault(self, mode: str, **values) -> bool:
        status, _, _ = http.request("127.0.0.1", self.store_fault_port, "POST", "/fault", {"mode": mode, **values})
        return status == 200

    def apply(self, file: pathlib.Path) -> None:
        child = self.start_apply(file, "apply")
        code = child.wait(30)
        if code != 0:
            child.kill()
            raise RunError(f"stairspur apply ended with {code}: {child.log_tail()} {child.output()}")

    def start_apply(self, file: pathlib.Path, name: str) -> Child:
        child = self.children.start(name, [self.program("stairspur"), "apply", file, f"--store={self.store_url}"])
        child.may_end = True  # By itself; its exit code is looked at where it is started.
        return child

    def start_hosts(self) -> None:
        seeds = ",".join({it.domain: it.peer for it in reversed(self.hosts)}.values())
        for it in self.hosts:
            it.node = self.children.start(f"node-{it.name}", [
                self.program("stairspur"), "node", f"--host-address={it.address}", f"--failure-domain={it.domain}",
                f"--peer-port={PEER_PORT}", f"--entry-port={ENTRY_PORT}", f"--admin-port={ADMIN_PORT}",
                f"--admin-address={it.address}", f"--seeds={seeds}", f"--store={self.store_url}", *self.node_flags])
        for n, it in enumerate(self.hosts):
            it.backend = self.children.start(f"backend-{it.name}", self._backend_command(
                it.service, "127.0.0.1", it.backend_port, it.entry, n, f"{it.address}:{ADMIN_PORT}"))

    def start_direct(self) -> None:
        """One backend server of each service that callers reach without stairspur, chained in the paths' order."""
        ports = {it.name: free_port(self.random) for it in self.services}
        deeper = {"order-intake": "courier-maps", "menu-catalogue": "courier-maps", "courier-maps": "courier-payouts",
                  "courier-payouts": "courier-payouts"}
        for n, it in enumerate(self.services):
            entry = f"127.0.0.1:{ports[deeper[it.name]]}"
            child = self.children.start(f"direct-{it.name}", self._backend_command(
                it, "127.0.0.1", ports[it.name], entry, 100 + n, None))
            self.direct[it.name] = ("127.0.0.1", ports[it.name], child)

    def _backend_command(self, service: ServiceKind, address: str, port: int, entry: str, seed: int, announce) -> list:
        command = [self.program("standin_backend"), f"--address={address}", f"--port={port}",
                   f"--service={service.name}", f"--slots={service.slots}", f"--service_ms={service.service_ms}",
                   "--service_jitter=0.2", f"--entry={entry}", f"--keyed={','.join(KEYED)}", f"--seed={seed}"]
        return command + ([f"--announce={announce}"] if announce else [])

    def wait_until_ready(self) -> None:
        """Every node says that it is ready, and every entry of the load reaches every service."""
        for it in self.hosts:
            wait_until(lambda host=it: http.request(host.address, ADMIN_PORT, "GET", "/readyz")[0] == 200,
                       READY_SECONDS, f"{it.name} is not ready", self.children)
        for it in self.hosts:
            for service in self.services:
                wait_until(lambda host=it, name=service.name: self._probe(host, name), READY_SECONDS,
                           f"{it.name} cannot reach {service.name}", self.children)

    def _probe(self, host: Host, service: str) -> bool:
        headers = {"Authorization": f"Bearer {PROBE_KEYS[service]}", "Stairspur-Service": service,
                   "Stairspur-Timeout": "2000"}
        if service in KEYED:
            headers["Idempotency-Key"] = make_key()
        status, _, _ = http.request(host.address, ENTRY_PORT, "POST", "/call", {"nonce": "probe"}, headers)
        return status == 200

    def entries(self, per_domain: int = 2) -> list[str]:
        """Entries through which the load comes: some of each failure domain, and those asked for besides."""
        chosen = list(self.extra_entries)
        for domain in DOMAINS:
            chosen += [it.entry for it in self.hosts if it.domain == domain][:per_domain]
        return sorted(set(chosen))

    def backends_of(self, service: str) -> list[Host]:
        return [it for it in self.hosts if it.service.name == service]

    def control(self, service: str, **values) -> None:
        for it in self.backends_of(service):
            status, _, _ = http.request("127.0.0.1", it.backend_port, "POST", "/control", values)
            if status != 200:
                raise RunError(f"the backend server of {it.name} does not take /control")

    def members_line(self) -> str:
        """How many of the fleet's nodes each node knows."""
        known = []
        for it in self.hosts:
            status = http.get_json(it.address, ADMIN_PORT, "/status") if it.node.is_running() else None
            if status:
                known.append(len({member["node"] for member in status["members"]}))
        return (f"members that a node knows: {min(known)} to {max(known)} of {len(self.hosts)}"
                if known else "members that a node knows: no node tells")

    def node_cpu_seconds(self) -> float:
        return sum(it.node.cpu_seconds() for it in self.hosts)

    def total_runs(self, host: Host) -> int:
        """How many calls the backend server of a host has run."""
        found = http.get_json("127.0.0.1", host.backend_port, "/runs")
        if found is None:
            raise RunError(f"the backend server of {host.name} does not tell what it ran")
        return found["total"]

    def runs(self) -> list[dict]:
        """What ran at every backend server that still lives."""
        found = [http.get_json("127.0.0.1", it.backend_port, "/runs") for it in self.hosts if it.backend.is_running()]
        if None in found:
            raise RunError("a backend server does not tell what it ran")
        return found

    def stop(self) -> list[str]:
        """Stops all by SIGTERM: first the nodes, whose running calls need their backend servers. What went wrong."""
        nodes = [it.node for it in self.hosts]
        others = [it.backend for it in self.hosts] + [it[2] for it in self.direct.values()] + [self.store]
        faults = []
        for group in (nodes, others):
            alive = [it for it in group if it and not it.may_end]
            for it in alive:
                it.send(signal.SIGTERM)
            end = time.monotonic() + STOP_SECONDS
            for it in alive:
                code = it.wait(max(0.1, end - time.monotonic()))
                if code != 0:
                    faults.append(f"{it.name} ended with {code}: {it.log_tail(2)}")
        return faults


def make_key() -> str:
    """A UUID of version 7 (RFC 9562): keys carry the time of their making."""
    value = (int(time.time() * 1000) << 80) | (uuid.uuid4().int & ((1 << 80) - 1))
    value = (value & ~(0xF << 76)) | (7 << 76)
    return str(uuid.UUID(int=(value & ~(0x3 << 62)) | (0x2 << 62)))


def wait_until(is_done, seconds: float, problem: str, children: Children) -> None:
    """Polls until `is_done()`. Raises RunError after `seconds`, or at once when a process has died."""
    end = time.monotonic() + seconds
    while not is_done():
        dead = children.dead()
        if dead:
            raise RunError(f"{dead[0].name} ended with {dead[0].process.returncode}: {dead[0].log_tail()}")
        if time.monotonic() > end:
            raise RunError(f"{problem} after {seconds:.0f} s; see the logs in {children.folder}")
        time.sleep(0.05)
