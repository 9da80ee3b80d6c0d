// Package scheduler schedules opaque calls: requests whose method, path and body are forwarded to
// model servers unchanged. For each call it decides which server reads the prompt (prefill) and
// which server generates the answer (decode), when a dispatch times out, and whether the call is
// retried or refused.
//
// The package uses these terms throughout. An origin is the client that sent a call. A dispatch is
// one request to one model server, and is either a prefill or a run. A prefill reads the prompt and
// leaves its KV cache at the server. A run generates the answer, from the KV cache of a prefill or
// after reading the prompt itself. A prefill server only does prefills, and a decode server only
// does runs; a server without a role reads prompts and generates their answers.
//
// The scheduler is a state machine. Its inputs are events, each with its time: Arrive,
// BacklogReported, Began, Ended, and the Set methods for the configuration, servers, loads and
// advice. Its output is a Decision. The scheduler does no I/O, reads no clock and draws no
// random numbers, so that the same events from one goroutine give the same decisions.
//
// Each decision is one scheduling cycle: filter.go excludes servers, score.go gives the remaining
// servers a cost in milliseconds, and pick.go selects the cheapest.
//
// Related packages: dataplane.Calls executes the decisions and reports their outcomes;
// adapters/proxy speaks HTTP with the origins and the servers; package backlog counts the prompt
// tokens that all routers together have sent to a server and that the server has not read yet; package
// outlier ejects servers that fail requests of several routers. RoleBalancer runs on the leading
// controller and decides how many servers read prompts and how many generate answers.
package scheduler
