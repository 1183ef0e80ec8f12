// How a VM that cannot reach the table service asks to be vouched for.

struct VouchRequest {
  1: string vm
  2: string incarnation
  // The document version that it has in force, 0 for none.
  3: i64 version
  // The asker as other VMs see it, JSON.
  4: binary member
}

enum VouchKind {
  VOUCHED = 1
  BEHIND = 2
  NOT_REGISTERED = 3
}

struct VouchReply {
  1: VouchKind kind
  // The head in force at the VM asked, JSON; with BEHIND only.
  2: binary head
  // The section bodies that the head names, by digest; with BEHIND only.
  3: map<string, binary> bodies
  // The VMs that the VM asked knows, itself included, JSON.
  4: binary members
}
