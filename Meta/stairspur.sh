#!/usr/bin/env bash
# The developers' one script. `Meta/stairspur.sh help` lists its commands.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."

PACKAGES=(cmake ninja-build ccache pkg-config git python3 clang-16 clang-tidy-16 clang-format-16 lld-16 libclang-rt-16-dev
    llvm-16 libboost1.81-dev libwebsocketpp-dev libgflags-dev libeasyloggingpp-dev libcriterion-dev nlohmann-json3-dev
    libtomlplusplus-dev libyaml-cpp-dev libxxhash-dev libssl-dev openssl)
JOBS="${STAIRSPUR_JOBS:-$(nproc)}"
BUILD="${STAIRSPUR_BUILD:-build}"

usage() {
    cat <<'TEXT'
Meta/stairspur.sh COMMAND
  deps              install the packages that the build needs (apt; nothing when all are there)
  build             configure and build into build/ (STAIRSPUR_BUILD, STAIRSPUR_JOBS, STAIRSPUR_SANITIZE)
  run               build, then run the Association's example on loopback and print its table
  test [--sanitize=address,undefined|thread]
                    build, then run every test; the last line is 'N passed, N failed'
  fuzz [--seconds N] [EDGE...]
                    build the fuzzers with ASan and UBSan, then run each for N seconds (20)
  lint              check the formatting and run the linter
  format            format every file in place
  measure NAME      run a measurement (overload, membership, keyed, capacity, latency)
TEXT
}

# Installs what is missing, so that a machine that has all of it needs no network.
deps() {
    local missing=()
    for it in "${PACKAGES[@]}"; do
        dpkg-query -W -f='${Status}' "$it" 2>/dev/null | grep -q 'install ok installed' || missing+=("$it")
    done
    [ ${#missing[@]} -eq 0 ] && return 0
    apt-get update -qq
    DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}"
}

build() {
    deps
    export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
    cmake -S . -B "$BUILD" -G Ninja -Wno-dev \
        -DCMAKE_CXX_COMPILER=clang++-16 -DCMAKE_CXX_COMPILER_LAUNCHER=ccache \
        -DSTAIRSPUR_SANITIZE="${STAIRSPUR_SANITIZE:-}" -DSTAIRSPUR_FUZZ="${STAIRSPUR_FUZZ:-OFF}" >"$BUILD.configure.log" 2>&1 \
        || { cat "$BUILD.configure.log"; exit 1; }
    mv "$BUILD.configure.log" "$BUILD/configure.log"
    cmake --build "$BUILD" -j "$JOBS" --target ${TARGET:-all} -- --quiet
}

sources() {
    git ls-files --cached --others --exclude-standard 'include/*.h' 'source/*.h' 'source/*.cpp' 'platform/*.h' 'platform/*.cpp' 'tests/*.h' 'tests/*.cpp'
}

run_tests() {
    for it in "$@"; do
        case "$it" in
        --sanitize=*) STAIRSPUR_SANITIZE="${it#--sanitize=}"; BUILD="build-${STAIRSPUR_SANITIZE//,/-}" ;;
        *) echo "unknown option $it; see Meta/stairspur.sh help" >&2; exit 2 ;;
        esac
    done
    build
    STAIRSPUR_BUILD="$BUILD" python3 Meta/run-tests.py "$BUILD"
}

fuzz() {
    STAIRSPUR_SANITIZE=address,undefined STAIRSPUR_FUZZ=ON BUILD="${STAIRSPUR_BUILD:-build-fuzz}" TARGET=fuzz
    build
    python3 Meta/run-fuzzers.py "$BUILD" "$@"
}

lint() {
    build
    sources | xargs -r clang-format-16 --dry-run --Werror
    git ls-files --cached --others --exclude-standard 'source/*.cpp' 'platform/*.cpp' 'tests/*.cpp' \
        | xargs -r -P "$JOBS" -n 1 clang-tidy-16 -p "$BUILD" --quiet 2>/dev/null
    echo "lint: clean"
}

case "${1:-help}" in
deps) deps ;;
build) build ;;
run) shift; TARGET="stairspur standin_store standin_backend standin_caller" build; exec python3 Meta/run-example.py "$BUILD" "$@" ;;
test) shift; run_tests "$@" ;;
fuzz) shift; fuzz "$@" ;;
lint) lint ;;
format) sources | xargs -r clang-format-16 -i ;;
measure) shift; build; exec python3 Meta/measure.py "$BUILD" "$@" ;;
help | --help | -h) usage ;;
*) usage >&2; exit 2 ;;
esac
