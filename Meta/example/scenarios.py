"""What happens to the fleet while it is under load, and what must hold all the same.

Each scenario has options for the load, a `disturb` step that runs beside it, and a `check` that returns what it
found in words and what went wrong.
"""

import dataclasses
import signal
import time

from . import http_requests as http
from . import report as tables
from .fleet import ADMIN_PORT, SERVICES, Fleet, Host, ServiceKind
from .load import LoadOptions, Stream


@dataclasses.dataclass
class Findings:
    """What a scenario saw: lines to print, and faults that fail the run."""
    lines: list[str] = dataclasses.field(default_factory=list)
    faults: list[str] = dataclasses.field(default_factory=list)


class Scenario:
    """The plain run: nothing is disturbed, and nothing may be refused as unknown or failed."""

    def __init__(self, seconds: float, streams: list[Stream]):
        self.seconds = seconds
        self.streams = streams
        self.has_direct = True

    def service_overrides(self) -> dict[str, ServiceKind]:
        return {}

    def options(self, fleet: Fleet) -> LoadOptions:
        return LoadOptions(self.seconds)

    def disturb(self, fleet: Fleet, started: float) -> None:
        """Runs beside the load, which began at `started` (monotonic)."""

    def check(self, fleet: Fleet, report: dict, record: list[dict]) -> Findings:
        bad = [it for it in record if it["ending"].startswith(("unknown/", "failed/"))]
        return Findings([], [f"{len(bad)} calls ended unknown or failed though nothing was disturbed"] if bad else [])


def sleep_until(started: float, seconds: float) -> None:
    time.sleep(max(0.0, started + seconds - time.monotonic()))


def unanswered(record: list[dict]) -> list[dict]:
    return [it for it in record if it["ending"] not in ("answered", "late")]


def count_endings(calls: list[dict]) -> str:
    counts: dict[str, int] = {}
    for it in calls:
        counts[it["ending"]] = counts.get(it["ending"], 0) + 1
    return ", ".join(f"{name} {count}" for name, count in sorted(counts.items())) or "none"


class NodeScenario(Scenario):
    """Something happens to one node; the load comes through it as well."""

    SERVICE_MS = 60  # Long runs, so that the node has calls in its hands.

    def __init__(self, seconds: float, streams: list[Stream], service: str):
        super().__init__(seconds, streams)
        self.service = service
        self.has_direct = False
        self.at = seconds / 3

    def service_overrides(self) -> dict[str, ServiceKind]:
        kind = next(it for it in SERVICES if it.name == self.service)
        return {self.service: dataclasses.replace(kind, service_ms=self.SERVICE_MS)}

    def target(self, fleet: Fleet) -> Host:
        """The first host of the service; the load comes through its entry too."""
        host = fleet.backends_of(self.service)[0]
        fleet.extra_entries = [host.entry]
        return host

    def options(self, fleet: Fleet) -> LoadOptions:
        self.target(fleet)
        return LoadOptions(self.seconds)


class KillNode(NodeScenario):
    """SIGKILL in mid-run: only the calls that the node had in its hands are lost."""

    WINDOW_BEFORE, WINDOW_AFTER = 2.0, 1.0  # Seconds around the kill in which a call may be lost.

    def options(self, fleet: Fleet) -> LoadOptions:
        return LoadOptions(self.seconds, may_lose=(self.target(fleet).entry,))

    def disturb(self, fleet: Fleet, started: float) -> None:
        sleep_until(started, self.at)
        self.target(fleet).node.may_end = True
        self.target(fleet).node.kill()

    def check(self, fleet: Fleet, report: dict, record: list[dict]) -> Findings:
        bad = unanswered(record)
        begin, end = self.at - self.WINDOW_BEFORE, self.at + self.WINDOW_AFTER
        outside = [it for it in bad if not begin <= it["dueMs"] / 1000 <= end]
        findings = Findings([f"node of {self.target(fleet).name} killed at {self.at:.1f} s: "
                             f"{len(bad)} of {len(record)} calls lost ({count_endings(bad)})"])
        if outside:
            findings.faults.append(f"{len(outside)} calls due earlier than {begin:.1f} s or later than {end:.1f} s "
                                   f"were not answered either: {count_endings(outside)}")
        return findings


class PauseNode(NodeScenario):
    """SIGSTOP for a third of the run, then SIGCONT: no call runs twice, and the fleet is whole again at the end."""

    RECOVERY = 3.0  # Seconds after the node goes on.

    def options(self, fleet: Fleet) -> LoadOptions:
        return LoadOptions(self.seconds, may_lose=(self.target(fleet).entry,))

    def disturb(self, fleet: Fleet, started: float) -> None:
        node = self.target(fleet).node
        sleep_until(started, self.at)
        node.send(signal.SIGSTOP)
        sleep_until(started, 2 * self.at)
        node.send(signal.SIGCONT)

    def check(self, fleet: Fleet, report: dict, record: list[dict]) -> Findings:
        bad = unanswered(record)
        elsewhere = [it for it in bad if it["target"] != self.target(fleet).entry]
        after = [it for it in bad if it["dueMs"] / 1000 > 2 * self.at + self.RECOVERY]
        findings = Findings([f"node of {self.target(fleet).name} paused from {self.at:.1f} s to {2 * self.at:.1f} s: "
                             f"{len(bad)} of {len(record)} calls not answered ({count_endings(bad)}), "
                             f"{len(elsewhere)} of them through other entries ({count_endings(elsewhere)})"])
        if after:
            findings.faults.append(f"{len(after)} calls due {self.RECOVERY:.0f} s after the pause or later were not "
                                   f"answered: {count_endings(after)}")
        return findings


