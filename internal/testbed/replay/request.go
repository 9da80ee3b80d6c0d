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

// request is one request of a client, with all its attempts.
type request struct {
	id            string
	class         Class
	route         string
	rule          RouteRule
	path          string
	parts         string
	tokens        string
	body          []byte
	chunked       bool
	began         time.Time
	probe         bool
	leavesEarly   bool
	triedMachines map[string]bool
}

// newRequest draws a request of a class.
func newRequest(class Class, route string, rule RouteRule, random *rand.Rand) *request {
	req := &request{
		id:            uuid.NewString(),
		class:         class,
		route:         route,
		rule:          rule,
		path:          rule.Prefix + strconv.Itoa(random.IntN(1000)),
		began:         time.Now(),
		chunked:       random.IntN(3) == 0,
		leavesEarly:   random.IntN(40) == 0,
		triedMachines: map[string]bool{},
	}
	var chain []string
	sharedTokens := 0
	variant := 0
	for layer, shared := range class.Shared {
		variant = random.IntN(shared.Variants)
		chain = append(chain, fmt.Sprintf("%x:%d", len(class.Name)<<24|layer<<16|variant, shared.Tokens))
		sharedTokens += shared.Tokens
	}
	ownTokens := class.OwnTokens/2 + random.IntN(max(1, class.OwnTokens))
	chain = append(chain, fmt.Sprintf("%x:%d", random.Uint32(), ownTokens))
	if class.Plain {
		chain = nil
	}
	req.tokens = fmt.Sprintf("%d,%d", sharedTokens+ownTokens, 1+class.MaxTokens/2+random.IntN(max(1, class.MaxTokens)))
	req.parts = strings.Join(chain, ",")
	req.body = []byte(`{"ask":"` + req.id + `","text":"` + strings.Repeat("menu ", max(0, class.BodyBytes-60)/5) + `"}`)
	return req
}

// header returns the headers that are the same in all attempts. The attempt ID and the deadline are
// not among them.
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

// digest returns the digest of the request.
func (r *request) digest() string {
	return digestOf(http.MethodPost, r.path, r.rule.Host, r.header(), r.body)
}

// silenceLimit returns the time without bytes after which the client gives up.
func (r *request) silenceLimit() time.Duration {
	if r.class.Plain {
		return r.class.Deadline
	}
	return max(2*time.Second, 4*r.class.Target, 8*r.class.TokenGap)
}

// timeLeft returns the time until the deadline of the request.
func (r *request) timeLeft() time.Duration { return r.class.Deadline - time.Since(r.began) }

// modelName is the model of all model servers.
const modelName = "m"

// digestOf returns a digest of the method, the path with the query, the host, the prompt headers
// and the body of a request. All attempts of a request have the same digest.
func digestOf(method, path, host string, header http.Header, body []byte) string {
	sum := fnv.New64a()
	for _, text := range []string{method, path, host, header.Get(headerModel), header.Get(headerTokens), header.Get(headerParts)} {
		_, _ = sum.Write([]byte(text))
		_, _ = sum.Write([]byte{0})
	}
	_, _ = sum.Write(body)
	return strconv.FormatUint(sum.Sum64(), 16)
}

// answerTokens returns the number of tokens in the answer to a request. It depends only on the
// digest and the maximum, so that all servers generate the same number.
func answerTokens(digest string, maxTokens int) int {
	number, _ := strconv.ParseUint(digest, 16, 64)
	return max(1, maxTokens-int(number%uint64(max(1, maxTokens*2/5))))
}
