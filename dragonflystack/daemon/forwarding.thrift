// What entry VMs ask of each other to run a request.
//
// Times are in microseconds. Headers are names and values in turn.

struct Payload {
  1: string method
  2: string target
  3: list<binary> headers
  4: binary body
}

struct Work {
  1: string id
  2: string service_id
  3: bool idempotent
  4: string priority
  5: i64 time_left_us
  6: Payload payload
  7: list<string> avoid
  8: optional string key
}

struct Failure {
  1: string step
  2: string peer
  3: string reason
  4: optional i64 retry_after_us
}

struct Answer {
  1: i32 status
  2: list<binary> headers
  3: binary body
  4: optional string echoed_work
}

struct WorkResult {
  1: string kind
  2: optional Answer answer
  3: optional Failure failure
  4: optional string server
}

struct RelayedRequest {
  1: string service_id
  2: string key
  3: i32 attempt
  4: string priority
  5: i64 time_left_us
  6: Payload payload
}

struct Reply {
  1: string outcome
  2: optional Answer answer
  3: optional string cause
  4: optional Failure failure
  5: optional string key
}
