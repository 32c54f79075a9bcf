#!/usr/bin/env python3
"""Runs the Association's example on loopback and prints its table.

Starts the store stand-in and fifteen hosts (a node and a backend server each) in three failure domains as separate
processes, applies the operators' file, drives mixed classes with a three-deep chain through entries of every domain,
and at the same time the same mix straight to backend servers. Then it stops everything by SIGTERM. Exit 0 only if
every call got exactly one answer, its own, if no `not-run` was untrue, and if no Idempotency-Key ran twice.
"""

import argparse
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import threading
import time
import tomllib

sys.dont_write_bytecode = True  # The tree stays clean.

from example import audit, load, report, scenarios  # noqa: E402
from example.fleet import SERVICES, Fleet  # noqa: E402
from example.processes import Children, RunError  # noqa: E402

DIRECT_SHARE = 0.5  # Of each stream's rate, straight to backend servers of the same kind.
WARM_UP_SECONDS = 2.0
EXIT_FAILED, EXIT_ERROR = 1, 2


def read_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="Meta/stairspur.sh run", description=__doc__,
                                     formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("build", type=pathlib.Path, help="build folder")
    parser.add_argument("--seconds", type=float, default=10.0, help="how long calls are offered")
    parser.add_argument("--config", type=pathlib.Path, default=pathlib.Path("examples/association.toml"))
    parser.add_argument("--rate", type=float, default=1.0, help="factor on the rate of every class")
    parser.add_argument("--keep-logs", action="store_true", help="leave the processes' logs in place")
    parser.add_argument("--seed", type=int, default=1, help="seed of the arrivals")
    parser.add_argument("--node-flag", action="append", default=[], help="one more flag for every node")
    services = [it.name for it in SERVICES]
    only_one = parser.add_mutually_exclusive_group()
    only_one.add_argument("--kill-node", nargs="?", const="menu-catalogue", choices=services,
                          help="SIGKILL a node of the service in mid-run")
    only_one.add_argument("--pause-node", nargs="?", const="menu-catalogue", choices=services,
                          help="SIGSTOP a node of the service for a third of the run")
    only_one.add_argument("--drain-node", nargs="?", const="menu-catalogue", choices=services,
                          help="drain a node of the service in mid-run")
    only_one.add_argument("--store-down", action="store_true", help="no store for the middle half of the run")
    only_one.add_argument("--overload", type=float, metavar="FACTOR",
                          help="slow a deep service to 1/FACTOR of its demand for the middle third")
    only_one.add_argument("--limit-rate", type=float, metavar="FACTOR",
                          help="a deep service states a rate limit of 1/FACTOR of its demand for the middle third")
    only_one.add_argument("--race-apply", action="store_true", help="apply two different files at once")
    return parser.parse_args()


def choose_scenario(arguments: argparse.Namespace, streams: list) -> scenarios.Scenario:
    seconds = arguments.seconds
    if arguments.kill_node:
        return scenarios.KillNode(seconds, streams, arguments.kill_node)
    if arguments.pause_node:
        return scenarios.PauseNode(seconds, streams, arguments.pause_node)
    if arguments.drain_node:
        return scenarios.DrainNode(seconds, streams, arguments.drain_node)
    if arguments.store_down:
        return scenarios.StoreDown(seconds, streams)
    if arguments.overload:
        return scenarios.Overload(seconds, streams, arguments.overload)
    if arguments.limit_rate:
        return scenarios.LimitRate(seconds, streams, arguments.limit_rate)
    if arguments.race_apply:
        return scenarios.RaceApply(seconds, streams, arguments.config.read_text())
    return scenarios.Scenario(seconds, streams)


def start_fleet(fleet: Fleet, scenario: scenarios.Scenario, config: pathlib.Path) -> None:
    started = time.monotonic()
    fleet.start_store()
    fleet.apply(config)
    fleet.start_hosts()
    if scenario.has_direct:
        fleet.start_direct()
    fleet.wait_until_ready()
    print(f"{len(fleet.hosts)} nodes and backend servers in 3 failure domains ready after "
          f"{time.monotonic() - started:.1f} s", flush=True)


def disturb_safely(scenario: scenarios.Scenario, fleet: Fleet, started: float, faults: list[str]) -> None:
    try:
        scenario.disturb(fleet, started)
    except Exception as error:  # pylint: disable=broad-except; said in the last line, whatever it was.
        faults.append(f"the disturbance failed: {error!r}")


