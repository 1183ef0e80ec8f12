import spec
from spec import _configuration
from spec import _mutations


def test_protocols_hold_and_every_mutation_is_caught():
    findings = list(spec.prove(spec.QUICK))
    unexpected = [f.subject for f in findings if not f.as_expected]
    assert not unexpected


def test_every_guard_has_its_mutation():
    mutated = [mutation.guard for mutation in _mutations.CONFIGURATION]
    assert sorted(mutated) == sorted(_configuration.GUARDS)
