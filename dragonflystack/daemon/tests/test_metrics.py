import datetime
import socket

from dragonflystack.daemon import _metrics
from dragonflystack.daemon import _settings


def test_counts_and_timings_go_out_in_one_datagram():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        receiver.settimeout(5)
        port = receiver.getsockname()[1]
        cfg = _settings.Statsd(host="127.0.0.1", port=port, prefix="d")
        metrics = _metrics.Metrics.from_settings(cfg)
        metrics.count("served")
        metrics.count("served")
        metrics.time("request", datetime.timedelta(milliseconds=7))
        metrics.flush()
        lines = receiver.recv(4096).decode().split("\n")
    assert lines == ["d.served:2|c", "d.request:7.000000|ms"]


def test_timings_between_two_flushes_are_bounded():
    metrics = _metrics.Metrics(None)
    for _ in range(10_000):
        metrics.time("request", datetime.timedelta())
    assert len(metrics._timings["request"]) <= 64
