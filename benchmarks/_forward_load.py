"""A closed loop of requests by httpcore from a process of its own."""

import argparse
import itertools
import json
import subprocess
import sys
import time

import anyio
import httpcore

_OK = 200


class _Load:
    """What the workers of one process saw."""

    def __init__(self, urls: list[str], seconds: float):
        self._urls = urls
        self._end_s = time.perf_counter() + seconds
        self.latencies_ms: list[float] = []
        self.refused = 0

    async def work(self, url: str) -> None:
        """Sends one request after the other on one connection."""
        origin = httpcore.URL(url).origin
        async with httpcore.AsyncHTTPConnection(origin) as conn:
            while True:
                start_s = time.perf_counter()
                if start_s >= self._end_s:
                    return
                res = await conn.request("GET", url)
                elapsed_ms = (time.perf_counter() - start_s) * 1_000
                if res.status == _OK:
                    self.latencies_ms.append(elapsed_ms)
                else:
                    self.refused += 1

    async def run(self, concurrency: int) -> None:
        """Runs so many workers, spread over the URLs."""
        async with anyio.create_task_group() as tasks:
            for url in itertools.islice(
                itertools.cycle(self._urls), concurrency
            ):
                tasks.start_soon(self.work, url)


def load(urls: list[str], concurrency: int, seconds: float) -> dict:
    """Returns `rate_s`, `p50_ms`, `p99_ms` and the fraction `refused`."""
    command = [sys.executable, "-m", __name__, "--seconds", str(seconds)]
    command += ["--concurrency", str(concurrency), *urls]
    done = subprocess.run(command, check=True, capture_output=True)
    return json.loads(done.stdout)


def main() -> None:
    """Runs the load and prints what was seen."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--concurrency", type=int, required=True)
    parser.add_argument("urls", nargs="+")
    args = parser.parse_args()
    seen = _Load(args.urls, args.seconds)
    anyio.run(seen.run, args.concurrency, backend_options={"use_uvloop": True})
    ordered = sorted(seen.latencies_ms)
    total = len(ordered) + seen.refused
    result = {
        "rate_s": len(ordered) / args.seconds,
        "p50_ms": ordered[len(ordered) // 2],
        "p99_ms": ordered[len(ordered) * 99 // 100],
        "refused": seen.refused / total,
    }
    print(json.dumps(result))


if __name__ == "__main__":
    main()
