// What two nodes of the epidemic exchange tell each other.

struct Offer {
  1: i64 version
  2: i64 digest
}

struct State {
  1: i64 version
  2: binary acknowledged
  3: binary payload
}
