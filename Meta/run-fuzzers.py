#!/usr/bin/env python3
"""Runs the fuzzers of a build one after the other, each for a bounded time and in bounded memory.

What a fuzzer finds is kept in <build>/fuzz/<edge>/; hand such a file to <build>/tests/fuzz_<edge> to see it again. The
inputs that reached new code stay in <build>/fuzz/<edge>/corpus, so that the next run goes on from there.
"""

import argparse
import pathlib
import re
import subprocess
import sys

MEMORY_MEGABYTES = 1024
INPUT_BYTES = 8192
SECONDS_FOR_ONE_INPUT = 10
# Texts that the project has anyway serve as first inputs, by edge.
FIRST_INPUTS = {"configuration": ["examples"], "call_intake": ["tests/fuzz/call_intake/seeds"],
                "backend_statement": ["tests/fuzz/backend_statement/seeds"],
                "announcement": ["tests/fuzz/announcement/seeds"],
                "heartbeat": ["tests/fuzz/heartbeat/seeds"], "operator_item": ["tests/fuzz/operator_item/seeds"]}


def run_fuzzer(program: pathlib.Path, folder: pathlib.Path, seconds: int, first: list[str]) -> bool:
    corpus = folder / "corpus"
    corpus.mkdir(parents=True, exist_ok=True)
    arguments = [f"-max_total_time={seconds}", f"-rss_limit_mb={MEMORY_MEGABYTES}", f"-max_len={INPUT_BYTES}",
                 f"-timeout={SECONDS_FOR_ONE_INPUT}", "-print_final_stats=1", f"-artifact_prefix={folder}/"]
    done = subprocess.run([program.resolve(), *arguments, corpus, *first], stdout=subprocess.PIPE,
                          stderr=subprocess.STDOUT, text=True, errors="replace")
    executions = re.search(r"number_of_executed_units:\s+(\d+)", done.stdout)
    covered = re.findall(r"cov: (\d+)", done.stdout)
    peak = re.search(r"peak_rss_mb:\s+(\d+)", done.stdout)
    print(f"{program.name}: {'FOUND A FAULT' if done.returncode else 'nothing found'};"
          f" executions {executions.group(1) if executions else '?'}, edges covered {covered[-1] if covered else '?'},"
          f" {len(list(corpus.iterdir()))} inputs kept, peak {peak.group(1) if peak else '?'} MB", flush=True)
    if done.returncode:
        told = [it for it in done.stdout.splitlines() if not it.startswith("#") or it.startswith("#0")]
        print("\n".join(told[-60:]), flush=True)
    return done.returncode == 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("build", type=pathlib.Path)
    parser.add_argument("--seconds", type=int, default=20, help="for each fuzzer")
    parser.add_argument("edges", nargs="*", help="run these alone, such as frames")
    options = parser.parse_intermixed_args()
    programs = sorted((options.build / "tests").glob("fuzz_*"))
    programs = [it for it in programs if it.is_file()]
    if options.edges:
        programs = [it for it in programs if it.name.removeprefix("fuzz_") in options.edges]
    if not programs:
        print("there is no such fuzzer; tests/fuzz has a folder for each", file=sys.stderr)
        return 2
    passed = 0
    for it in programs:
        edge = it.name.removeprefix("fuzz_")
        passed += run_fuzzer(it, options.build / "fuzz" / edge, options.seconds, FIRST_INPUTS.get(edge, []))
    print(f"{passed} fuzzers found nothing, {len(programs) - passed} found a fault")
    return 0 if passed == len(programs) else 1


if __name__ == "__main__":
    sys.exit(main())
