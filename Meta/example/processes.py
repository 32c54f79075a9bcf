"""Child processes of a run: started, watched and ended by their own ids only."""

import os
import pathlib
import signal
import socket
import subprocess
import time

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
FIRST_PORT, LAST_PORT = 18000, 30000  # Below the range that the kernel gives to outgoing connections.


class RunError(Exception):
    """The run can't go on; the message says why and what to do."""


def free_port(random, address: str = "127.0.0.1") -> int:
    """A port of `address` that nobody listens on now."""
    for _ in range(200):
        port = random.randrange(FIRST_PORT, LAST_PORT)
        if is_free(address, port):
            return port
    raise RunError(f"no free port on {address} between {FIRST_PORT} and {LAST_PORT}; end what listens there")


def is_free(address: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((address, port))
        except OSError:
            return False
    return True


class Child:
    """One process with its output in files of the run's folder."""

    def __init__(self, name: str, command: list, folder: pathlib.Path):
        self.name = name
        self.out_path = folder / f"{name}.out"
        self.log_path = folder / f"{name}.log"
        self.may_end = False  # Its end is expected, or has been looked at.
        # Settings of the build (STAIRSPUR_JOBS and its like) are none of a node's.
        environment = {k: v for k, v in os.environ.items() if not k.startswith("STAIRSPUR_")}
        is_node = len(command) > 1 and command[1] == "node"  # Nodes write their log to standard output.
        with open(self.out_path, "wb") as out, open(self.log_path, "wb") as log:
            self.process = subprocess.Popen([str(it) for it in command], stdin=subprocess.DEVNULL,
                                            stdout=log if is_node else out,
                                            stderr=log, env=environment, start_new_session=True)

    @property
    def pid(self) -> int:
        return self.process.pid

    def is_running(self) -> bool:
        return self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        if self.is_running():
            self.process.send_signal(number)

    def kill(self) -> None:
        """Ends the process as a crash would."""
        self.may_end = True
        self.send(signal.SIGKILL)
        self.process.wait()

    def wait(self, seconds: float) -> int | None:
        """The exit code, or None when the process still runs after `seconds`."""
        try:
            return self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def output(self) -> str:
        return self.out_path.read_text(errors="replace")

    def log_tail(self, lines: int = 5) -> str:
        return "\n".join(self.log_path.read_text(errors="replace").splitlines()[-lines:])

    def cpu_seconds(self) -> float:
        """User and system time so far; 0 for a process that is gone (proc(5), fields 14 and 15)."""
        try:
            fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        except (FileNotFoundError, ProcessLookupError):
            return 0.0
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def resident_mib(self) -> float:
        try:
            status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        except (FileNotFoundError, ProcessLookupError):
            return 0.0
        lines = [it for it in status.splitlines() if it.startswith("VmRSS:")]
        return int(lines[0].split()[1]) / 1024 if lines else 0.0


class Children:
    """All processes of a run. Leaving the `with` block ends whatever still runs."""

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.all: list[Child] = []

    def __enter__(self) -> "Children":
        return self

    def __exit__(self, *_) -> None:
        for it in self.all:
            it.send(signal.SIGCONT)
            it.send(signal.SIGTERM)
        end = time.monotonic() + 5
        for it in self.all:
            if it.wait(max(0.0, end - time.monotonic())) is None:
                it.kill()

    def start(self, name: str, command: list) -> Child:
        child = Child(name, command, self.folder)
        self.all.append(child)
        return child

    def dead(self) -> list[Child]:
        """Processes that ended though nobody told them to."""
        return [it for it in self.all if not it.is_running() and not it.may_end]
