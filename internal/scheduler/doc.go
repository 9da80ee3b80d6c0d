// Package scheduler decides what is done with opaque calls: requests whose method, path and
// body are forwarded to model servers unchanged. For each call it decides which server reads
// the prompt (prefill) and which makes the answer (decode), when a dispatch is given up, what
// is retried and what is refused.
//
// It is a state machine: events go in (Arrive, BacklogReported, Began, Ended, and the Set
// methods for the configuration, servers, loads and advice), each with its time, and a
// Decision comes out. It does no input or output, reads no clock and draws no random numbers:
// the same events from one thread give the same decisions.
//
// Each decision is one cycle: filter.go leaves servers out, score.go gives the others a cost in
// milliseconds, pick.go takes the cheapest.
//
// Its neighbours: dataplane.Calls carries the decisions out and reports how they ended;
// adapters/proxy speaks HTTP with the origins and the servers; package backlog counts the
// prompt tokens that all routers together have a server read; package outlier ejects servers
// that fail several routers. RoleBalancer decides how many servers read prompts and how many
// make answers, for the leading controller.
package scheduler
