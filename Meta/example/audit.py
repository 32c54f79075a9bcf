"""Compares what callers were told with what backend servers ran."""

import collections

MAX_SHOWN = 5


def audit(record: list[dict], runs: list[dict], lost_backends: bool = False) -> list[str]:
    """The promises that were broken, in words; empty when all were kept.

    A call that was told `not-run` ran nowhere; a call that was answered ran; no Idempotency-Key ran twice. With
    `lost_backends` some backend servers' own records are gone, and an answered call may have run there.
    """
    nonces, keys = collections.Counter(), collections.Counter()
    for it in runs:
        nonces.update(it["nonces"])
        keys.update(it["keys"])
    faults = []
    lies = [it for it in record if not it["mayHaveRun"] and nonces[it["nonce"]] > 0]
    faults += _describe(lies, "told not-run but ran")
    phantoms = [it for it in record if it["ending"] in ("answered", "late") and nonces[it["nonce"]] == 0]
    if not lost_backends:
        faults += _describe(phantoms, "answered but ran nowhere")
    twice = [f"{key} ran {count} times" for key, count in keys.items() if count > 1]
    faults += [f"{len(twice)} keys ran more than once: {'; '.join(twice[:MAX_SHOWN])}"] if twice else []
    return faults


def over_budget(record: list[dict], runs: list[dict], hops: dict[str, int], extra: int) -> list[str]:
    """Calls that ran more often, over their whole chain, than the retry budget allows: each attempt of the caller may
    run once at every service of its chain, and `extra` times more."""
    spent = collections.Counter()
    for it in runs:
        for nonce, count in it["nonces"].items():
            spent[nonce.split("/", 1)[0]] += count
    return _describe([it for it in record if spent[it["nonce"]] > it["attempts"] * (hops[it["stream"]] + extra)],
                     f"run more often than their services and {extra} extra attempts")


def _describe(calls: list[dict], what: str) -> list[str]:
    if not calls:
        return []
    shown = ", ".join(f"{it['stream']} {it['nonce']} ({it['ending']})" for it in calls[:MAX_SHOWN])
    return [f"{len(calls)} calls were {what}: {shown}"]


def unsound(report: dict) -> list[str]:
    """What a caller's own report says went wrong."""
    faults = []
    for name, it in report["streams"].items():
        if it["wrong"]:
            faults.append(f"{name}: {it['wrong']} wrong answers")
        if it["missing"]:
            faults.append(f"{name}: {it['missing']} calls without an answer")
    if report["strayAnswers"]:
        faults.append(f"{report['strayAnswers']} answers that nobody waited for")
    if report["notOffered"]:
        faults.append(f"{report['notOffered']} calls not offered: the caller was too slow")
    if not faults and report["exitCode"] != 0:
        faults.append(f"the caller ended with {report['exitCode']}")
    return faults
