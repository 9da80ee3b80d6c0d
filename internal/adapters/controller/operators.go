package controller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	stderrors "errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/valyala/fastjson"
	"goji.io"
	"goji.io/pat"

	"seamloom.example/seamloom/internal/config"
	"seamloom.example/seamloom/internal/controlplane"
	"seamloom.example/seamloom/internal/failure"
	"seamloom.example/seamloom/internal/features"
	"seamloom.example/seamloom/internal/membership"
	"seamloom.example/seamloom/internal/replication"
)

// operatorRoutes adds the handlers for operators.
func (p *Process) operatorRoutes(mux *goji.Mux) {
	mux.HandleFunc(pat.Get("/v1/configuration"), p.onPrimary(p.getConfiguration))
	mux.HandleFunc(pat.Put("/v1/configuration"), p.onPrimary(p.putConfiguration))
	mux.HandleFunc(pat.Patch("/v1/configuration"), p.onPrimary(p.patchConfiguration))
	mux.HandleFunc(pat.Post("/v1/evacuations/:district"), p.onPrimary(p.orderZone(true)))
	mux.HandleFunc(pat.Delete("/v1/evacuations/:district"), p.onPrimary(p.orderZone(false)))
	mux.HandleFunc(pat.Get("/v1/changes/:id"), p.onPrimary(p.getChange))
	mux.HandleFunc(pat.Get("/v1/status"), p.onPrimary(p.getStatus))
	mux.HandleFunc(pat.Get("/v1/flags"), p.onPrimary(p.getFlags))
	mux.HandleFunc(pat.Post("/v1/members/:name/retire"), p.onPrimary(p.retire))
	mux.HandleFunc(pat.Get("/v1/health"), func(writer http.ResponseWriter, _ *http.Request) {
		writeJSON(writer, http.StatusOK, map[string]any{"healthy": true})
	})
	mux.HandleFunc(pat.Get("/v1/ready"), p.getReady)
	mux.HandleFunc(pat.Get("/v1/metrics"), p.getMetrics)
	mux.HandleFunc(pat.Get("/v1/tenants"), p.getTenants)
}

// writeJSON responds with a status and the content as JSON.
func writeJSON(writer http.ResponseWriter, status int, content any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(content)
}

// changeResponse is the response to a change, and the error response to other requests.
type changeResponse struct {
	Outcome  string           `json:"outcome"`
	Version  string           `json:"version,omitempty"`
	Change   string           `json:"change,omitempty"`
	Type     failure.Code     `json:"type,omitempty"`
	Detail   string           `json:"detail,omitempty"`
	Failures []*failure.Error `json:"failures,omitempty"`
	// StatusRequest is the request by which the outcome of the change can be queried.
	StatusRequest string `json:"how,omitempty"`
}

// readState returns the committed state. If the state cannot be read, for example because this controller is not
// primary, readState responds with the error and returns false.
func (p *Process) readState(writer http.ResponseWriter) (*controlplane.Term, *replication.View, *replication.State, bool) {
	term, view, state, err := p.controller.Read()
	if err != nil {
		writeJSON(writer, http.StatusServiceUnavailable, changeResponse{Outcome: "not_accepted", Type: failure.CodeOf(err), Detail: err.Error()})
		return nil, nil, nil, false
	}
	return term, view, state, true
}

// getConfiguration responds with the committed configuration and its version, which is also the ETag.
func (p *Process) getConfiguration(writer http.ResponseWriter, _ *http.Request) {
	_, view, state, ok := p.readState(writer)
	if !ok {
		return
	}
	version := view.VersionOf(replication.ConfigurationSection).String()
	writer.Header().Set("ETag", `"`+version+`"`)
	writeJSON(writer, http.StatusOK, map[string]any{"version": version, "configuration": json.RawMessage(state.Configuration)})
}

// expectedVersion returns the version on which the operator's change is based, from the query parameter expected
// or, if that is missing, from the If-Match header.
func expectedVersion(inbound *http.Request) (*replication.Version, error) {
	text := inbound.URL.Query().Get("expected")
	if text == "" {
		text = strings.Trim(inbound.Header.Get("If-Match"), `"`)
	}
	epoch, number, found := strings.Cut(text, ".")
	if !found {
		return nil, failure.At(failure.Missing, "expected", "the request must name the version that it changes, such as expected=2.9")
	}
	var version replication.Version
	var err error
	if version.Epoch, err = strconv.ParseUint(epoch, 10, 64); err == nil {
		version.Number, err = strconv.ParseUint(number, 10, 64)
	}
	if err != nil {
		return nil, failure.At(failure.Malformed, "expected", "a version consists of two numbers, such as 2.9")
	}
	return &version, nil
}

