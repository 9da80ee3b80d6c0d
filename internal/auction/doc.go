// Package auction routes the requests whose prompt and stream pass through the router
// itself. It picks a prefill and a decode server for each request by an auction, and follows
// the request from its arrival to its final status. It is a state machine: events go in,
// decisions come out. It does no input or output and reads no clock.
//
//   - Market stores the servers' load reports and picks the pair with the lowest price.
//   - RouteTable is a configuration compiled for matching requests.
//   - Dispatcher is the state machine of the requests in flight.
//   - RetryBudget limits the retries of all requests together.
//   - RoleBalancer decides which server takes which role (prefill or decode).
//
// Four invariants hold under any failure of servers and links, as long as
// OutcomeNotStarted is reported only when the server certainly did not start:
//
//   - A request that is not idempotent runs at most once: once a server may have started
//     it, Dispatcher.retry ends it instead of dispatching it again.
//   - A stream is never spliced: chunks are numbered within a run, only the next chunk of
//     the current run is forwarded, and after the first chunk there is no further run.
//   - A KV cache handle is used only by the run whose prefill created it: each run starts
//     with an empty handle, and Dispatcher.find drops answers to older runs.
//   - Retries stay within the service's maximum number of attempts and the retry budget.
//
// Package scheduler does the same for opaque calls, whose body is forwarded unchanged.
// Package seamloom combines both packages into one core.
package auction