class DrainNode(NodeScenario):
    """An operator's drain in mid-run: no call is cut, and the process ends by itself with 0."""

    STOP_SECONDS = 40
    SETTLED = 3.0  # Seconds after the drain; by then everything goes elsewhere.

    def __init__(self, seconds: float, streams: list[Stream], service: str):
        super().__init__(seconds, streams, service)
        self.code = None

    def disturb(self, fleet: Fleet, started: float) -> None:
        sleep_until(started, self.at)
        host = self.target(fleet)
        host.node.may_end = True
        http.request(host.address, ADMIN_PORT, "POST", "/drain", {})
        self.code = host.node.wait(self.STOP_SECONDS)

    def check(self, fleet: Fleet, report: dict, record: list[dict]) -> Findings:
        bad = unanswered(record)
        findings = Findings([f"node of {self.target(fleet).name} drained at {self.at:.1f} s, exit code {self.code}: "
                             f"{len(bad)} of {len(record)} calls not answered ({count_endings(bad)})"])
        if self.code != 0:
            findings.faults.append(f"the drained node ended with {self.code}")
        cut = [it for it in bad if not it["ending"].startswith("not-run/")]
        if cut:
            findings.faults.append(f"{len(cut)} calls were cut: {count_endings(cut)}")
        later = [it for it in bad if it["dueMs"] / 1000 > self.at + self.SETTLED]
        if later:
            findings.faults.append(f"{len(later)} calls due {self.SETTLED:.0f} s after the drain or later were refused "
                                   f"though others serve: {count_endings(later)}")
        return findings


class StoreDown(Scenario):
    """The platform's store is down for the middle half: calls do not notice."""

    def disturb(self, fleet: Fleet, started: float) -> None:
        sleep_until(started, self.seconds / 4)
        fleet.set_store_fault("down")
        sleep_until(started, self.seconds * 3 / 4)
        fleet.set_store_fault("ok")

    def check(self, fleet: Fleet, report: dict, record: list[dict]) -> Findings:
        bad = unanswered(record)
        findings = Findings([f"store down from {self.seconds / 4:.1f} s to {self.seconds * 3 / 4:.1f} s: "
                             f"{len(bad)} of {len(record)} calls not answered ({count_endings(bad)})"])
        if bad:
            findings.faults.append(f"{len(bad)} calls suffered from the store's outage")
        return findings


class Overload(Scenario):
    """A deep service slows to 1/FACTOR of what is asked of it for the middle third, and callers retry hard."""

    SERVICE = "courier-maps"
    SLOTS = 12  # Of each upstream, so that slowing it fills them with calls that can still end on time.
    RETRIES = 3

    def __init__(self, seconds: float, streams: list[Stream], factor: float):
        super().__init__(seconds, [dataclasses.replace(it, rate=it.rate * 1.5) for it in streams])
        self.factor = factor
        self.has_direct = False
        self.demand = sum(it.rate for it in self.streams if self.SERVICE in it.chain)

    def service_overrides(self) -> dict[str, ServiceKind]:
        return {self.SERVICE: ServiceKind(self.SERVICE, 3, self.SLOTS, 6)}

    def options(self, fleet: Fleet) -> LoadOptions:
        return LoadOptions(self.seconds, retries=self.RETRIES, honours_retry_after=False)

    def disturb(self, fleet: Fleet, started: float) -> None:
        upstreams = len(fleet.backends_of(self.SERVICE))
        slow_ms = 1000 * upstreams * self.SLOTS * self.factor / self.demand
        sleep_until(started, self.seconds / 3)
        fleet.control(self.SERVICE, serviceMs=slow_ms)
        sleep_until(started, self.seconds * 2 / 3)
        fleet.control(self.SERVICE, serviceMs=6)

    def check(self, fleet: Fleet, report: dict, record: list[dict]) -> Findings:
        third, bucket = self.seconds / 3, report["bucketMs"]
        findings = Findings([f"{self.SERVICE} slowed to 1/{self.factor:g} of its demand ({self.demand:g} calls/s) from "
                             f"{third:.1f} s to {2 * third:.1f} s; each caller tries {1 + self.RETRIES} times at once",
                             f"{'class':<17}{'before':>9}{'during':>9}{'after':>9}{'recovery s':>12}   (share on time)"])
        shares = []
        for stream, it in zip(self.streams, report["streams"].values()):
            phases = [tables.on_time_share(it, bucket, n * third, (n + 1) * third) for n in range(3)]
            recovery = tables.recovery_seconds(it, bucket, 2 * third)
            text = "not in the run" if recovery is None else f"{recovery:.2f}"
            findings.lines.append(f"{it['class']:<17}" + "".join(f"{share or 0:>9.3f}" for share in phases)
                                  + f"{text:>12}")
            if self.SERVICE in stream.chain:
                shares.append((it["class"], phases[1] or 0))
            if recovery is None:
                findings.faults.append(f"{it['class']} did not recover within the run")
        findings.faults += self._inversions(shares)
        return findings

    @staticmethod
    def _inversions(shares: list[tuple[str, float]], slack: float = 0.05) -> list[str]:
        """Classes that did worse than a less important one on the same service."""
        return [f"{upper} had {a:.3f} on time, the less important {lower} had {b:.3f}"
                for n, (upper, a) in enumerate(shares) for lower, b in shares[n + 1:] if a + slack < b]


