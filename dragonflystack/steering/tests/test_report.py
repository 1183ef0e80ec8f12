import pytest

from dragonflystack import steering
from dragonflystack.steering.tests import documents

A, B, C = documents.REGIONS
CELL = documents.cell(A)
CELLS = [documents.cell(region) for region in documents.REGIONS]
seconds = documents.seconds


def _report(share, *, slots=3, requests_s=30.0, is_converged=True):
    shares = steering.Shares({A: share, B: 1 - share})
    target = steering.Shares({C: 1.0})
    return steering.Report(
        {A: 1},
        {CELL: steering.CellSummary.of_single_vm(shares, target, is_converged)},
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


def test_reports_merge_in_any_order():
    reports = [_report(0.25), _report(0.5), _report(0.75, is_converged=False)]
    one = _all_merged(reports)
    assert one == _all_merged(reversed(reports))
    assert one.vms == {A: 3}
    summary = one.cells[CELL]
    assert (summary.converged_count, summary.diverged_count) == (2, 1)
    assert (summary.min_shares[A], summary.max_shares[A]) == (0.25, 0.5)
    assert summary.reference.of(A) == pytest.approx(0.375)
    own = steering.Shares({A: 1.0})
    assert summary.mean_target(own).of(C) == pytest.approx(0.75)


def test_merge_all_cells_equals_merging_one_by_one():
    reports = [_report(0.2), _report(0.5, is_converged=False), _report(0.75)]
    shares = steering.Shares({C: 0.5})
    other = steering.CellSummary.of_single_vm(shares, shares, True)
    parts = [report.cells for report in reports] + [{CELL: other}]
    one_by_one: dict = {}
    for part in parts:
        one_by_one = steering.merge_cells(one_by_one, part)
    assert steering.merge_all_cells(parts) == one_by_one


def test_reference_is_the_mean_of_all_if_most_vms_are_diverged():
    reports = [
        _report(0.2),
        _report(0.5, is_converged=False),
        _report(0.8, is_converged=False),
    ]
    summary = _all_merged(reports).cells[CELL]
    assert summary.reference.of(A) == pytest.approx(0.5)


def test_decoding_restores_an_encoded_report():
    report = _all_merged([_report(0.25), _report(0.75, is_converged=False)])
    assert steering.decode_report(steering.encode_report(report)) == report


def test_size_of_a_report_does_not_grow_with_the_number_of_vms():
    one = len(steering.encode_report(_report(0.2512)))
    many = _all_merged([_report(0.2512)] * 1_400)
    assert len(steering.encode_report(many)) < 2 * one


def test_rounded_shares_may_have_a_sum_above_one():
    shares = steering.Shares({A: 0.33335, B: 0.33335, C: 0.3333})
    one = steering.CellSummary.of_single_vm(shares, shares, True)
    report = steering.Report({A: 1}, {CELL: one}, steering.NO_LOAD, {})
    decoded = steering.decode_report(steering.encode_report(report))
    found = decoded.cells[CELL].reference
    assert steering.total_variation(found, shares) < 2e-4


@pytest.mark.parametrize(
    "data", [b"", b"\x01", b"\x96\x90\x90\x90\x91\x93\x05\x05\x01"]
)
def test_invalid_bytes_are_rejected(data):
    with pytest.raises(steering.InvalidReportError, match="steering report"):
        steering.decode_report(data)


def test_merged_reports_are_converted_to_measurements():
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


def test_capacity_without_slots_is_zero():
    report = _report(0.5, slots=0, requests_s=0.0)
    found = steering.to_measurements(
        report.load,
        report.capacity,
        CELLS,
        documents.seconds(0),
        frozenset(),
    )
    assert found.capacity[documents.GALLERY, A].requests_s == 0


def test_meter_reports_the_rate_early_and_follows_changes():
    meter = steering.DemandMeter()
    for i in range(40):
        meter.on_look_up(CELL, False, seconds(i / 10))
        meter.on_look_up(documents.cell(B), True, seconds(i / 10))
        meter.on_request(documents.GALLERY, seconds(i / 10))
        meter.on_request(documents.GALLERY, seconds(i / 10))
    load = meter.load(seconds(4))
    assert load.answered_s[CELL] == pytest.approx(10, rel=0.05)
    demand = load.demand()
    assert demand[CELL] == pytest.approx(20, rel=0.05)
    assert demand[documents.cell(B)] == pytest.approx(10, rel=0.05)
    assert meter.load(seconds(40)).demand()[CELL] < 0.1
