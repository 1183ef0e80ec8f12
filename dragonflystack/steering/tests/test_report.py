import pytest

from dragonflystack import steering
from dragonflystack.steering.tests import documents

A, B, C = documents.REGIONS
CELL = documents.cell(A)
CELLS = [documents.cell(region) for region in documents.REGIONS]
NOW = documents.seconds


def _report(share, *, slots=3, requests_s=30.0, near=True):
    shares = steering.Shares({A: share, B: 1 - share})
    target = steering.Shares({C: 1.0})
    return steering.Report(
        {A: 1},
        {CELL: steering.CellSummary.of_single_vm(shares, target, near)},
        steering.Load(
            {CELL: 4.0}, {documents.cell(B): 1.0}, {documents.GALLERY: 20.0}
        ),
        {
            (documents.GALLERY, A): steering.OwnedCapacity(
                slots, 1.5, requests_s
            )
        },
    )


def _all_merged(reports):
    merged = steering.EMPTY_REPORT
    for report in reports:
        merged = merged.merge(report)
    return merged


def test_merges_in_any_order():
    reports = [_report(0.25), _report(0.5), _report(0.75, near=False)]
    one = _all_merged(reports)
    assert one == _all_merged(reversed(reports))
    assert one.vms == {A: 3}
    summary = one.cells[CELL]
    assert (summary.near, summary.far) == (2, 1)
    assert (summary.low[A], summary.high[A]) == (0.25, 0.5)
    assert summary.reference.of(A) == pytest.approx(0.375)
    own = steering.Shares({A: 1.0})
    assert summary.mean_target(own).of(C) == pytest.approx(0.75)


def test_merging_all_at_once_is_merging_one_by_one():
    reports = [_report(0.2), _report(0.5, near=False), _report(0.75)]
    shares = steering.Shares({C: 0.5})
    other = steering.CellSummary.of_single_vm(shares, shares, True)
    parts = [report.cells for report in reports] + [{CELL: other}]
    one_by_one: dict = {}
    for part in parts:
        one_by_one = steering.merge_cells(one_by_one, part)
    assert steering.merge_all_cells(parts) == one_by_one


def test_the_reference_of_mostly_far_vms_is_the_mean_of_all():
    reports = [_report(0.2), _report(0.5, near=False), _report(0.8, near=False)]
    summary = _all_merged(reports).cells[CELL]
    assert summary.reference.of(A) == pytest.approx(0.5)


def test_survives_encoding():
    report = _all_merged([_report(0.25), _report(0.75, near=False)])
    assert steering.decode_report(steering.encode_report(report)) == report


def test_a_report_of_many_vms_is_hardly_larger_than_one():
    one = len(steering.encode_report(_report(0.2512)))
    many = _all_merged([_report(0.2512)] * 1_400)
    assert len(steering.encode_report(many)) < 2 * one


def test_rounded_shares_may_add_up_to_a_little_more_than_one():
    shares = steering.Shares({A: 0.33335, B: 0.33335, C: 0.3333})
    one = steering.CellSummary.of_single_vm(shares, shares, True)
    report = steering.Report({A: 1}, {CELL: one}, steering.NO_LOAD, {})
    decoded = steering.decode_report(steering.encode_report(report))
    found = decoded.cells[CELL].reference
    assert steering.total_variation(found, shares) < 2e-4


@pytest.mark.parametrize(
    "data", [b"", b"\x01", b"\x96\x90\x90\x90\x91\x93\x05\x05\x01"]
)
def test_refuses_bytes_that_hold_no_report(data):
    with pytest.raises(steering.InvalidReportError, match="steering report"):
        steering.decode_report(data)


def test_measurements_of_the_fleet():
    merged = _all_merged([_report(0.5), _report(0.5, slots=6, requests_s=15)])
    age = documents.seconds(2)
    found = steering.to_measurements(
        merged.load, merged.capacity, CELLS, age, frozenset((C,))
    )
    capacity = found.capacity[documents.GALLERY, A]
    assert capacity.usable_slots == 9
    assert capacity.requests_s == pytest.approx(45, rel=1e-4)
    assert capacity.age == age
    assert found.down == {C}
    assert found.demand[CELL].requests_s == pytest.approx(40)
    assert found.demand[documents.cell(B)].requests_s == pytest.approx(2)
    assert found.demand[documents.cell(C)].requests_s == 0


def test_no_slots_are_no_capacity():
    report = _report(0.5, slots=0, requests_s=0.0)
    found = steering.to_measurements(
        report.load,
        report.capacity,
        CELLS,
        documents.seconds(0),
        frozenset(),
    )
    assert found.capacity[documents.GALLERY, A].requests_s == 0


def test_meter_tells_the_rate_soon_and_follows_changes():
    meter = steering.DemandMeter()
    for i in range(40):
        meter.on_look_up(CELL, False, NOW(i / 10))
        meter.on_look_up(documents.cell(B), True, NOW(i / 10))
        meter.on_request(documents.GALLERY, NOW(i / 10))
        meter.on_request(documents.GALLERY, NOW(i / 10))
    load = meter.load(NOW(4))
    assert load.answered_s[CELL] == pytest.approx(10, rel=0.05)
    demand = load.demand()
    assert demand[CELL] == pytest.approx(20, rel=0.05)
    assert demand[documents.cell(B)] == pytest.approx(10, rel=0.05)
    assert meter.load(NOW(40)).demand()[CELL] < 0.1
