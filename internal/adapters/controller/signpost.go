package controller

import (
	"context"
	"net/http"

	"github.com/charmbracelet/log"
	"gopkg.in/tomb.v2"

	"seamloom.example/seamloom/internal/adapters/daemon"
	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/adapters/rpc"
	"seamloom.example/seamloom/internal/adapters/settings"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/hatch"
	"seamloom.example/seamloom/internal/replication"
)

// Signpost is the process that stands in for an expediter on a machine without a disk:
// it sends operators on to the primary.
type Signpost struct {
	tomb    tomb.Tomb
	conduct *hatch.Signpost
}

// StartSignpost makes a signpost.
func StartSignpost(chosen settings.Settings, logger *log.Logger, clock *osruntime.Clock) *Signpost {
	signpost := &Signpost{}
	lifetime := signpost.tomb.Context(context.Background())
	line := rpc.Line{Caller: rpc.NewCaller(chosen.Detours), Lifetime: lifetime}
	signpost.conduct = hatch.NewSignpost(osruntime.New(lifetime, clock), line, chosen.Seeds)
	signpost.tomb.Go(func() error {
		signpost.conduct.Run()
		return nil
	})
	logger.Info("no_disk", "what", "operators are sent on to the primary; nothing is kept here")
	return signpost
}

// Answer listens on an address for as long as the process lives.
func (signpost *Signpost) Answer(address string, handler http.Handler) error {
	return daemon.Serve(&signpost.tomb, address, handler)
}

// Edit changes nothing here.
func (signpost *Signpost) Edit(hatch.Edit) (replication.Version, error) {
	return replication.Version{}, failure.New(failure.NoPrimary, "nothing is kept here")
}

// Configuration is not kept here.
func (signpost *Signpost) Configuration() ([]byte, error) {
	return nil, failure.New(failure.NoPrimary, "nothing is kept here")
}

// Leads is never true; it gives the hotline address of the primary, if one is found.
func (signpost *Signpost) Leads() (leads bool, elsewhere string) {
	return false, signpost.conduct.Leader()
}

// Reload takes the seeds.
func (signpost *Signpost) Reload(next settings.Settings) { signpost.conduct.SetSeeds(next.Seeds) }

// Dead is closed when the process has ended by itself.
func (signpost *Signpost) Dead() <-chan struct{} { return signpost.tomb.Dead() }

// Stop ends the process.
func (signpost *Signpost) Stop() error {
	signpost.tomb.Kill(nil)
	return signpost.tomb.Wait()
}