def drive(fleet: Fleet, scenario: scenarios.Scenario, seed: int) -> tuple[dict, dict, list[str]]:
    """The load with the scenario beside it: the report, the direct reports by stream, and faults."""
    options = scenario.options(fleet)
    options.seed = seed
    faults: list[str] = []
    caller = load.start_load(fleet, "caller", scenario.streams, options)
    straight = load.start_direct_load(fleet, scenario.streams, DIRECT_SHARE, options) if scenario.has_direct else []
    beside = threading.Thread(target=disturb_safely, args=(scenario, fleet, time.monotonic(), faults),
                              daemon=True)
    beside.start()
    result = load.finish_load(caller, options)
    direct = {}
    for stream, it in zip(scenario.streams, straight):
        report_of_stream = load.finish_load(it, options)
        direct[stream.name] = report_of_stream["streams"][stream.name]
        faults += [f"direct: {fault}" for fault in audit.unsound(report_of_stream)]
    beside.join()
    ordered = {it.name: {**result["streams"][it.name], "hops": len(it.chain)} for it in scenario.streams}
    result["streams"] = ordered
    return result, direct, faults + audit.unsound(result)


def warm_up(fleet: Fleet, scenario: scenarios.Scenario) -> list[str]:
    """Fresh upstreams start slow; what is measured comes after."""
    options = load.LoadOptions(WARM_UP_SECONDS, retries=2, seed=99)
    caller = load.start_load(fleet, "warm-up", scenario.streams, options)
    return [f"warm-up: {it}" for it in audit.unsound(load.finish_load(caller, options))]


def run(fleet: Fleet, scenario: scenarios.Scenario, arguments: argparse.Namespace) -> list[str]:
    """Everything between the first start and the last stop. The faults found."""
    start_fleet(fleet, scenario, arguments.config)
    faults = warm_up(fleet, scenario)
    runs_before = sum(it["total"] for it in fleet.runs())
    cpu_before = fleet.node_cpu_seconds()
    result, direct, load_faults = drive(fleet, scenario, arguments.seed)
    cpu = fleet.node_cpu_seconds() - cpu_before
    resident = [it.node.resident_mib() for it in fleet.hosts if it.node.is_running()]
    runs = fleet.runs()
    record = load.read_record(fleet, "caller")

    for line in report.class_table(result, direct):
        print(line)
    if all(it.node.is_running() for it in fleet.hosts):
        calls = sum(it["offered"] for it in result["streams"].values())
        for line in report.cost_lines(cpu, calls, sum(it["total"] for it in runs) - runs_before, resident):
            print(line)
    print(fleet.members_line())
    findings = scenario.check(fleet, result, record)
    for line in findings.lines:
        print(line)
    faults += load_faults + findings.faults
    record += load.read_record(fleet, "warm-up")
    hops = {it.name: len(it.chain) for it in scenario.streams}
    extra = tomllib.loads(arguments.config.read_text())["retry"]["extra-attempts"]
    faults += audit.audit(record, runs) + audit.over_budget(record, runs, hops, extra)
    faults += [f"{it.name} ended by itself with {it.process.returncode}: {it.log_tail(2)}"
               for it in fleet.children.dead()]
    faults += fleet.stop()
    return faults


def stop_upon_signal(number, _frame) -> None:
    raise KeyboardInterrupt(f"signal {number}")


def main() -> int:
    arguments = read_arguments()
    signal.signal(signal.SIGTERM, stop_upon_signal)
    streams = [load.dataclasses.replace(it, rate=it.rate * arguments.rate) for it in load.STREAMS]
    scenario = choose_scenario(arguments, streams)
    folder = pathlib.Path(tempfile.mkdtemp(prefix="stairspur-run-"))
    keeps_logs = arguments.keep_logs
    try:
        with Children(folder) as children:
            fleet = Fleet(children, arguments.build.resolve(), random.SystemRandom(),
                          scenario.service_overrides(), arguments.node_flag)
            faults = run(fleet, scenario, arguments)
    except RunError as error:
        print(f"run: error: {error}")
        keeps_logs = True
        return EXIT_ERROR
    except KeyboardInterrupt:
        print("run: stopped before its end")
        return EXIT_ERROR
    finally:
        if keeps_logs:
            print(f"logs: {folder}")
        else:
            shutil.rmtree(folder, ignore_errors=True)
    for it in faults:
        print(f"FAULT: {it}")
    if faults:
        print(f"run: failed, {len(faults)} faults")
        return EXIT_FAILED
    print("run: ok, every call got exactly one answer, its own")
    return 0


if __name__ == "__main__":
    sys.exit(main())
