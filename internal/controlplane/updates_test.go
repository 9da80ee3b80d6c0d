package controlplane

import (
	"testing"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/wire"
)

// TestPollIsAnsweredWhenTheMembershipChanges checks one condition that ends the wait of a poll: the primary
// has a newer membership than the node.
func TestPollIsAnsweredWhenTheMembershipChanges(t *testing.T) {
	_, primary := newCore(t, unwrapped)
	current := primary.Coordinator().Membership()
	request := wire.UpdateRequest{Member: membership.Member{Name: "courier-1", Kind: membership.Router}, MembershipEpoch: current.Epoch - 1}
	if !primary.hasNewerMembership(request) {
		t.Error("a poll with an older membership waits")
	}
	request.MembershipEpoch = current.Epoch
	if primary.hasNewerMembership(request) {
		t.Error("a poll with the newest membership does not wait")
	}
	request.MembershipEpoch = 0
	if primary.hasNewerMembership(request) {
		t.Error("a poll of an older release, which sends no membership, does not wait")
	}
}

// TestLeaderOnlyRequestGetsNoContent asks a primary only whether it leads. The sender must not be recorded,
// and the response must contain neither a lease nor a configuration.
func TestLeaderOnlyRequestGetsNoContent(t *testing.T) {
	_, primary := newCore(t, unwrapped)
	request := wire.UpdateRequest{
		Member:     membership.Member{Name: "courier-1", Kind: membership.Router, Address: "c1"},
		LeaderOnly: true,
	}
	response, err := primary.serveUpdate(request)
	if err != nil || !response.Leads || response.Membership.Blank() {
		t.Fatalf("got %+v, error %v, want the response of a primary with its membership", response, err)
	}
	if len(response.Sections) > 0 || response.Lease > 0 {
		t.Errorf("got sections or a lease: %+v", response)
	}
	if _, _, state, _ := primary.Read(); len(state.Members) > 0 && state.Members["courier-1"].Name != "" {
		t.Error("the sender was recorded as a member")
	}
}
