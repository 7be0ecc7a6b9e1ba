// Package policy decides, for one scheduler process, which storage request goes to which node and
// when, and which request is rejected.
//
// A Scheduler receives events through Step and returns actions. It has no goroutine, lock, clock,
// socket or file: the caller passes the time, in milliseconds, and random numbers come from the
// seed. The same settings, seed and events give the same actions. Callers must not use one
// Scheduler from several goroutines at once.
//
// Invariants:
//   - Every admitted request ends exactly once: with an attempt that finished it, with Reject, with
//     Fail, or with the disconnection of its client.
//   - A non-idempotent request is not sent again once one of its attempts may have run. A request
//     that is idempotent by key is then sent again only within the deduplication scope and window. The
//     same holds for the client's own repeats under its idempotency key.
//   - A request that may have run is rejected only if its client's repeat is no second run: if it is
//     idempotent, or if every node discards the repeat at the time at which it is expected.
//   - Attempts never exceed MaxAttempts or the retry budget.
//   - The requests in flight at one node stay within its concurrency window.
//   - Of the requests that share an ordered key, at most one is attempted at a time.
//   - Idle volumes, idle keys and records of unserved requests are evicted, and tables whose keys clients choose
//     have a bound, so memory stays bounded.
//
// Class weights, slopes, surplus and donations follow "An Observation-based Approach Towards
// Self-managing Web Servers", section 4.2; see the design page. Node health, retries, slow start,
// quotas and the endpoint list are not part of that paper.
//
// The package does not open connections, measure time, parse settings or exchange messages with
// other schedulers. The code that drives a Scheduler does this.
package policy
