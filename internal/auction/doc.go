// Package auction routes the requests whose prompt and stream pass through the router
// itself: it picks a prefill and a decode server for each by an auction and follows the
// request from its arrival to its final status. It is a state machine: an Event goes in,
// Decisions come out; it does no input or output and reads no clock.
//
//   - Market keeps the servers' load reports and picks the pair with the lowest price.
//   - RouteTable is a configuration compiled for matching requests.
//   - Dispatcher is the state machine of the requests in flight.
//   - RetryBudget bounds what is sent beyond the first dispatch of each request.
//   - RoleBalancer decides which server takes which role (prefill or decode).
//
// Four invariants hold whatever the servers and links do, as long as OutcomeNotStarted is
// reported only when it is certain:
//
//   - A request that is not idempotent runs at most once: once a server may have started
//     it, Dispatcher.retry ends it instead of dispatching it again.
//   - A stream is never spliced: chunks are numbered within a run, only the next chunk of
//     the current run is sent on, and after the first one there is no further run.
//   - A KV cache handle is used only by the run whose prefill made it: each run starts
//     with an empty handle, and answers to older runs are dropped by Dispatcher.find.
//   - Dispatches beyond a request's first stay within the route's attempts and the budget.
//
// The package scheduler is its counterpart for opaque calls, whose body is forwarded
// unchanged; package seamloom joins both into one core.
package auction
