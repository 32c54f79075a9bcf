#!/usr/bin/env python3
"""Runs the example on two builds at once, as a rolling upgrade does: mixed-builds.py OLD NEW [--seconds N].

Three runs with the same seed: all nodes on OLD, all on NEW, and every second host on each of them. In each run one node
of either kind is restarted under load, and a changed configuration is applied. Prints the endings of all calls of each
run. Exit 0 only if every run kept the promises of `run`, if every node ended up with the same configuration, and if the
mixed run has no kind of ending that both runs of one build lack.
"""

import argparse
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time
import tomllib

sys.dont_write_bytecode = True  # The tree stays clean.

from example import audit, load, scenarios  # noqa: E402
from example import http_requests as http  # noqa: E402
from example.fleet import ADMIN_PORT, DOMAINS, READY_SECONDS, Fleet, wait_until  # noqa: E402
from example.processes import Children, RunError  # noqa: E402

CONFIG = pathlib.Path("examples/association.toml")
RETRIES = 2  # A caller whose entry restarts tries another one.


class MixedFleet(Fleet):
    """A fleet whose hosts take their nodes from a list of builds in turn."""

    def __init__(self, children: Children, builds: list[pathlib.Path]):
        super().__init__(children, builds[0], random.SystemRandom())
        self.builds = builds

    def node_build(self, number: int) -> pathlib.Path:
        return self.builds[number % len(self.builds)]

    def start_hosts(self) -> None:
        super().start_hosts()
        for n, it in enumerate(self.hosts):
            if self.node_build(n) != self.build:
                it.node.kill()
                self.start_node(n)

    def start_node(self, number: int) -> None:
        """Starts the node of a host again, on the host's own build."""
        host = self.hosts[number]
        command = [str(it) for it in host.node.process.args]
        command[0] = str(self.node_build(number) / "stairspur")
        host.node = self.children.start(f"node-{host.name}-{time.monotonic_ns()}", command)

    def entries(self, per_domain: int = 2) -> list[str]:
        """Not those of the hosts whose nodes are restarted."""
        spared = {self.hosts[n].entry for n in self.restarted()}
        return sorted(it for it in super().entries(per_domain + 1) if it not in spared)

    def restarted(self) -> list[int]:
        """The last two hosts: neighbours, so that a mixed fleet has one of each build."""
        return [len(self.hosts) - 2, len(self.hosts) - 1]


class UpgradeScenario(scenarios.Scenario):
    """Restarts two nodes one after the other, then applies another configuration."""

    def __init__(self, seconds: float, streams: list, text: str):
        super().__init__(seconds, streams)
        self.text = text
        self.versions: set = set()

    def options(self, fleet: Fleet) -> load.LoadOptions:
        return load.LoadOptions(self.seconds, retries=RETRIES)

    def disturb(self, fleet: MixedFleet, started: float) -> None:
        scenarios.sleep_until(started, self.seconds / 6)
        for n in fleet.restarted():
            host = fleet.hosts[n]
            host.node.may_end = True
            host.node.send(signal.SIGTERM)
            if host.node.wait(40) != 0:
                raise RunError(f"{host.node.name} ended with {host.node.process.returncode}")
            fleet.start_node(n)
            wait_until(lambda at=host: http.request(at.address, ADMIN_PORT, "GET", "/readyz")[0] == 200, READY_SECONDS,
                       f"{host.name} is not ready again", fleet.children)
        file = fleet.children.folder / "changed.toml"
        file.write_text(self.text.replace("extra-attempts = 3", "extra-attempts = 4"))
        child = fleet.start_apply(file, "apply-changed")
        if child.wait(30) != 0:
            raise RunError(f"the second apply ended with {child.process.returncode}: {child.output()}")
        end = time.monotonic() + 10
        while time.monotonic() < end:
            self.versions = scenarios.RaceApply._versions(fleet)  # pylint: disable=protected-access
            if len(self.versions) == 1 and next(iter(self.versions))[0] != 1:
                return
            time.sleep(0.1)


