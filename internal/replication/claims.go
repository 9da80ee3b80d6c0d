package replication

import (
	"strconv"
	"strings"
	"time"

	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/failure"
)

// ClaimRetention is how long a claim is kept at least. The value is ours.
const ClaimRetention = 10 * time.Minute

// ClaimRequest claims a request id for one arrival at a router, so that a request that is not
// idempotent runs once. The entry's cause is a nonce of that arrival: with it the router may
// ask again, since a response can be lost. The same id arriving again has another nonce and
// is refused as Duplicate.
//
// An id is never claimed twice: claims are dropped only behind the horizon, and an id from
// before the horizon is refused as TooOld. One from the future is refused as TooNew, since
// its claim would be kept too long; before there is a horizon the code is NoPrimary.
func ClaimRequest(madeAt time.Time, entry codec.Entry) Change {
	return func(state *State, _, _ Version) error {
		if state.Horizon.IsZero() {
			return failure.New(failure.NoPrimary, "the larder was formed a moment ago; ask again")
		}
		if madeAt.Before(state.Horizon) {
			return failure.New(failure.TooOld,
				"inquiries that may not be repeated are remembered from "+state.Horizon.UTC().Format(time.RFC3339))
		}
		if madeAt.After(state.Horizon.Add(ClaimRetention + time.Hour)) {
			return failure.New(failure.TooNew, "the inquiry's id is from the future")
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
			return failure.New(failure.Duplicate, "taken by "+earlier.Router+" at "+earlier.At.UTC().Format(time.RFC3339Nano))
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

// AdvanceHorizon moves the horizon towards ClaimRetention before the wall clock and drops what
// is behind it: claims, by whole sections, and records of configuration changes. It never
// moves back, and forward at most by step, which the caller draws from monotonic time, so
// that a clock that jumps forward neither drops claims early nor refuses new ones.
func AdvanceHorizon(wall time.Time, step time.Duration) Change {
	return func(state *State, _, _ Version) error {
		goal := wall.Add(-ClaimRetention)
		if state.Horizon.IsZero() {
			state.Horizon = goal
			state.MarkDirty(HorizonSection)
			state.dropExpiredChanges()
			return nil
		}
		if furthest := state.Horizon.Add(step); goal.After(furthest) {
			goal = furthest
		}
		if !goal.After(state.Horizon) {
			return nil
		}
		state.Horizon = goal
		state.MarkDirty(HorizonSection)
		state.dropExpiredChanges()
		for section := range state.Claims {
			if claimsSectionEnd(section).Before(goal) {
				delete(state.Claims, section)
				state.MarkDirty(section)
			}
		}
		return nil
	}
}

// ClaimSpan is how much time of request ids one claims section covers. A batch writes whole
// sections, so that the span bounds what a claim costs on disk.
const ClaimSpan = 5 * time.Second

// claimsSectionName is the section for ids made at a moment.
func claimsSectionName(madeAt time.Time) string {
	return ClaimsPrefix + strconv.FormatInt(madeAt.UnixMilli()/ClaimSpan.Milliseconds(), 10)
}

// claimsSectionEnd is the moment after the last id of a section.
func claimsSectionEnd(name string) time.Time {
	span, _ := strconv.ParseInt(strings.TrimPrefix(name, ClaimsPrefix), 10, 64)
	return time.UnixMilli((span + 1) * ClaimSpan.Milliseconds())
}
