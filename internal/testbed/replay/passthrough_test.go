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

// passThrough is the least that can stand in the product's place on one machine: it keeps
// a configuration in memory and hands requests on. The stand-ins are tried against it.
type passThrough struct {
	settings struct {
		BindAddrs   map[string]string        `json:"bindAddrs"`
		PlatformAPI struct{ Address string } `json:"platformApi"`
	}
	mutex   sync.Mutex
	current map[string]any
	text    []byte
	servers []serverPage
	turn    atomic.Int64
}

// runPassThrough is the process of that stand-in, in the test's own program.
func runPassThrough() {
	through := &passThrough{}
	text, err := os.ReadFile(os.Getenv(settingsName))
	if err != nil || json.Unmarshal(text, &through.settings) != nil {
		os.Exit(1)
	}
	go through.readList()
	control := http.NewServeMux()
	control.HandleFunc("POST "+pathReplace, through.replace)
	control.HandleFunc("GET "+pathRead, func(writer http.ResponseWriter, _ *http.Request) {
		through.mutex.Lock()
		defer through.mutex.Unlock()
		_, _ = writer.Write(through.text)
	})
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+pathReady, func(writer http.ResponseWriter, _ *http.Request) {
		through.mutex.Lock()
		defer through.mutex.Unlock()
		if through.current == nil || len(through.servers) == 0 {
			writer.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	for name, handler := range map[string]http.Handler{
		"controlPlane": control,
		"readiness":    ready,
		"frontHttp":    http.HandlerFunc(through.pass),
	} {
		go func() { _ = http.ListenAndServe(through.settings.BindAddrs[name], handler) }()
	}
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM)
	<-ended
}

func (p *passThrough) readList() {
	for {
		var all []serverPage
		token := ""
		for {
			a, err := http.Get("http://" + p.settings.PlatformAPI.Address + pathServers + "?pageToken=" + token)
			if err != nil {
				break
			}
			var page struct {
				Servers   []serverPage
				NextToken *string
			}
			err = json.NewDecoder(a.Body).Decode(&page)
			_ = a.Body.Close()
			all = append(all, page.Servers...)
			if err != nil || page.NextToken == nil {
				break
			}
			token = *page.NextToken
		}
		p.mutex.Lock()
		p.servers = all
		p.mutex.Unlock()
		time.Sleep(500 * time.Millisecond)
	}
}

func (p *passThrough) replace(writer http.ResponseWriter, inbound *http.Request) {
	body, _ := io.ReadAll(inbound.Body)
	var page map[string]any
	p.mutex.Lock()
	defer p.mutex.Unlock()
	current := 0.0
	if p.current != nil {
		current, _ = p.current["revision"].(float64)
	}
	switch {
	case json.Unmarshal(body, &page) != nil:
		writer.WriteHeader(http.StatusBadRequest)
	case reflect.DeepEqual(page, p.current):
	case inbound.Header.Get(headerBase) != strconv.Itoa(int(current)):
		writer.WriteHeader(http.StatusPreconditionFailed)
	default:
		p.current, p.text = page, body
	}
}

// find picks the service of a request, and a server of it that makes tokens.
func (p *passThrough) find(host, path string) (route bool, server *serverPage) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	routes, _ := p.current["routes"].([]any)
	for _, each := range routes {
		fields, _ := each.(map[string]any)
		if fields["host"] != host || !strings.HasPrefix(path, fields["pathPrefix"].(string)) {
			continue
		}
		var fitting []serverPage
		for _, page := range p.servers {
			if page.Backend == fields["backend"] && page.Phase != phasePrefill && page.State == stateServing {
				fitting = append(fitting, page)
			}
		}
		if len(fitting) == 0 {
			return true, nil
		}
		return true, &fitting[p.turn.Add(1)%int64(len(fitting))]
	}
	return false, nil
}

func (p *passThrough) pass(writer http.ResponseWriter, inbound *http.Request) {
	route, server := p.find(inbound.Host, inbound.URL.Path)
	switch {
	case !route:
		writer.WriteHeader(http.StatusNotFound)
		return
	case server == nil:
		writer.Header().Set(headerRetryAfter, "0.2")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	onward := &httputil.ReverseProxy{FlushInterval: -1, Rewrite: func(call *httputil.ProxyRequest) {
		call.Out.URL.Scheme, call.Out.URL.Host, call.Out.Host = "http", server.Address, inbound.Host
		call.Out.Header.Set(headerTarget, server.ID)
	}}
	onward.ServeHTTP(writer, inbound)
}
