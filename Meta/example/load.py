"""The load of the example: mixed classes through the entries, and the same mix straight to backend servers."""

import dataclasses
import json
import pathlib

from .fleet import KEYED, Fleet
from .processes import Child, RunError


@dataclasses.dataclass
class Stream:
    """Calls of one kind; `chain` names the entered service and those below it."""
    name: str
    key: str
    class_name: str
    chain: list[str]
    rate: float  # Calls a second.

    def flag(self, share: float) -> str:
        return f"{self.name}:{self.key}:{self.class_name}:{'>'.join(self.chain)}:{self.rate * share:g}"


# In the order of the classes' ranks; each chain is a call path of examples/association.toml. The first is three deep.
STREAMS = [
    Stream("orders", "example-kitchen-key", "paid-orders", ["order-intake", "courier-maps", "courier-payouts"], 60),
    Stream("payouts", "example-courier-key", "payouts", ["courier-payouts"], 30),
    Stream("routes", "example-courier-key", "route-packs", ["courier-maps"], 80),
    Stream("menus", "example-diner-key", "menu-views", ["menu-catalogue", "courier-maps"], 150),
    # Three times what its quota allows.
    Stream("watcher", "example-watcher-key-2", "menu-views", ["menu-catalogue"], 60),
    Stream("lookups", "example-back-office-key", "internal-lookups", ["menu-catalogue", "courier-maps"], 40),
]


@dataclasses.dataclass
class LoadOptions:
    seconds: float
    retries: int = 0
    honours_retry_after: bool = True
    may_lose: tuple = ()
    seed: int = 1
    timeout_ms: int = 2000


def start_load(fleet: Fleet, name: str, streams: list[Stream], options: LoadOptions) -> Child:
    """Starts a caller against the entries."""
    mix = ",".join(it.flag(1) for it in streams)
    caller = fleet.children.start(name, [*_command(fleet, name, options), f"--entries={','.join(fleet.entries())}",
                                         f"--mix={mix}"])
    caller.may_end = True
    return caller


def start_direct_load(fleet: Fleet, streams: list[Stream], share: float, options: LoadOptions) -> list[Child]:
    """Starts a caller for each stream against the backend server that serves it directly."""
    callers = []
    for it in streams:
        address, port, _ = fleet.direct[it.chain[0]]
        name = f"direct-caller-{it.name}"
        caller = fleet.children.start(name, [*_command(fleet, name, options), f"--direct={address}:{port}",
                                             f"--mix={it.flag(share)}"])
        caller.may_end = True
        callers.append(caller)
    return callers


def _command(fleet: Fleet, name: str, options: LoadOptions) -> list:
    command = [fleet.program("standin_caller"), f"--seconds={options.seconds}", f"--retries={options.retries}",
               f"--keyed={','.join(KEYED)}", f"--record={record_path(fleet, name)}", f"--seed={options.seed}",
               f"--timeout_ms={options.timeout_ms}", f"--honour_retry_after={str(options.honours_retry_after).lower()}"]
    return command + ([f"--may_lose={','.join(options.may_lose)}"] if options.may_lose else [])


def record_path(fleet: Fleet, name: str) -> pathlib.Path:
    return fleet.children.folder / f"{name}.record"


def finish_load(caller: Child, options: LoadOptions) -> dict:
    """The report of a caller, once it has ended by itself."""
    code = caller.wait(options.seconds + 30)
    if code not in (0, 1):
        raise RunError(f"{caller.name} ended with {code}: {caller.log_tail()}")
    report = json.loads(caller.output())
    report["exitCode"] = code
    return report


def read_record(fleet: Fleet, name: str) -> list[dict]:
    with open(record_path(fleet, name), encoding="utf-8") as lines:
        return [json.loads(it) for it in lines]
