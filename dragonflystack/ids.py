"""Identifiers, one distinct type each."""

from typing import NewType

VmId = NewType("VmId", str)
"""An entry VM, as named in its settings; unique in the fleet."""

Incarnation = NewType("Incarnation", str)
"""One run of the daemon on a VM; unique over all runs on all VMs."""

FailureDomainId = NewType("FailureDomainId", str)
"""A failure domain; unique in the fleet."""

RegionId = NewType("RegionId", str)
"""A region, which holds one or more failure domains."""

ServiceId = NewType("ServiceId", str)
"""A service that callers ask for by name."""

BackendServerId = NewType("BackendServerId", str)
"""A backend server; unique in the fleet."""

CustomerId = NewType("CustomerId", str)
"""A customer; this id is also sent to backend servers."""

SiteId = NewType("SiteId", int)
"""A site of clients: the index into the document's list of sites."""

RequestKey = NewType("RequestKey", str)
"""Identifies a non-idempotent request across all its attempts."""

TeamId = NewType("TeamId", str)
"""A team of operators that owns sections of the document."""

SectionId = NewType("SectionId", str)
"""A section of the configuration document, such as `services/order`."""

DocumentVersion = NewType("DocumentVersion", int)
"""A version of the configuration document; never decreases."""

ChangeId = NewType("ChangeId", str)
"""An operator's change of the document; the id is chosen by the client."""

Digest = NewType("Digest", str)
"""The lower-case hexadecimal SHA-256 of an object's bytes."""

RequestDigest = NewType("RequestDigest", str)
"""Identifies a request by its content: equal whenever it comes again."""

CallerDigest = NewType("CallerDigest", str)
"""Identifies the network address of a caller."""
