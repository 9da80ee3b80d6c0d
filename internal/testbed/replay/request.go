package replay

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// request is one thing that a client wants, through all its tries.
type request struct {
	id       string
	class    Class
	route    string
	rule     RouteRule
	path     string
	parts    string
	tokens   string
	body     []byte
	chunked  bool
	began    time.Time
	probe    bool
	leaves   bool
	machines map[string]bool
}

// newRequest draws a request of a kind.
func newRequest(class Class, route string, rule RouteRule, random *rand.Rand) *request {
	r := &request{
		id:       uuid.NewString(),
		class:    class,
		route:    route,
		rule:     rule,
		path:     rule.Prefix + strconv.Itoa(random.IntN(1000)),
		began:    time.Now(),
		chunked:  random.IntN(3) == 0,
		leaves:   random.IntN(40) == 0,
		machines: map[string]bool{},
	}
	var chain []string
	total := 0
	thing := 0
	for layer, shared := range class.Shared {
		thing = random.IntN(shared.Things)
		chain = append(chain, fmt.Sprintf("%x:%d", len(class.Name)<<24|layer<<16|thing, shared.Tokens))
		total += shared.Tokens
	}
	own := class.OwnTokens/2 + random.IntN(max(1, class.OwnTokens))
	chain = append(chain, fmt.Sprintf("%x:%d", random.Uint32(), own))
	if class.Plain {
		chain = nil
	}
	r.tokens = fmt.Sprintf("%d,%d", total+own, 1+class.MostTokens/2+random.IntN(max(1, class.MostTokens)))
	r.parts = strings.Join(chain, ",")
	r.body = []byte(`{"ask":"` + r.id + `","text":"` + strings.Repeat("menu ", max(0, class.BodyBytes-60)/5) + `"}`)
	return r
}

// header writes what a try says, save its own id and deadline.
func (r *request) header() http.Header {
	if r.class.Plain {
		return http.Header{"Content-Type": {"application/json"}}
	}
	return http.Header{
		headerModel:    {modelName},
		headerTokens:   {r.tokens},
		headerParts:    {r.parts},
		"Content-Type": {"application/json"},
	}
}

// digest names what the request asks.
func (r *request) digest() string {
	return digestOf(http.MethodPost, r.path, r.rule.Host, r.header(), r.body)
}

// patience is the silence after which the client gives a stream up.
func (r *request) patience() time.Duration {
	if r.class.Plain {
		return r.class.Deadline
	}
	return max(2*time.Second, 4*r.class.Aim, 8*r.class.Pause)
}

// left is how long the client still waits.
func (r *request) left() time.Duration { return r.class.Deadline - time.Since(r.began) }

// modelName is the model that the kit's servers run.
const modelName = "m"

// digestOf names what a request asks: its method, path, query, body and what it says of
// its prompt. Two attempts of one request have the same.
func digestOf(method, path, host string, header http.Header, body []byte) string {
	sum := fnv.New64a()
	for _, text := range []string{method, path, host, header.Get(headerModel), header.Get(headerTokens), header.Get(headerParts)} {
		_, _ = sum.Write([]byte(text))
		_, _ = sum.Write([]byte{0})
	}
	_, _ = sum.Write(body)
	return strconv.FormatUint(sum.Sum64(), 16)
}

// tokensOf is how many tokens the model answers a request with: the same at each server.
func tokensOf(digest string, most int) int {
	number, _ := strconv.ParseUint(digest, 16, 64)
	return max(1, most-int(number%uint64(max(1, most*2/5))))
}
