import spec
from spec import _configuration
from spec import _model
from spec import _mutations
from spec import _system


def test_protocols_hold_and_every_mutation_is_caught():
    findings = list(spec.prove(spec.QUICK))
    unexpected = [f.subject for f in findings if not f.as_expected]
    assert not unexpected


def test_every_guard_has_its_mutation():
    mutated = [mutation.guard for mutation in _mutations.CONFIGURATION]
    assert sorted(mutated) == sorted(_configuration.GUARDS)


def test_every_guard_is_asked_for():
    model = _model.Model(2, None, True)
    state = model.initial(_model.Start.ALONE)
    _configuration.actions(model, state)
    _configuration.invariants(model, state)
    assert model.asked == set(_configuration.GUARDS)


def test_what_is_not_inductive_is_named_with_its_action():
    system = _configuration.system(2, "adopt only a newer version")
    result = _system.check_inductive(system)
    assert result.verdict is _system.Verdict.VIOLATED
    assert result.trace == ("VM 0 adopts what it read",)
    assert "no process goes back" in result.violated