def play(builds: list[pathlib.Path], seconds: float, seed: int) -> tuple[dict, dict, list[str]]:
    """One run: its endings by service and kind, the keys of its logs by event, and its faults."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="stairspur-mixed-"))
    try:
        with Children(folder) as children:
            fleet = MixedFleet(children, builds)
            scenario = UpgradeScenario(seconds, list(load.STREAMS), CONFIG.read_text())
            fleet.start_store()
            fleet.apply(CONFIG)
            fleet.start_hosts()
            fleet.wait_until_ready()
            options = scenario.options(fleet)
            options.seed = seed
            caller = load.start_load(fleet, "caller", scenario.streams, options)
            scenario.disturb(fleet, time.monotonic())
            report = load.finish_load(caller, options)
            faults = audit.unsound(report)
            if len(scenario.versions) != 1:
                faults.append(f"the nodes do not agree on the configuration: {scenario.versions}")
            record = load.read_record(fleet, "caller")
            hops = {it.name: len(it.chain) for it in scenario.streams}
            extra = tomllib.loads(CONFIG.read_text())["retry"]["extra-attempts"] + 1
            runs = fleet.runs()
            faults += audit.audit(record, runs) + audit.over_budget(record, runs, hops, extra)
            endings: dict[str, int] = {}
            for it in record:
                endings[it["ending"]] = endings.get(it["ending"], 0) + 1
            metrics = names_of_metrics(fleet)
            faults += fleet.stop()
            return endings, {"logs": keys_of_logs(folder), "metrics": metrics}, faults
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def names_of_metrics(fleet: Fleet) -> set[str]:
    """Names and label keys of the metrics pages of all nodes."""
    found = set()
    for it in fleet.hosts:
        _, _, body = http.request(it.address, ADMIN_PORT, "GET", "/metrics")
        for line in (body.decode() if isinstance(body, bytes) else str(body)).splitlines():
            if line and not line.startswith("#"):
                name, _, labels = line.split(" ")[0].partition("{")
                found.add(name + "{" + ",".join(pair.partition("=")[0] for pair in labels.rstrip("}").split(",")) + "}")
    return found


def keys_of_logs(folder: pathlib.Path) -> set[str]:
    """Events of all nodes' logs with their keys."""
    found = set()
    for file in folder.glob("node-*.log"):
        for line in file.read_text(errors="replace").splitlines():
            words = [it.partition("=")[0] for it in line.split(" ") if "=" in it]
            event = next((it for it in line.split(" ") if it.startswith("event=")), "")
            found.update(f"{event} {it}" for it in words)
    return found


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("old", type=pathlib.Path)
    parser.add_argument("new", type=pathlib.Path)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    old, new = arguments.old.resolve(), arguments.new.resolve()
    results, failed = {}, False
    for name, builds in (("old", [old]), ("new", [new]), ("mixed", [old, new])):
        try:
            endings, names, faults = play(builds, arguments.seconds, arguments.seed)
        except RunError as error:
            print(f"{name}: error: {error}")
            return 1
        results[name] = (endings, names)
        print(f"{name}: {', '.join(f'{k} {v}' for k, v in sorted(endings.items()))}", flush=True)
        for it in faults:
            print(f"{name}: FAULT: {it}")
            failed = True
    for kind in ("logs", "metrics"):
        before, after = results["old"][1][kind], results["new"][1][kind]
        print(f"{kind}: {len(before & after)} names in both, only old: {sorted(before - after)}, "
              f"only new: {sorted(after - before)}")
    fresh = set(results["mixed"][0]) - set(results["old"][0]) - set(results["new"][0])
    if fresh:
        print(f"only the mixed run has: {sorted(fresh)}")
    print("mixed-builds: " + ("failed" if failed or fresh else "ok"))
    return 1 if failed or fresh else 0


if __name__ == "__main__":
    sys.exit(main())
