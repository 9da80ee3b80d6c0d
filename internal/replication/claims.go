package replication

import (
	"strconv"
	"strings"
	"time"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/failure"
)

// ClaimRetention is the shortest time for which a claim is kept, counted from the time that the claimed
// id contains.
const ClaimRetention = 10 * time.Minute

// ClaimRequest claims a request id for one arrival at a router, so that a request that is not
// idempotent runs only once. The entry's cause is a nonce of that arrival: because a response may
// be lost, the router may repeat the claim with the same nonce. Another arrival with the same id
// has another nonce and is refused as Duplicate.
//
// An id is never claimed twice: claims are dropped only behind the horizon, and an id that was made
// before the horizon is refused as TooOld. An id that was made more than ClaimRetention plus one
// hour after the horizon, which is about one hour in the future, is refused as TooNew, because its
// claim would be kept too long. While there is no horizon yet, every id is refused as NoPrimary.
func ClaimRequest(madeAt time.Time, entry codec.Entry) Change {
	return func(state *State, _, _ Version) error {
		if state.Horizon.IsZero() {
			return failure.New(failure.NoPrimary, "the control plane has just formed; retry")
		}
		if madeAt.Before(state.Horizon) {
			return failure.New(failure.TooOld,
				"ids of requests that are not idempotent are remembered from "+state.Horizon.UTC().Format(time.RFC3339))
		}
		if madeAt.After(state.Horizon.Add(ClaimRetention + time.Hour)) {
			return failure.New(failure.TooNew, "the request id is from the future")
		}
		section := claimsSectionName(madeAt)
		if record, found := state.Claims[section][entry.Request]; found {
			earlier, err := codec.DecodeEntry(record)
			if err != nil {
				return err
			}
			if earlier.Router == entry.Router && earlier.Cause == entry.Cause {
				return nil
			}
			return failure.New(failure.Duplicate, "claimed by "+earlier.Router+" at "+earlier.At.UTC().Format(time.RFC3339Nano))
		}
		record, err := codec.EncodeEntry(codec.RecoverRecord, entry)
		if err != nil {
			return err
		}
		if state.Claims[section] == nil {
			state.Claims[section] = map[string]codec.Record{}
		}
		state.Claims[section][entry.Request] = record
		state.MarkDirty(section)
		return nil
	}
}

// AdvanceHorizon moves the horizon towards the wall clock less ClaimRetention, and drops the claims
// (by whole sections) and the records of configuration changes behind it. The horizon never moves
// back, and moves forward by at most step. The caller derives step from the monotonic clock,
// so that a wall clock that jumps forward neither drops claims early nor refuses new ones.
func AdvanceHorizon(wall time.Time, step time.Duration) Change {
	return func(state *State, _, _ Version) error {
		target := wall.Add(-ClaimRetention)
		if state.Horizon.IsZero() {
			state.Horizon = target
			state.MarkDirty(HorizonSection)
			state.dropExpiredChanges()
			return nil
		}
		if furthest := state.Horizon.Add(step); target.After(furthest) {
			target = furthest
		}
		if !target.After(state.Horizon) {
			return nil
		}
		state.Horizon = target
		state.MarkDirty(HorizonSection)
		state.dropExpiredChanges()
		for section := range state.Claims {
			if claimsSectionEnd(section).Before(target) {
				delete(state.Claims, section)
				state.MarkDirty(section)
			}
		}
		return nil
	}
}

// ClaimSpan is the range of time whose request ids share one claims section. A batch contains whole
// sections, so that the span limits what a claim costs on disk.
const ClaimSpan = 5 * time.Second

// claimsSectionName returns the section for ids that were made at the given time.
func claimsSectionName(madeAt time.Time) string {
	return ClaimsPrefix + strconv.FormatInt(madeAt.UnixMilli()/ClaimSpan.Milliseconds(), 10)
}

// claimsSectionEnd returns the end of the range of time that a section covers.
func claimsSectionEnd(name string) time.Time {
	span, _ := strconv.ParseInt(strings.TrimPrefix(name, ClaimsPrefix), 10, 64)
	return time.UnixMilli((span + 1) * ClaimSpan.Milliseconds())
}