class LimitRate(Overload):
    """A deep service states a rate limit of 1/FACTOR of its demand for the middle third."""

    LEARNING_SECONDS = 0.5  # From the first statement on until the limit is checked.

    def __init__(self, seconds: float, streams: list[Stream], factor: float):
        super().__init__(seconds, streams, factor)
        self.rate = 0.0
        self.length = 0.0
        self.runs: list[int] = []

    def service_overrides(self) -> dict[str, ServiceKind]:
        return {}

    def disturb(self, fleet: Fleet, started: float) -> None:
        self.rate = self.demand / self.factor / len(fleet.backends_of(self.SERVICE))
        sleep_until(started, self.seconds / 3)
        fleet.control(self.SERVICE, rateLimit=self.rate)
        time.sleep(self.LEARNING_SECONDS)
        before, begun = self._runs(fleet), time.monotonic()
        sleep_until(started, self.seconds * 2 / 3)
        self.runs = [b - a for a, b in zip(before, self._runs(fleet))]
        self.length = time.monotonic() - begun
        fleet.control(self.SERVICE, rateLimit=0)

    def check(self, fleet: Fleet, report: dict, record: list[dict]) -> Findings:
        findings = super().check(fleet, report, record)
        findings.lines[0] = (f"each upstream of {self.SERVICE} states {self.rate:.1f} calls/s, together 1/{self.factor:g} "
                             f"of its demand, and ran {', '.join(map(str, self.runs))} in {self.length:.1f} s")
        allowed = 1.5 * self.rate * self.length + 5
        findings.faults += [f"an upstream ran {it} calls where {allowed:.0f} are allowed"
                            for it in self.runs if it > allowed]
        return findings

    def _runs(self, fleet: Fleet) -> list[int]:
        return [fleet.total_runs(it) for it in fleet.backends_of(self.SERVICE)]


class RaceApply(Scenario):
    """Two operators apply different files at once: one wins, the other gets a conflict, and no host falls back."""

    EXIT_OK, EXIT_CONFLICT = 0, 3
    SLOW_MS = 150  # The store answers late, so that both read the same head.
    SPREAD_SECONDS = 10

    def __init__(self, seconds: float, streams: list[Stream], text: str):
        super().__init__(seconds, streams)
        self.text = text
        self.codes: list = []
        self.versions: set = set()

    def disturb(self, fleet: Fleet, started: float) -> None:
        sleep_until(started, self.seconds / 4)
        fleet.set_store_fault("slow", delayMs=self.SLOW_MS)
        files = []
        for n in (1, 2):
            file = fleet.children.folder / f"race-{n}.toml"
            file.write_text(self.text.replace("extra-attempts = 3", f"extra-attempts = {3 + n}"))
            files.append(file)
        racers = [fleet.start_apply(it, f"apply-race-{n}") for n, it in enumerate(files)]
        self.codes = [it.wait(30) for it in racers]
        fleet.set_store_fault("ok")
        end = time.monotonic() + self.SPREAD_SECONDS
        while time.monotonic() < end:
            self.versions = self._versions(fleet)
            if len(self.versions) == 1 and next(iter(self.versions))[0] != 1:
                break
            time.sleep(0.1)

    @staticmethod
    def _versions(fleet: Fleet) -> set:
        found = set()
        for it in fleet.hosts:
            status = http.get_json(it.address, ADMIN_PORT, "/status") or {}
            configuration = status.get("configuration", {})
            found.add((configuration.get("version"), configuration.get("hash")))
        return found

    def check(self, fleet: Fleet, report: dict, record: list[dict]) -> Findings:
        findings = Findings([f"two applies at once ended with {self.codes}; in force: {sorted(map(str, self.versions))}"])
        if sorted(map(str, self.codes)) != [str(self.EXIT_OK), str(self.EXIT_CONFLICT)]:
            findings.faults.append(f"expected one winner and one conflict, got exit codes {self.codes}")
        if len(self.versions) != 1:
            findings.faults.append(f"hosts do not agree after {self.SPREAD_SECONDS} s: {self.versions}")
        bad = unanswered(record)
        if bad:
            findings.faults.append(f"{len(bad)} calls suffered from the change: {count_endings(bad)}")
        return findings
