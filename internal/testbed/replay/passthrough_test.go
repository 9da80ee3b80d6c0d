package replay

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httputil"
	"os"
	"os/signal"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// passThrough is a minimal replacement for the product on one machine. It keeps a configuration in
// memory and forwards requests, so that the tests can check the stand-ins without the product.
type passThrough struct {
	settings struct {
		BindAddrs   map[string]string        `json:"bindAddrs"`
		PlatformAPI struct{ Address string } `json:"platformApi"`
	}
	mutex      sync.Mutex
	current    map[string]any
	text       []byte
	servers    []serverEntry
	nextServer atomic.Int64
}

// runPassThrough runs the pass-through in the test binary until SIGTERM.
func runPassThrough() {
	product := &passThrough{}
	text, err := os.ReadFile(os.Getenv(settingsName))
	if err != nil || json.Unmarshal(text, &product.settings) != nil {
		os.Exit(1)
	}
	go product.readList()
	control := http.NewServeMux()
	control.HandleFunc("POST "+pathReplace, product.replace)
	control.HandleFunc("GET "+pathRead, func(writer http.ResponseWriter, _ *http.Request) {
		product.mutex.Lock()
		defer product.mutex.Unlock()
		_, _ = writer.Write(product.text)
	})
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+pathReady, func(writer http.ResponseWriter, _ *http.Request) {
		product.mutex.Lock()
		defer product.mutex.Unlock()
		if product.current == nil || len(product.servers) == 0 {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	for name, handler := range map[string]http.Handler{
		"controlPlane": control,
		"readiness":    ready,
		"frontHttp":    http.HandlerFunc(product.forward),
	} {
		go func() { _ = http.ListenAndServe(product.settings.BindAddrs[name], handler) }()
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM)
	<-ended
}

// readList reads the list of servers, with a pause of 500 ms after each read.
func (p *passThrough) readList() {
	for {
		var all []serverEntry
		token, isComplete := "", false
		for {
			response, err := http.Get("http://" + p.settings.PlatformAPI.Address + pathServers + "?pageToken=" + token)
			if err != nil {
				break
			}
			var page struct {
				Servers   []serverEntry
				NextToken *string
			}
			err = json.NewDecoder(response.Body).Decode(&page)
			_ = response.Body.Close()
			all = append(all, page.Servers...)
			isComplete = err == nil && page.NextToken == nil
			if err != nil || isComplete {
				break
			}
			token = *page.NextToken
		}
		if isComplete {
			p.mutex.Lock()
			p.servers = all
			p.mutex.Unlock()
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// replace replaces the configuration if the request is based on the current revision. It also accepts
// a request that repeats the current configuration.
func (p *passThrough) replace(writer http.ResponseWriter, inbound *http.Request) {
	body, _ := io.ReadAll(inbound.Body)
	var proposed map[string]any
	p.mutex.Lock()
	defer p.mutex.Unlock()
	current := 0.0
	if p.current != nil {
		current, _ = p.current["revision"].(float64)
	}
	switch {
	case json.Unmarshal(body, &proposed) != nil:
		writer.WriteHeader(http.StatusBadRequest)
	case reflect.DeepEqual(proposed, p.current):
	case inbound.Header.Get(headerBaseRevision) != strconv.Itoa(int(current)):
		writer.WriteHeader(http.StatusPreconditionFailed)
	default:
		p.current, p.text = proposed, body
	}
}

// find reports whether a route matches a request, and picks a serving server of the route's service
// that is not in the prefill phase; the server is nil if there is none.
func (p *passThrough) find(host, path string) (found bool, server *serverEntry) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	routes, _ := p.current["routes"].([]any)
	for _, entry := range routes {
		fields, _ := entry.(map[string]any)
		if fields["host"] != host || !strings.HasPrefix(path, fields["pathPrefix"].(string)) {
			continue
		}
		var candidates []serverEntry
		for _, listed := range p.servers {
			if listed.Backend == fields["backend"] && listed.Phase != phasePrefill && listed.State == stateServing {
				candidates = append(candidates, listed)
			}
		}
		if len(candidates) == 0 {
			return true, nil
		}
		return true, &candidates[p.nextServer.Add(1)%int64(len(candidates))]
	}
	return false, nil
}

// forward forwards a request to a server of its route.
func (p *passThrough) forward(writer http.ResponseWriter, inbound *http.Request) {
	found, server := p.find(inbound.Host, inbound.URL.Path)
	switch {
	case !found:
		writer.WriteHeader(http.StatusNotFound)
		return
	case server == nil:
		writer.Header().Set(headerRetryAfter, "0.2")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	proxy := &httputil.ReverseProxy{FlushInterval: -1, Rewrite: func(call *httputil.ProxyRequest) {
		call.Out.URL.Scheme, call.Out.URL.Host, call.Out.Host = "http", server.Address, inbound.Host
		call.Out.Header.Set(headerTarget, server.ID)
	}}
	proxy.ServeHTTP(writer, inbound)
}
