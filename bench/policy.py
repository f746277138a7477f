#!/usr/bin/env python3
"""Generates the policy scenarios of both deployments, runs them on the manual clock and prints a table.

Usage: policy.py BUILD_DIR [CSV]. Each row is one run: the policy, or the policy without hedges and retries.
"""
import csv
import pathlib
import subprocess
import sys
import tempfile

SHARDS = 12
REPLICAS = 3
RATE = 100
SEEDS = (1, 2, 3)

SITUATIONS = {
    "quiet": "",
    "straggler in each shard": "".join(f"set t{shard * REPLICAS} service=120ms\n" for shard in range(SHARDS)),
    "stragglers that move": "".join(f"set t{i} slow_every=50\n" for i in range(SHARDS * REPLICAS)),
    "shed storm": "".join(f"set t{shard * REPLICAS} sheds=yes\n" for shard in range(SHARDS)),
    "one replica of each shard lost": "".join(f"kill t{shard * REPLICAS}\n" for shard in range(SHARDS)),
    "one replica of each shard cold": "".join(f"restart t{shard * REPLICAS} cold=yes\n" for shard in range(SHARDS)),
}


def script(policy, hedge, retry, act, rate):
    """Returns a scenario script: two hosts in one zone, SHARDS shards on REPLICAS targets each.

    The size is that of the users' smaller systems.
    """
    lines = ["zone north", "seat n1 north", "seat n2 north"]
    lines.append(f"system catalog policy={policy} soft=150ms hard=310ms shards={SHARDS} slots=6 connections=60 "
                 f"cold=2 warm_after=5 hedge={hedge} retry={retry}")
    for shard in range(SHARDS):
        for replica in range(REPLICAS):
            lines.append(f"target t{shard * REPLICAS + replica} north shards={shard} slots=6 cold_bears=2 service=4ms")
    lines += ["run 1s", f"load warm * rate={RATE} for=2s", "run 500ms", act, f"load measured * rate={rate} for=3s", "run 1s"]
    return "\n".join(lines) + "\n"


def measure(build, text, seed, folder):
    """Runs a scenario script with the given seed and returns the CSV row of the measured load."""
    path = pathlib.Path(folder) / "policy.scn"
    out = pathlib.Path(folder) / "out.csv"
    path.write_text(text)
    out.unlink(missing_ok=True)
    run = subprocess.run([f"{build}/tests/magnoliaspan-scenario", "run", f"--seed={seed}", f"--csv={out}", str(path)],
                         capture_output=True, text=True, check=False)
    if run.returncode != 0:
        sys.exit(run.stdout)
    return list(csv.reader(out.open()))[-1]


def main():
    build = sys.argv[1]
    rows = []
    with tempfile.TemporaryDirectory() as folder:
        cases = [(name, act, RATE) for name, act in SITUATIONS.items()]
        # The capacity of a shard: three targets with six slots of 4 ms each serve 4,500 queries per second.
        cases += [("1.5 times capacity", "", 6_750), ("3 times capacity", "", 13_500)]
        for name, act, rate in cases:
            for label, hedge, retry in (("policy", 0.05, 0.1), ("no hedge, no retry", 0, 0)):
                for seed in SEEDS if rate == RATE else SEEDS[:1]:
                    row = measure(build, script("coverage", hedge, retry, act, rate), seed, folder)
                    rows.append([name, label, seed, *row[2:]])
                    print(" | ".join(map(str, rows[-1])), flush=True)
    if len(sys.argv) > 2:
        with open(sys.argv[2], "w", encoding="utf-8") as file:
            writer = csv.writer(file)
            writer.writerow("situation variant seed sent answered refused lost p50_ms p99_ms p999_ms coverage worst_coverage".split())
            writer.writerows(rows)


main()
