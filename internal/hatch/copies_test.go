package hatch

import (
	"testing"
	"time"

	"seamloom.example/seamloom/internal/larder"
)

// TestProvisionalConfigurationIsOnEveryCopyInSync wants the oldest configuration among
// the copies that the newest charter names, and none before each of them has spoken or
// is known to be lost and a quorum of the keepers has.
func TestProvisionalConfigurationIsOnEveryCopyInSync(t *testing.T) {
	now := time.Unix(1000, 0)
	seat := func(name string) larder.Seat {
		return larder.Seat{Identity: larder.Identity("disk " + name), Address: name}
	}
	keepers := []larder.Seat{seat("a"), seat("b"), seat("c")}
	pair := larder.Charter{Epoch: 4, Primary: seat("a"), Backup: seat("b"), Keepers: keepers}
	alone := larder.Charter{Epoch: 5, Primary: seat("b"), Keepers: keepers}
	five := larder.Charter{Epoch: 6, Primary: seat("a"), Backup: seat("b"), Further: []larder.Seat{seat("d")},
		Keepers: append(append([]larder.Seat{}, keepers...), seat("d"), seat("e"))}
	version := func(number uint64) larder.Version { return larder.Version{Epoch: 3, Number: number} }
	says := func(name string, charter larder.Charter, number uint64) NewsAnswer {
		return NewsAnswer{Charter: charter, Copy: &CopyNews{Identity: larder.Identity("disk " + name), Menu: version(number)}}
	}
	damaged := says("b", pair, 9)
	damaged.Copy.Damaged = true
	other := says("another", larder.Charter{}, 0)
	other.Copy.Menu = larder.Version{}
	blank := larder.Charter{}
	for _, row := range []struct {
		name    string
		said    map[string]NewsAnswer
		age     time.Duration
		address string
		version larder.Version
	}{
		{"nobody", nil, 0, "", larder.Version{}},
		{"both copies", map[string]NewsAnswer{"a": says("a", pair, 7), "b": says("b", pair, 7)}, 0, "", version(7)},
		{"a change under way on one copy", map[string]NewsAnswer{"a": says("a", pair, 8), "b": says("b", pair, 7)}, 0, "b", version(7)},
		{"an old copy out of the pair", map[string]NewsAnswer{"a": says("a", pair, 7), "b": says("b", pair, 7), "c": says("c", pair, 2)}, 0, "", version(7)},
		{"one copy has not spoken", map[string]NewsAnswer{"a": says("a", pair, 7), "c": says("c", pair, 7)}, 0, "", larder.Version{}},
		{"one copy's disk is lost", map[string]NewsAnswer{"a": other, "b": says("b", pair, 7), "c": says("c", pair, 2)}, 0, "b", version(7)},
		{"one copy's disk is lost, a keeper has not spoken", map[string]NewsAnswer{"a": other, "b": says("b", pair, 7)}, 0, "", larder.Version{}},
		{"one copy is damaged", map[string]NewsAnswer{"a": says("a", pair, 7), "b": damaged}, 0, "a", version(7)},
		{"a newer charter", map[string]NewsAnswer{"a": says("a", pair, 8), "b": says("b", alone, 7)}, 0, "b", version(7)},
		{"no quorum of five", map[string]NewsAnswer{"a": says("a", five, 7), "b": says("b", five, 7)}, 0, "", larder.Version{}},
		{"three of five, a copy missing", map[string]NewsAnswer{"a": says("a", five, 7), "b": says("b", five, 7), "c": says("c", five, 7)}, 0, "", larder.Version{}},
		{"three of five, all copies", map[string]NewsAnswer{"a": says("a", five, 7), "b": says("b", five, 7), "d": says("d", five, 6)}, 0, "d", version(6)},
		{"what was said long ago", map[string]NewsAnswer{"a": says("a", pair, 7), "b": says("b", pair, 7)}, 2 * time.Second, "", larder.Version{}},
		{"no charter", map[string]NewsAnswer{"a": says("a", blank, 7), "b": says("b", blank, 7)}, 0, "", larder.Version{}},
		{"no configuration yet", map[string]NewsAnswer{"a": {Charter: pair, Copy: &CopyNews{Identity: "disk a"}}, "b": {Charter: pair, Copy: &CopyNews{Identity: "disk b"}}}, 0, "", larder.Version{}},
		{"an older release", map[string]NewsAnswer{"a": says("a", pair, 7), "b": {Charter: pair}}, 0, "", larder.Version{}},
	} {
		told := &copies{}
		for address, answer := range row.said {
			told.note(address, now.Add(-row.age), answer)
		}
		address, chosen, found := told.choose(now)
		if chosen != row.version && found || found != (row.version != larder.Version{}) || row.address != "" && address != row.address {
			t.Errorf("%s: %s at %q, %v", row.name, chosen, address, found)
		}
	}
}
