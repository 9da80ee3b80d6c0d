package replay

import (
	"encoding/json"
	"net/http"
)

// Headers, paths and values of the platform's protocol, as its documentation defines them. They
// occur only in the test bed and in platform/, nowhere else in the repository.
const (
	headerAttempt      = "X-Attempt-Id"
	headerSeal         = "X-Server-Seal"
	headerDeadline     = "X-Deadline-Ms"
	headerTarget       = "X-Target-Server"
	headerServer       = "X-Server-Id"
	headerLoad         = "X-Server-Load"
	headerCold         = "X-Cold-Ms"
	headerNotRun       = "X-Not-Executed"
	headerModel        = "X-Model"
	headerTokens       = "X-Token-Count"
	headerParts        = "X-Prompt-Prefix"
	headerUrgency      = "X-Request-Urgency"
	headerWorkPhase    = "X-Work-Phase"
	headerSource       = "X-Kv-Source"
	headerExpected     = "X-Expected-Revision"
	headerRevision     = "X-Weight-Revisions"
	headerLastEvent    = "Last-Event-Id"
	headerBaseRevision = "X-Base-Revision"
	headerRetryAfter   = "Retry-After"

	pathServers   = "/servers"
	pathReport    = "/report"
	pathHealth    = "/health"
	pathOrder     = "/order"
	pathHandle    = "/kv-handle/"
	pathReady     = "/readiness"
	pathReplace   = "/Config.Replace"
	pathAmend     = "/Config.Amend"
	pathRead      = "/Config.Read"
	pathEvacuate  = "/Evacuation.Begin/"
	pathTakeBack  = "/Evacuation.Finish/"
	settingsName  = "SEAMLOOM_NODE_FILE"
	phasePrefill  = "prefill"
	phaseDecode   = "decode"
	stateServing  = "serving"
	stateDraining = "draining"
)

// writeJSON responds with JSON.
func writeJSON(writer http.ResponseWriter, status int, content any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(content)
}
