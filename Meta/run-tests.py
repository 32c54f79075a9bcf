#!/usr/bin/env python3
"""Runs every Criterion program of a build and closes with one line, 'N passed, N failed'.

KNOWN-RED.txt at the root names tests (suite::name first on a line) whose failure is known. Those are printed and do
not fail the run; a known-red test that passes is said too, so that its line can go.
"""

import concurrent.futures
import os
import pathlib
import re
import subprocess
import sys

TIMEOUT_SECONDS = 900
# AddressSanitizer keeps up to 256 MB of freed memory by default, more than the bound of tests that measure resident memory.
os.environ.setdefault("ASAN_OPTIONS", "quarantine_size_mb=8")


def known_red(root: pathlib.Path) -> set[str]:
    path = root / "KNOWN-RED.txt"
    if not path.exists():
        return set()
    lines = path.read_text().splitlines()
    return {line.split()[0].rstrip(",;:") for line in lines if line.strip()}


def run_program(program: pathlib.Path) -> tuple[pathlib.Path, int, str]:
    """Runs one test program; its output in TAP, which names every test on a line of its own."""
    try:
        done = subprocess.run([program.resolve(), "--tap", "-j2"], stdout=subprocess.PIPE, stderr=subprocess.STDOUT,
                              text=True, errors="replace", timeout=TIMEOUT_SECONDS)
        return program, done.returncode, done.stdout
    except subprocess.TimeoutExpired as error:
        return program, 1, f"{error.stdout}\nnot ok - {program.name}::timeout ({TIMEOUT_SECONDS} s)\n"


def run_tests_one_by_one(program: pathlib.Path) -> tuple[pathlib.Path, int, str]:
    """The same for the runner of tests/sanitize, which runs one test of that name in its own process."""
    names = subprocess.run([program.resolve(), "--list"], stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
    status, lines = names.returncode, []
    for name in names.stdout.split():
        try:
            done = subprocess.run([program.resolve(), name], stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True,
                                  errors="replace", timeout=TIMEOUT_SECONDS)
            code, output = done.returncode, done.stdout
        except subprocess.TimeoutExpired as error:
            code, output = 1, f"{error.stdout}\n# no end within {TIMEOUT_SECONDS} s\n"
        status = status or code
        lines.append(f"{output}not ok - {name} exit code {code}\n" if code else f"ok - {name}\n")
    return program, status, "".join(lines)


def is_thread_sanitized(build: pathlib.Path) -> bool:
    return "STAIRSPUR_SANITIZE:STRING=thread" in (build / "CMakeCache.txt").read_text()


def main() -> int:
    build = pathlib.Path(sys.argv[1])
    run = run_tests_one_by_one if is_thread_sanitized(build) else run_program
    red = known_red(pathlib.Path.cwd())
    programs = sorted(build.glob("tests/test_*"))
    programs = [it for it in programs if it.is_file() and it.stat().st_mode & 0o111]
    passed, failed, known = 0, 0, 0
    with concurrent.futures.ThreadPoolExecutor(max_workers=6) as pool:
        for program, status, output in pool.map(run, programs):
            oks = re.findall(r"^ok - (\S+)", output, re.M)
            bad = re.findall(r"^not ok - (\S+)", output, re.M)
            if status != 0 and not bad:
                bad = [f"{program.name}::exit_{status}"]
            fresh = [it for it in bad if it not in red]
            passed += len(oks)
            failed += len(fresh)
            known += len(bad) - len(fresh)
            print(f"{program.name}: {len(oks)} passed, {len(bad)} failed")
            for it in bad:
                print(f"  {'known red' if it in red else 'FAILED'}: {it}")
            for it in sorted(red.intersection(oks)):
                print(f"  listed in KNOWN-RED.txt but passed: {it}")
            if bad:
                print(output[-8000:])
    if known:
        print(f"{known} known red (KNOWN-RED.txt)")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


if __name__ == "__main__":
    sys.exit(main())
