#!/usr/bin/env python3
"""Compares what a call costs in two or more builds, side by side in one run: compare-builds.py BUILD BUILD... [options].

For each build it starts a store stand-in, one host whose node is the entry and one whose node is the gate, and a backend
server. Slices of load go to the builds in turn, so that whatever else the machine does meets all of them alike. It
prints the nodes' CPU time and system calls' wake-ups for each call, the time that a call spends on the way, and the
ratio of each build to the first. Bounded; ends by itself.
"""

import argparse
import contextlib
import pathlib
import random
import shutil
import statistics
import sys
import tempfile

sys.dont_write_bytecode = True  # The tree stays clean.

from example import http_requests as http  # noqa: E402
from example import load  # noqa: E402
from example.fleet import ADMIN_PORT, READY_SECONDS, Fleet, ServiceKind, wait_until  # noqa: E402
from example.processes import Children, RunError  # noqa: E402

SERVICE = ServiceKind("menu-catalogue", 2, 90, 0.05)
STREAM = ("menus", "example-diner-key", "menu-views")
CONFIG = pathlib.Path("examples/association.toml")


class Pair(Fleet):
    """Two hosts of one service; only the second has a backend server, so that every call crosses a peer link."""

    def __init__(self, children: Children, build: pathlib.Path, generator, flags: list[str]):
        super().__init__(children, build, generator, node_flags=flags)
        self.services = [SERVICE]
        self.hosts = self._place_hosts()
        self.entry_host, self.gate_host = self.hosts
        self.gate_host.domain = self.entry_host.domain
        self.samples: list[dict] = []

    def begin(self) -> None:
        self.start_store()
        self.apply(CONFIG)
        self.start_hosts()
        self.entry_host.backend.may_end = True
        self.entry_host.backend.kill()
        for it in self.hosts:
            wait_until(lambda host=it: http.request(host.address, ADMIN_PORT, "GET", "/readyz")[0] == 200,
                       READY_SECONDS, f"{it.name} is not ready", self.children)
        wait_until(self.knows_only_the_gate, READY_SECONDS, "the entry does not learn its upstream", self.children)
        wait_until(lambda: self._probe(self.entry_host, SERVICE.name), READY_SECONDS, "no answer", self.children)

    def knows_only_the_gate(self) -> bool:
        status = http.get_json(self.entry_host.address, ADMIN_PORT, "/status") or {"members": []}
        serving = [it["node"] for it in status["members"] if it["state"] == "serving"]
        return serving == [self.gate_host.peer]

    def counters(self) -> dict:
        nodes = [it.node.pid for it in self.hosts]
        return {"cpu": sum(map(scheduled_seconds, nodes)), "wakes": sum(map(voluntary_switches, nodes))}

    def slice(self, number: int, rate: float, seconds: float) -> dict:
        """One slice of load: what it cost."""
        before = self.counters()
        options = load.LoadOptions(seconds, seed=number)
        stream = load.Stream(*STREAM, [SERVICE.name], rate)
        caller = self.children.start(f"caller-{number}", [
            self.program("standin_caller"), f"--seconds={seconds}", f"--seed={number}", "--timeout_ms=2000",
            f"--entries={self.entry_host.entry}", f"--mix={stream.flag(1)}"])
        caller.may_end = True
        report = load.finish_load(caller, options)["streams"][STREAM[0]]
        after = self.counters()
        calls = max(1, report["onTime"])
        return {"calls": report["onTime"], "offered": report["offered"],
                "cpu_us": 1e6 * (after["cpu"] - before["cpu"]) / calls,
                "wakes": (after["wakes"] - before["wakes"]) / calls,
                "p50_us": report["wayUs"]["p50"], "p99_us": report["wayUs"]["p99"]}


def tasks(pid: int) -> list[pathlib.Path]:
    return list(pathlib.Path(f"/proc/{pid}/task").iterdir())


def scheduled_seconds(pid: int) -> float:
    """Time on a processor, of all threads (proc(5), schedstat)."""
    return sum(int((it / "schedstat").read_text().split()[0]) for it in tasks(pid)) / 1e9


def voluntary_switches(pid: int) -> int:
    """How often the threads went to sleep, and so were woken."""
    lines = [line for it in tasks(pid) for line in (it / "status").read_text().splitlines()]
    return sum(int(it.split()[1]) for it in lines if it.startswith("voluntary_ctxt_switches"))


def print_table(pairs: list[Pair]) -> None:
    names = ["cpu_us", "wakes", "p50_us", "p99_us"]
    print(f"{'build':<34}{'calls':>7}{'on time':>9}" + "".join(f"{it:>10}{'ratio':>7}" for it in names))
    first = None
    for pair in pairs:
        values = {it: statistics.median(sample[it] for sample in pair.samples) for it in names}
        first = first or values
        offered, calls = (sum(it[key] for it in pair.samples) for key in ("offered", "calls"))
        cells = "".join(f"{values[it]:>10.1f}{values[it] / first[it] if first[it] else 0:>7.2f}" for it in names)
        print(f"{str(pair.build)[-33:]:<34}{offered:>7}{calls:>9}{cells}")


def read_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("builds", nargs="+", type=pathlib.Path, help="build folders; the first is the base")
    parser.add_argument("--rate", type=float, default=300.0, help="calls a second")
    parser.add_argument("--slices", type=int, default=6, help="slices of load for each build")
    parser.add_argument("--slice-seconds", type=float, default=1.0)
    parser.add_argument("--node-flag", action="append", default=[], help="one more flag for every node")
    return parser.parse_args()


def main() -> int:
    arguments = read_arguments()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="stairspur-compare-"))
    try:
        with contextlib.ExitStack() as stack:
            pairs = []
            for n, it in enumerate(arguments.builds):
                own = folder / str(n)
                own.mkdir()
                children = stack.enter_context(Children(own))
                pairs.append(Pair(children, it.resolve(), random.SystemRandom(), arguments.node_flag))
            for it in pairs:
                it.begin()
            for number in range(arguments.slices + 1):
                samples = [it.slice(number + 1, arguments.rate, arguments.slice_seconds) for it in pairs]
                for pair, sample in zip(pairs, samples):
                    pair.samples += [sample] if number > 0 else []  # The first warms up.
            print_table(pairs)
    except RunError as error:
        print(f"compare-builds: error: {error}")
        return 1
    except KeyboardInterrupt:
        return 1
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
