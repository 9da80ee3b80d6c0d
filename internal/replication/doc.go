// Package replication keeps the control state on the disks of several controllers: a primary, its
// backups, and witnesses that vote on the membership. The controllers of one membership are called
// the core. There is no majority log: a write is synced on the primary and on every backup before
// it is acknowledged, and a majority of the witnesses is asked only to change the membership and to
// renew the primary's lease.
//
// The election half decides which controller leads. Coordinator is the state machine of one
// controller, driven by Tick: failure detection (hello.go, detector.go), candidacy (campaign.go),
// changes of the membership by two-phase consensus (proposal.go, membership.go), the primary's
// lease (renewal.go), the transfer of leadership (transfer.go), graceful shutdown (leaving.go), and
// the replacement of backups (backups.go, candidates.go, install.go) and of witnesses
// (witnesses.go, witnessplan.go). Witness is the voter on the disk of one controller. Peers is the
// interface to the other controllers; the control plane implements it.
//
// The storage half keeps the state: Store applies changes one at a time on the primary, and
// LocalReplica is the replica on one disk, which it reaches through the interface Storage.
//
// docs/design/control-safety.md states which guarantees hold under faults, and why;
// docs/design/replication.md describes the design. The package reads the clock and starts
// goroutines only through package runtime, so that the simulations and the exploration of all
// states run the same code as production.
package replication
