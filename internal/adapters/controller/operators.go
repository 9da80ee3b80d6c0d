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

func writeJSON(writer http.ResponseWriter, status int, content any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(content)
}

// changeResponse is what operators read of a change.
type changeResponse struct {
	Outcome  string           `json:"outcome"`
	Version  string           `json:"version,omitempty"`
	Change   string           `json:"change,omitempty"`
	Type     failure.Code     `json:"type,omitempty"`
	Detail   string           `json:"detail,omitempty"`
	Failures []*failure.Error `json:"failures,omitempty"`
	How      string           `json:"how,omitempty"`
}

// readable is the committed state for a read; without one the call is answered.
func (p *Process) readable(writer http.ResponseWriter) (*controlplane.Term, *replication.View, *replication.State, bool) {
	current, view, state, err := p.controller.Read()
	if err != nil {
		writeJSON(writer, http.StatusServiceUnavailable, changeResponse{Outcome: "not_accepted", Type: failure.CodeOf(err), Detail: err.Error()})
		return nil, nil, nil, false
	}
	return current, view, state, true
}

func (p *Process) getConfiguration(writer http.ResponseWriter, _ *http.Request) {
	_, view, state, readable := p.readable(writer)
	if !readable {
		return
	}
	version := view.VersionOf(replication.ConfigurationSection).String()
	writer.Header().Set("ETag", `"`+version+`"`)
	writeJSON(writer, http.StatusOK, map[string]any{"version": version, "configuration": json.RawMessage(state.Configuration)})
}

// expectedVersion reads the version that the operator changes from.
func expectedVersion(inbound *http.Request) (*replication.Version, error) {
	text := inbound.URL.Query().Get("expected")
	if text == "" {
		text = strings.Trim(inbound.Header.Get("If-Match"), `"`)
	}
	epoch, number, found := strings.Cut(text, ".")
	if !found {
		return nil, failure.At(failure.Missing, "expected", "the version that is changed is needed, such as expected=2.9")
	}
	var version replication.Version
	var err error
	if version.Epoch, err = strconv.ParseUint(epoch, 10, 64); err == nil {
		version.Number, err = strconv.ParseUint(number, 10, 64)
	}
	if err != nil {
		return nil, failure.At(failure.Malformed, "expected", "a version is two numbers, such as 2.9")
	}
	return &version, nil
}

func (p *Process) putConfiguration(writer http.ResponseWriter, inbound *http.Request) {
	p.edit(writer, inbound, func(_, body []byte) ([]byte, error) {
		// fastjson writes the text anew, so that what is kept is compact.
		value, err := fastjson.ParseBytes(body)
		if err != nil {
			return nil, &config.ValidationError{Errors: []*failure.Error{failure.At(failure.Malformed, "/", config.SyntaxDetail(body))}}
		}
		return value.MarshalTo(nil), nil
	})
}

func (p *Process) patchConfiguration(writer http.ResponseWriter, inbound *http.Request) {
	p.edit(writer, inbound, func(text, body []byte) ([]byte, error) {
		merged, err := config.Merge(text, body)
		var found *failure.Error
		if stderrors.As(err, &found) {
			return nil, &config.ValidationError{Errors: []*failure.Error{found}}
		}
		return merged, err
	})
}

// orderZone evacuates a zone or restores it. It may name the version that it was decided on; an order
// without one is made on any, unless it comes late.
func (p *Process) orderZone(evacuate bool) http.HandlerFunc {
	return func(writer http.ResponseWriter, inbound *http.Request) {
		body, read := readBody(writer, inbound)
		if !read {
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

// readBody reads the body of a change; one that is too large is answered.
func readBody(writer http.ResponseWriter, inbound *http.Request) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, inbound.Body, config.MaxBytes+1))
	if err != nil {
		writeJSON(writer, http.StatusUnprocessableEntity, changeResponse{Outcome: "not_accepted", Type: failure.Oversize, Failures: []*failure.Error{failure.At(failure.Oversize, "/", err.Error())}})
		return nil, false
	}
	return body, true
}

// respondEdit makes an edit and answers "accepted" only when it is in force everywhere.
func (p *Process) respondEdit(writer http.ResponseWriter, edit controlplane.Edit) {
	version, err := p.controller.Edit(edit)
	if err != nil {
		p.writeEditError(writer, edit.Change, err)
		return
	}
	writeJSON(writer, http.StatusOK, changeResponse{Outcome: "accepted", Version: version.String(), Change: edit.Change})
}

