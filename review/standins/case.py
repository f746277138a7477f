"""Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run."""

import os
import signal
import sys
import threading
import time
import traceback

from standins.platform import Platform, Record

TIME_LIMIT_S = 110


class CannotRun(Exception):
    """The case did not come to the point at which the rule could be judged."""


def main(folder, play):
    """Calls `play(platform, record, trouble)`, which returns the list of breaches of the rule."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))
    record.write(f"disruption: {'yes' if trouble else 'no'}")
    platform = Platform(record)

    def on_signal(number, _):
        raise CannotRun("time limit reached" if number == signal.SIGALRM else "ended from outside")

    signal.signal(signal.SIGALRM, on_signal)
    signal.signal(signal.SIGTERM, on_signal)
    signal.alarm(TIME_LIMIT_S)
    status = 2
    try:
        breaches = play(platform, record, trouble)
        for breach in breaches:
            record.write(f"BREACH {breach}")
        status = 1 if breaches else 0
        print(f"{len(breaches)} breaches" + (f", the first: {breaches[0]}" if breaches else ""))
    except CannotRun as error:
        record.write(f"cannot run: {error}")
        print(f"cannot run: {error}")
    except Exception:  # pylint: disable=broad-except
        record.write("cannot run: " + traceback.format_exc())
        traceback.print_exc()
    finally:
        signal.alarm(0)
        platform.stop()
    record.write(f"exit status {status}")
    sys.stdout.flush()
    # Threads of the stand-ins may still wait for bytes.
    os._exit(status)


class Spells:
    """The time in which a disruption strikes: spells of a fixed length, with pauses of the same length between them."""

    def __init__(self, length_s):
        self._length_s = length_s
        self._start = None

    def start(self):
        self._start = time.monotonic()

    def strikes(self):
        return self._start is not None and int((time.monotonic() - self._start) / self._length_s) % 2 == 0


def run_threads(functions):
    """Runs the functions at the same time and returns when all have ended."""
    threads = [threading.Thread(target=function, daemon=True) for function in functions]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
