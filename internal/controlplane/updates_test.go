package controlplane

import (
	"testing"

	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/wire"
)

// TestFollowerHearsOfAMembershipBeforeItIsNeeded wants a question that is held back to be
// answered when the membership changes, with the new membership.
func TestFollowerHearsOfAMembershipBeforeItIsNeeded(t *testing.T) {
	_, primary := newCore(t, plain)
	m := primary.Coordinator().Membership()
	known := wire.UpdateRequest{Member: membership.Member{Name: "courier-1", Kind: membership.Router}, Membership: m.Epoch - 1}
	if !primary.hasNewerMembership(known) {
		t.Error("a question by an older charter is held back")
	}
	known.Membership = m.Epoch
	if primary.hasNewerMembership(known) {
		t.Error("a question by the newest charter is answered for nothing")
	}
	known.Membership = 0
	if primary.hasNewerMembership(known) {
		t.Error("an older release's question, which tells no charter, is never held back")
	}
}

// TestABriefQuestionIsAnsweredWithoutContent asks a primary only whether it leads: nobody is
// recorded by that, no lease is given, and no configuration goes out.
func TestABriefQuestionIsAnsweredWithoutContent(t *testing.T) {
	_, primary := newCore(t, plain)
	request := wire.UpdateRequest{Member: membership.Member{Name: "courier-1", Kind: membership.Router, Address: "c1"}, LeaderOnly: true}
	response, err := primary.serveUpdate(request)
	if err != nil || !response.Leads || response.Membership.Blank() {
		t.Fatalf("%+v %v", response, err)
	}
	if len(response.Sections) > 0 || response.Lease > 0 {
		t.Errorf("content or a lease: %+v", response)
	}
	if _, _, state, _ := primary.Read(); len(state.Members) > 0 && state.Members["courier-1"].Name != "" {
		t.Error("the asker was recorded")
	}
}