// edit changes the configuration from the version or the revision that the operator names.
func (p *Process) edit(writer http.ResponseWriter, inbound *http.Request, edit func(text, body []byte) ([]byte, error)) {
	body, read := readBody(writer, inbound)
	if !read {
		return
	}
	var expected *replication.Version
	var buildsOn *uint64
	if on := inbound.URL.Query().Get("builds_on"); on != "" {
		revision, err := strconv.ParseUint(on, 10, 64)
		if err != nil {
			writeJSON(writer, http.StatusBadRequest, changeResponse{Outcome: "not_accepted", Type: failure.Malformed, Detail: "builds_on is the number of a revision, such as 5"})
			return
		}
		buildsOn = &revision
	}
	if buildsOn == nil {
		var err error
		if expected, err = expectedVersion(inbound); err != nil {
			writeJSON(writer, http.StatusBadRequest, changeResponse{Outcome: "not_accepted", Type: failure.CodeOf(err), Detail: err.Error()})
			return
		}
	}
	change := inbound.URL.Query().Get("change")
	if change == "" && buildsOn == nil {
		change = uuid.NewString()
	}
	p.respondEdit(writer, controlplane.Edit{
		Change:       change,
		Digest:       digestOf(inbound, body),
		Expected:     expected,
		BaseRevision: buildsOn,
		Apply:        func(text []byte) ([]byte, error) { return edit(text, body) },
	})
}

// digestOf tells one change from another: by its method, place, expected version
// and body.
func digestOf(inbound *http.Request, body []byte) string {
	digest := sha256.New()
	if on := inbound.URL.Query().Get("builds_on"); on != "" {
		_, _ = digest.Write([]byte("builds_on=" + on + "\x00"))
	}
	for _, part := range []string{inbound.Method, inbound.URL.Path, inbound.URL.Query().Get("expected"), inbound.Header.Get("If-Match"), string(body)} {
		_, _ = digest.Write([]byte(part))
		_, _ = digest.Write([]byte{0})
	}
	return hex.EncodeToString(digest.Sum(nil)[:16])
}

func (p *Process) writeEditError(writer http.ResponseWriter, change string, err error) {
	var findings *config.ValidationError
	if stderrors.As(err, &findings) {
		writeJSON(writer, http.StatusUnprocessableEntity, changeResponse{Outcome: "not_accepted", Type: "refused", Change: change, Failures: findings.Errors})
		return
	}
	failed := &failure.Error{}
	_ = stderrors.As(err, &failed)
	switch failed.Code {
	case failure.VersionConflict:
		writeJSON(writer, http.StatusConflict, changeResponse{Outcome: "not_accepted", Type: failed.Code, Change: change, Version: failed.Detail, Detail: "the configuration is at another version"})
	case failure.RevisionConflict:
		writeJSON(writer, http.StatusConflict, changeResponse{Outcome: "not_accepted", Type: failed.Code, Change: change, Detail: "the configuration is at revision " + failed.Detail})
	case failure.Duplicate:
		writeJSON(writer, http.StatusConflict, changeResponse{Outcome: "not_accepted", Type: failed.Code, Change: change, Detail: failed.Detail})
	case failure.LateOrder:
		writer.Header().Set("Connection", "close")
		writeJSON(writer, http.StatusServiceUnavailable, changeResponse{Outcome: "not_accepted", Type: failed.Code, Change: change, Detail: failed.Detail})
	case failure.Busy, failure.NotSupported:
		writeJSON(writer, http.StatusServiceUnavailable, changeResponse{Outcome: "not_accepted", Type: failed.Code, Change: change, Detail: failed.Detail})
	case failure.NotPrimary, failure.NoPrimary:
		writeJSON(writer, http.StatusServiceUnavailable, changeResponse{Outcome: "not_accepted", Type: failure.NoPrimary, Change: change, Detail: err.Error()})
	default:
		writeUnknown(writer, change)
	}
}

func (p *Process) getChange(writer http.ResponseWriter, inbound *http.Request) {
	_, view, _, readable := p.readable(writer)
	if !readable {
		return
	}
	id := pat.Param(inbound, "id")
	records, err := view.ChangeRecords()
	if err != nil {
		writeJSON(writer, http.StatusInternalServerError, changeResponse{Outcome: "not_accepted", Change: id, Type: failure.CodeOf(err), Detail: err.Error()})
		return
	}
	if accepted, found := records.Find(id); found {
		writeJSON(writer, http.StatusOK, changeResponse{Outcome: "accepted", Change: id, Version: accepted.Version.String()})
		return
	}
	writeJSON(writer, http.StatusNotFound, changeResponse{Outcome: "not_accepted", Change: id, Type: failure.NoSuch,
		Detail: "the change is not among those accepted in the last " + replication.ChangeRetention.String()})
}

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

// flagStatus is what operators read of a flag.
type flagStatus struct {
	features.Description
	Enabled  bool     `json:"enabled"`
	Lacking  []string `json:"lacking,omitempty"`
	Stopped  []string `json:"lacking_and_stopped,omitempty"`
	Why      string   `json:"why"`
	Settling bool     `json:"settling,omitempty"`
}

// memberStatus is what operators read of a member.
type memberStatus struct {
	membership.Member
	Running    bool `json:"running"`
	Restricted bool `json:"restricted"`
}
