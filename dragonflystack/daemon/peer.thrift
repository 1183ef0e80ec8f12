// What entry VMs tell each other.
//
// Ages are in milliseconds. A code is a value on the logarithmic scale of
// dragonflystack.membership.to_code. An age of -1 stands for none.

struct Vm {
  1: string id
  2: string incarnation
  3: i64 started_ms
  4: string failure_domain
  5: string region
  6: string host
  7: i32 port
  8: i16 state
}

struct Acknowledgement {
  1: i64 version
  2: list<string> incarnations
}

struct Update {
  1: i64 version
  2: binary payload
}

// `codes` holds those of busy, usable and completions, then for each region
// with traffic its place in `names` and the codes of arrivals, sent, received.
struct ServiceLoad {
  1: i16 name
  2: list<i16> codes
}

// `names` are those of the services and regions that the parts refer to.
struct LoadSum {
  1: i32 reporters
  2: i32 age_ms
  3: list<string> names
  4: list<ServiceLoad> services
}

struct RegionLoad {
  1: string region
  2: string relay
  3: i32 serial
  4: LoadSum load_sum
}

struct RosterDigest {
  1: string failure_domain
  2: i64 digest
}

struct Roster {
  1: string failure_domain
  2: list<Vm> vms
}

struct Request {
  1: optional Vm sender
  11: string sender_id
  2: i32 last_serial
  3: i64 head
  4: i64 listing_digest
  5: optional list<Acknowledgement> acknowledgements
  6: optional LoadSum load
  7: optional list<RegionLoad> region_loads
  8: optional list<i32> region_ages_ms
  9: optional list<Vm> unlisted
  10: optional list<string> wanted_rosters
}

struct Response {
  1: optional Vm sender
  2: i32 serial
  3: i64 head
  4: i32 held_ms
  5: optional list<Update> updates
  6: optional list<RegionLoad> region_loads
  7: optional list<i32> region_ages_ms
  8: i32 listing_age_ms
  9: i64 listing_digest
  10: optional list<RosterDigest> roster_digests
  11: optional list<Roster> rosters
}
