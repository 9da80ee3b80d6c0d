package controller

import (
	"context"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"gopkg.in/tomb.v2"

	"seamloom.example/seamloom/internal/adapters/daemon"
	"seamloom.example/seamloom/internal/adapters/osruntime"
	"seamloom.example/seamloom/internal/adapters/rpc"
	"seamloom.example/seamloom/internal/adapters/settings"
	"seamloom.example/seamloom/internal/controlplane"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/replication"
)

// Redirector is the process that runs instead of a controller on a machine without a disk. It
// redirects operators to the primary.
type Redirector struct {
	tomb       tomb.Tomb
	redirector *controlplane.Redirector
}

// StartRedirector starts a redirector. To find the primary, it asks the seeds first.
func StartRedirector(nodeSettings settings.Settings, logger *log.Logger, clock *osruntime.Clock) *Redirector {
	redirector := &Redirector{}
	ctx := redirector.tomb.Context(context.Background())
	client := rpc.Client{Caller: rpc.NewCaller(nodeSettings.Detours), Context: ctx}
	redirector.redirector = controlplane.NewRedirector(osruntime.New(ctx, clock), client, nodeSettings.Seeds)
	redirector.tomb.Go(func() error {
		redirector.redirector.Run()
		return nil
	})
	logger.Info("no_disk", "what", "operators are redirected to the primary; this node stores no data")
	return redirector
}

// Serve serves the handler on an address until the process ends.
func (r *Redirector) Serve(address string, handler http.Handler) error {
	return daemon.Serve(&r.tomb, address, handler, time.Now)
}

// Edit always fails, with the code NoPrimary.
func (r *Redirector) Edit(controlplane.Edit) (replication.Version, error) {
	return replication.Version{}, failure.New(failure.NoPrimary, "this node stores no configuration")
}

// Configuration always fails, with the code NoPrimary.
func (r *Redirector) Configuration() ([]byte, error) {
	return nil, failure.New(failure.NoPrimary, "this node stores no configuration")
}

// IsPrimary always returns false. It also returns the address at which other nodes reach the primary, or the
// empty string if no primary is found.
func (r *Redirector) IsPrimary() (isPrimary bool, primary string) {
	return false, r.redirector.Leader()
}

// Reload applies the seeds of the next settings.
func (r *Redirector) Reload(next settings.Settings) { r.redirector.SetSeeds(next.Seeds) }

// Dead returns a channel that is closed when the redirector has ended, whether or not Stop was called.
func (r *Redirector) Dead() <-chan struct{} { return r.tomb.Dead() }

// Stop terminates the process.
func (r *Redirector) Stop() error {
	r.tomb.Kill(nil)
	return r.tomb.Wait()
}
