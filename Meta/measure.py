#!/usr/bin/env python3
"""Runs one measurement of a build: measure.py BUILD NAME [options]. Bounded; ends by itself."""

import pathlib
import subprocess
import sys

PROGRAMS = ["overload", "membership", "keyed", "distribution", "link", "capacity"]
LATENCY_OPTIONS = ["--rate=0.3"]  # Light, so that queues play no part.
TIMEOUT_SECONDS = 900
EXIT_USAGE = 2


def command_for(build: pathlib.Path, name: str, options: list[str]) -> list[str] | None:
    if name == "latency":
        script = pathlib.Path(__file__).with_name("run-example.py")
        return [sys.executable, str(script), str(build), *LATENCY_OPTIONS, *options]
    for it in (build / "tests" / f"measure_{name}", build / f"measure_{name}"):
        if it.is_file():
            return [str(it.resolve()), *options]
    return None


def main() -> int:
    names = [*PROGRAMS, "latency"]
    if len(sys.argv) < 3 or sys.argv[2] not in names:
        print(f"measure: name one of {', '.join(names)}", file=sys.stderr)
        return EXIT_USAGE
    build, name = pathlib.Path(sys.argv[1]), sys.argv[2]
    command = command_for(build, name, sys.argv[3:])
    if not command:
        print(f"measure: {name} is not built; run Meta/stairspur.sh build", file=sys.stderr)
        return EXIT_USAGE
    try:
        return subprocess.run(command, timeout=TIMEOUT_SECONDS, check=False).returncode
    except subprocess.TimeoutExpired:
        print(f"measure: {name} did not end within {TIMEOUT_SECONDS} s", file=sys.stderr)
        return 1
    except KeyboardInterrupt:
        return 1


if __name__ == "__main__":
    sys.exit(main())
