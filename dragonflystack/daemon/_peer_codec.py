"""Encodes what entry VMs tell each other, as peer.thrift says.

The compact protocol of thrift is used: docs/design/membership.md has its size
and time against the binary one.
"""

import datetime
import pathlib
from typing import Any

import thriftpy2
from thriftpy2 import protocol
from thriftpy2 import utils

from dragonflystack import ids
from dragonflystack import membership

_IDL: Any = thriftpy2.load(
    str(pathlib.Path(__file__).with_name("peer.thrift")),
    module_name="dragonflystack_peer_thrift",
)
_COMPACT = protocol.TCompactProtocolFactory()
_BINARY = protocol.TCyBinaryProtocolFactory()
_PROTOCOL = _COMPACT

_STATES = tuple(membership.VmState)
_MILLISECOND = datetime.timedelta(milliseconds=1)
_SIGN_BIT = 1 << 63
_CODES_OF_SERVICE = 3
_CODES_OF_FLOW = 4


class MalformedMessageError(ValueError):
    """The bytes are not a message of this protocol."""


def encode_request(request: membership.Request) -> bytes:
    """Returns the bytes of a request."""
    acks = request.acknowledgements
    return _encode(
        _IDL.Request(
            sender=request.sender and _vm(request.sender),
            sender_id=request.sender_id,
            last_serial=request.last_serial,
            head=request.head,
            listing_digest=_signed(request.listing_digest),
            acknowledgements=None if acks is None else [_ack(a) for a in acks],
            load=None if request.load is None else _sum(request.load),
            region_loads=[_row(r) for r in request.region_loads] or None,
            region_ages_ms=[_age(a) for a in request.region_ages] or None,
            unlisted=[_vm(vm) for vm in request.unlisted] or None,
            wanted_rosters=list(request.wanted_rosters) or None,
        )
    )


def encode_response(response: membership.Response) -> bytes:
    """Returns the bytes of a response."""
    return _encode(
        _IDL.Response(
            sender=response.sender and _vm(response.sender),
            serial=response.serial,
            head=response.head,
            held_ms=_ms(response.held),
            updates=[_update(u) for u in response.updates] or None,
            region_loads=[_row(r) for r in response.region_loads] or None,
            region_ages_ms=[_age(a) for a in response.region_ages] or None,
            listing_age_ms=_ms(response.listing_age),
            listing_digest=_signed(response.listing_digest),
            roster_digests=[
                _IDL.RosterDigest(d.failure_domain, _signed(d.digest))
                for d in response.roster_digests
            ]
            or None,
            rosters=[
                _IDL.Roster(domain, [_vm(vm) for vm in roster.vms])
                for domain, roster in response.rosters
            ]
            or None,
        )
    )


def decode_request(data: bytes) -> membership.Request:
    """Returns the request that the bytes hold.

    Raises:
        MalformedMessageError: if they hold none.
    """
    try:
        return _read_request(_decode(_IDL.Request(), data))
    except (ValueError, TypeError, AttributeError, IndexError) as exc:
        raise MalformedMessageError(f"request: {exc}") from exc


def decode_response(data: bytes) -> membership.Response:
    """Returns the response that the bytes hold.

    Raises:
        MalformedMessageError: if they hold none.
    """
    try:
        return _read_response(_decode(_IDL.Response(), data))
    except (ValueError, TypeError, AttributeError, IndexError) as exc:
        raise MalformedMessageError(f"response: {exc}") from exc


def _encode(struct: Any) -> bytes:
    return utils.serialize(struct, _PROTOCOL)


def _decode(struct: Any, data: bytes) -> Any:
    try:
        return utils.deserialize(struct, data, _PROTOCOL)
    except Exception as exc:  # The library raises many kinds.
        raise ValueError(str(exc) or type(exc).__name__) from exc


