// Package daisyquota shares the limit of a workspace, a rate and a burst, among many
// hosts, each of which may lose its connection to the others at any time.
//
// How depends on what a host's part of the burst is:
//
//   - If it is a token or more, the limit is divided. A part of the rate is divided
//     equally among the hosts, which spend it without coordination. The rest is a pool
//     on the control leader. A host requests the tokens that its demand needs beyond
//     its own part with its heartbeats. A host without a connection keeps serving on
//     its own part; one without demand requests nothing.
//   - If it is less, the limit is granted on demand. The whole limit is in the pool,
//     which grants whole tokens for operations that wait and for the next moments of a
//     host with much demand. Parts of a token at hosts without operations would be
//     lost to the hosts that have some. A token that is due within maxReservation is
//     granted in advance, so that operations are served in the order of their requests;
//     others are denied at once, with the time to return.
//
// On demand, a host also holds a reserve: whole tokens, requested with heartbeats that are
// sent anyway, that operations use at once and for as long as no control leader answers.
// The leader counts them as outstanding until the host reports that it has used or given
// them up, or until ReserveLifetime has passed since it renewed them. Only tokens that the
// host gave up return to the pool, since a host that is cut off may have used the others.
// The pool is filled only so far that it and all outstanding reserves together do not
// exceed the burst by more than reserveAllowance. A new leader counts the largest possible
// reserves as outstanding until they have expired, and the tokens that an earlier one may
// have granted in advance as spent. A divided limit has no reserve: the own part of the
// burst, at least one token, is one, and its bound leaves no room for another.
//
// In any window of length w the fleet takes at most
//
//	rate × w + (hostBurstRatio + poolBurstRatio) × burst                        divided,
//	rate × (w + MaxGrantAge + tokenLifetime) + burst + reserveAllowance         on demand,
//
// regardless of how many hosts restart, since a process starts without tokens.
// Divided, a host holds no more than its part of the burst; on demand, a token is lost
// if it was drawn from the pool more than MaxGrantAge + tokenLifetime ago, or is in
// reserve. After a limit was lowered, reserves granted before last up to ReserveLifetime
// on hosts that do not know the new limit.
//
// Entry hosts use this package. Hosts that hold databases use package daisybucket
// instead, in which one host owns the token bucket and its local buckets hold only
// granted tokens.
package daisyquota