// putConfiguration replaces the whole configuration.
func (p *Process) putConfiguration(writer http.ResponseWriter, inbound *http.Request) {
	p.edit(writer, inbound, func(_, body []byte) ([]byte, error) {
		// The text is parsed and written again, so that the stored text is compact.
		value, err := fastjson.ParseBytes(body)
		if err != nil {
			return nil, &config.ValidationError{Failures: []*failure.Error{failure.At(failure.Malformed, "/", config.SyntaxDetail(body))}}
		}
		return value.MarshalTo(nil), nil
	})
}

// patchConfiguration merges the body into the configuration.
func (p *Process) patchConfiguration(writer http.ResponseWriter, inbound *http.Request) {
	p.edit(writer, inbound, func(text, body []byte) ([]byte, error) {
		merged, err := config.Merge(text, body)
		var mergeError *failure.Error
		if stderrors.As(err, &mergeError) {
			return nil, &config.ValidationError{Failures: []*failure.Error{mergeError}}
		}
		return merged, err
	})
}

// orderZone returns a handler that evacuates a zone or restores it. A request may name the version of the
// configuration that must be in force. A request that names no version applies to any version, but is refused if
// it arrives late (see controlplane.ZoneOrder).
func (p *Process) orderZone(evacuate bool) http.HandlerFunc {
	return func(writer http.ResponseWriter, inbound *http.Request) {
		body, ok := readBody(writer, inbound)
		if !ok {
			return
		}
		order := controlplane.ZoneOrder{
			Zone:       pat.Param(inbound, "district"),
			Evacuate:   evacuate,
			Connection: p.connectionOf(inbound),
		}
		if evacuate {
			order.Reason = fastjson.GetString(body, "reason")
		}
		edit := order.Edit()
		if inbound.URL.Query().Get("expected") != "" || inbound.Header.Get("If-Match") != "" {
			expected, err := expectedVersion(inbound)
			if err != nil {
				writeJSON(writer, http.StatusBadRequest, changeResponse{Outcome: "not_accepted", Type: failure.CodeOf(err), Detail: err.Error()})
				return
			}
			edit.Expected = expected
		}
		if edit.Change = inbound.URL.Query().Get("change"); edit.Change == "" {
			edit.Change = uuid.NewString()
		}
		edit.Digest = digestOf(inbound, body)
		p.respondEdit(writer, edit)
	}
}

// readBody returns the body of a change. If the body is too large or cannot be read, readBody responds with the code
// Oversize and returns false.
func readBody(writer http.ResponseWriter, inbound *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, inbound.Body, config.MaxBytes+1))
	if err != nil {
		writeJSON(writer, http.StatusUnprocessableEntity, changeResponse{
			Outcome: "not_accepted", Type: failure.Oversize,
			Failures: []*failure.Error{failure.At(failure.Oversize, "/", err.Error())}})
		return nil, false
	}
	return body, true
}

// respondEdit makes an edit, and responds with "accepted" once the edit is in force on all routers, or once the
// time limit of the setting AcknowledgeWait has passed.
func (p *Process) respondEdit(writer http.ResponseWriter, edit controlplane.Edit) {
	version, err := p.controller.Edit(edit)
	if err != nil {
		p.writeEditError(writer, edit.Change, err)
		return
	}
	writeJSON(writer, http.StatusOK, changeResponse{Outcome: "accepted", Version: version.String(), Change: edit.Change})
}

// edit passes the body of the request to apply, which returns the new configuration, and makes the edit if the
// configuration still has the version or the revision that the request names.
func (p *Process) edit(writer http.ResponseWriter, inbound *http.Request, apply func(text, body []byte) ([]byte, error)) {
	body, ok := readBody(writer, inbound)
	if !ok {
		return
	}
	var expected *replication.Version
	var baseRevision *uint64
	if text := inbound.URL.Query().Get("builds_on"); text != "" {
		revision, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			writeJSON(writer, http.StatusBadRequest, changeResponse{
				Outcome: "not_accepted", Type: failure.Malformed, Detail: "builds_on must be the number of a revision, such as 5"})
			return
		}
		baseRevision = &revision
	}
	if baseRevision == nil {
		var err error
		if expected, err = expectedVersion(inbound); err != nil {
			writeJSON(writer, http.StatusBadRequest, changeResponse{Outcome: "not_accepted", Type: failure.CodeOf(err), Detail: err.Error()})
			return
		}
	}
	change := inbound.URL.Query().Get("change")
	if change == "" && baseRevision == nil {
		change = uuid.NewString()
	}
	p.respondEdit(writer, controlplane.Edit{
		Change:       change,
		Digest:       digestOf(inbound, body),
		Expected:     expected,
		BaseRevision: baseRevision,
		Apply:        func(text []byte) ([]byte, error) { return apply(text, body) },
	})
}

// digestOf returns a digest of a change's method, path, expected version or revision, and body. It distinguishes
// a repeated change from another change with the same id.
func digestOf(inbound *http.Request, body []byte) string {
	digest := sha256.New()
	if revision := inbound.URL.Query().Get("builds_on"); revision != "" {
		_, _ = digest.Write([]byte("builds_on=" + revision + "\x00"))
	}
	for _, part := range []string{
		inbound.Method, inbound.URL.Path, inbound.URL.Query().Get("expected"), inbound.Header.Get("If-Match"), string(body),
	} {
		_, _ = digest.Write([]byte(part))
		_, _ = digest.Write([]byte{0})
	}
	return hex.EncodeToString(digest.Sum(nil)[:16])
}

