// What entry VMs tell each other for steering.

struct SteeringReport {
  1: string vm
  // Shares, load and capacity; see dragonflystack/steering/_report.py.
  2: binary report
}