def _ms(duration: datetime.timedelta) -> int:
    return -(-duration // _MILLISECOND)


def _signed(digest: int) -> int:
    return digest - 2 * _SIGN_BIT if digest >= _SIGN_BIT else digest


def _unsigned(value: int) -> int:
    return value % (2 * _SIGN_BIT)


def _vm(vm: membership.Vm) -> Any:
    return _IDL.Vm(
        vm.id,
        vm.incarnation,
        vm.started_ms,
        vm.failure_domain,
        vm.region,
        vm.host,
        vm.port,
        _STATES.index(vm.state),
    )


def _ack(ack: membership.Acknowledgement) -> Any:
    return _IDL.Acknowledgement(ack.version, sorted(ack.incarnations))


def _update(update: membership.Update) -> Any:
    return _IDL.Update(update.version, update.payload)


def _sum(load_sum: membership.LoadSum) -> Any:
    names: dict[str, int] = {}
    services = [
        _service(service, load, names)
        for service, load in load_sum.services.items()
    ]
    return _IDL.LoadSum(
        load_sum.reporters, _ms(load_sum.age), list(names), services
    )


def _service(
    service: str, load: membership.ServiceLoad, names: dict[str, int]
) -> Any:
    code = membership.to_code
    name = names.setdefault(service, len(names))
    codes = [code(load.busy), code(load.usable), code(load.completions)]
    for region, flow in load.flows.items():
        codes.append(names.setdefault(region, len(names)))
        codes.append(code(flow.arrivals))
        codes.append(code(flow.sent))
        codes.append(code(flow.received))
    return _IDL.ServiceLoad(name, codes)


def _row(row: membership.RegionLoad) -> Any:
    return _IDL.RegionLoad(row.region, row.relay, row.serial, _sum(row.sum))


def _age(age: datetime.timedelta | None) -> int:
    return -1 if age is None else _ms(age)


def _read_request(raw: Any) -> membership.Request:
    acks = raw.acknowledgements
    return membership.Request(
        sender_id=ids.VmId(raw.sender_id),
        sender=raw.sender and _read_vm(raw.sender),
        last_serial=raw.last_serial,
        head=ids.DocumentVersion(raw.head),
        listing_digest=_unsigned(raw.listing_digest),
        acknowledgements=(
            None if acks is None else tuple(_read_ack(a) for a in acks)
        ),
        load=None if raw.load is None else _read_sum(raw.load),
        region_loads=tuple(_read_row(r) for r in raw.region_loads or ()),
        region_ages=tuple(_read_age(a) for a in raw.region_ages_ms or ()),
        unlisted=tuple(_read_vm(vm) for vm in raw.unlisted or ()),
        wanted_rosters=tuple(
            ids.FailureDomainId(d) for d in raw.wanted_rosters or ()
        ),
    )


def _read_response(raw: Any) -> membership.Response:
    return membership.Response(
        sender=raw.sender and _read_vm(raw.sender),
        serial=raw.serial,
        head=ids.DocumentVersion(raw.head),
        held=raw.held_ms * _MILLISECOND,
        updates=tuple(
            membership.Update(ids.DocumentVersion(u.version), u.payload)
            for u in raw.updates or ()
        ),
        region_loads=tuple(_read_row(r) for r in raw.region_loads or ()),
        region_ages=tuple(_read_age(a) for a in raw.region_ages_ms or ()),
        listing_age=raw.listing_age_ms * _MILLISECOND,
        listing_digest=_unsigned(raw.listing_digest),
        roster_digests=tuple(
            membership.RosterDigest(
                ids.FailureDomainId(d.failure_domain), _unsigned(d.digest)
            )
            for d in raw.roster_digests or ()
        ),
        rosters=tuple(
            (
                ids.FailureDomainId(r.failure_domain),
                membership.Roster.from_vms(_read_vm(vm) for vm in r.vms),
            )
            for r in raw.rosters or ()
        ),
    )


def _read_vm(raw: Any) -> membership.Vm:
    return membership.Vm(
        id=ids.VmId(raw.id),
        incarnation=ids.Incarnation(raw.incarnation),
        started_ms=raw.started_ms,
        failure_domain=ids.FailureDomainId(raw.failure_domain),
        region=ids.RegionId(raw.region),
        host=raw.host,
        port=raw.port,
        state=_STATES[raw.state],
    )


def _read_ack(raw: Any) -> membership.Acknowledgement:
    return membership.Acknowledgement(
        ids.DocumentVersion(raw.version),
        frozenset(ids.Incarnation(i) for i in raw.incarnations),
    )


def _read_sum(raw: Any) -> membership.LoadSum:
    names = raw.names
    return membership.LoadSum(
        raw.reporters,
        raw.age_ms * _MILLISECOND,
        {
            ids.ServiceId(names[service.name]): _read_service(
                service.codes, names
            )
            for service in raw.services
        },
    )


def _read_service(codes: list[int], names: list[str]) -> membership.ServiceLoad:
    value = membership.from_code
    busy, usable, completions = codes[:_CODES_OF_SERVICE]
    flows = {}
    for i in range(_CODES_OF_SERVICE, len(codes), _CODES_OF_FLOW):
        name, arrivals, sent, received = codes[i : i + _CODES_OF_FLOW]
        flows[ids.RegionId(names[name])] = membership.Flow(
            value(arrivals), value(sent), value(received)
        )
    return membership.ServiceLoad(
        value(busy), value(usable), value(completions), flows
    )


def _read_row(raw: Any) -> membership.RegionLoad:
    return membership.RegionLoad(
        ids.RegionId(raw.region),
        ids.VmId(raw.relay),
        raw.serial,
        _read_sum(raw.load_sum),
    )


def _read_age(age_ms: int) -> datetime.timedelta | None:
    return None if age_ms < 0 else age_ms * _MILLISECOND
