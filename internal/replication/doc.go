// Package replication keeps the control state on the disks of several controllers: a primary and
// its backups in sync, with a membership that witnesses vote on. There is no majority log: a write
// is synced on all replicas in sync before it is acknowledged, and a majority of the witnesses is
// asked only when the membership changes, and for the primary's lease.
//
// The election half decides who leads. Coordinator is one controller's state machine, driven by
// Tick: failure detection (hello.go, detector.go), candidacy (campaign.go), the change of the
// membership by two-phase consensus (proposal.go, membership.go), the primary's lease
// (renewal.go), the transfer of leadership (transfer.go), and the replacement of backups
// (backups.go, candidates.go, install.go) and witnesses (witnesses.go, witnessplan.go). Witness is the voter on a
// controller's disk. Peers is the port to the other controllers, implemented by the control
// plane.
//
// The storage half keeps the state: Store applies changes one at a time at the primary,
// LocalReplica is the replica on one disk, through the port Storage.
//
// What holds on bad days, and why, is in docs/design/control-safety.md, the design in
// docs/design/replication.md. The package reads no clock and starts no goroutines but through
// package runtime, so that simulations and an exploration of all states run it as it is.
package replication