// writeEditError responds to an edit that was not accepted, or whose outcome is unknown.
func (p *Process) writeEditError(writer http.ResponseWriter, change string, err error) {
	var validation *config.ValidationError
	if stderrors.As(err, &validation) {
		writeJSON(writer, http.StatusUnprocessableEntity, changeResponse{
			Outcome: "not_accepted", Type: "refused", Change: change, Failures: validation.Failures})
		return
	}
	editError := &failure.Error{}
	_ = stderrors.As(err, &editError)
	switch editError.Code {
	case failure.VersionConflict:
		writeJSON(writer, http.StatusConflict, changeResponse{
			Outcome: "not_accepted", Type: editError.Code, Change: change,
			Version: editError.Detail, Detail: "the configuration is at another version"})
	case failure.RevisionConflict:
		writeJSON(writer, http.StatusConflict, changeResponse{
			Outcome: "not_accepted", Type: editError.Code, Change: change,
			Detail: "the configuration is at revision " + editError.Detail})
	case failure.Duplicate:
		writeJSON(writer, http.StatusConflict, changeResponse{
			Outcome: "not_accepted", Type: editError.Code, Change: change, Detail: editError.Detail})
	case failure.LateOrder:
		// A client that still waits for the response sends the order again on a new connection, on which the
		// order is not late.
		writer.Header().Set("Connection", "close")
		writeJSON(writer, http.StatusServiceUnavailable, changeResponse{
			Outcome: "not_accepted", Type: editError.Code, Change: change, Detail: editError.Detail})
	case failure.Busy, failure.NotSupported:
		writeJSON(writer, http.StatusServiceUnavailable, changeResponse{
			Outcome: "not_accepted", Type: editError.Code, Change: change, Detail: editError.Detail})
	case failure.NotPrimary, failure.NoPrimary:
		writeJSON(writer, http.StatusServiceUnavailable, changeResponse{
			Outcome: "not_accepted", Type: failure.NoPrimary, Change: change, Detail: err.Error()})
	default:
		writeUnknown(writer, change)
	}
}

// getChange responds with the outcome of a change.
func (p *Process) getChange(writer http.ResponseWriter, inbound *http.Request) {
	_, view, _, ok := p.readState(writer)
	if !ok {
		return
	}
	id := pat.Param(inbound, "id")
	records, err := view.ChangeRecords()
	if err != nil {
		writeJSON(writer, http.StatusInternalServerError, changeResponse{
			Outcome: "not_accepted", Change: id, Type: failure.CodeOf(err), Detail: err.Error()})
		return
	}
	if accepted, found := records.Find(id); found {
		writeJSON(writer, http.StatusOK, changeResponse{Outcome: "accepted", Change: id, Version: accepted.Version.String()})
		return
	}
	writeJSON(writer, http.StatusNotFound, changeResponse{Outcome: "not_accepted", Change: id, Type: failure.NoSuch,
		Detail: "there is no such change among those accepted in the last " + replication.ChangeRetention.String()})
}

// retire removes a stopped member from the list of members. It refuses to remove a router whose lease is live.
func (p *Process) retire(writer http.ResponseWriter, inbound *http.Request) {
	name := pat.Param(inbound, "name")
	version, err := p.controller.Retire(name)
	if failure.CodeOf(err) == failure.LeaseActive {
		writeJSON(writer, http.StatusConflict, changeResponse{Outcome: "not_accepted", Type: failure.LeaseActive, Detail: failure.DetailOf(err)})
		return
	}
	if failure.CodeOf(err) == failure.NoSuch {
		writeJSON(writer, http.StatusNotFound, changeResponse{Outcome: "not_accepted", Type: failure.NoSuch, Detail: err.Error()})
		return
	}
	if err != nil {
		p.writeEditError(writer, "", err)
		return
	}
	writeJSON(writer, http.StatusOK, changeResponse{Outcome: "accepted", Version: version.String()})
}

// flagStatus is the status of a feature flag in responses to operators.
type flagStatus struct {
	features.Description
	Enabled bool `json:"enabled"`
	// MembersWithout are the names of the members that do not support the flag.
	MembersWithout []string `json:"lacking,omitempty"`
	// Stopped are the routers in MembersWithout that are not running.
	Stopped []string `json:"lacking_and_stopped,omitempty"`
	// Reason is why the flag is or is not enabled.
	Reason string `json:"why"`
	// Unstable means that the flag is not enabled yet because the members have changed recently.
	Unstable bool `json:"settling,omitempty"`
}

// memberStatus is the status of a member in responses to operators.
type memberStatus struct {
	membership.Member
	Running    bool `json:"running"`
	Restricted bool `json:"restricted"`
}
