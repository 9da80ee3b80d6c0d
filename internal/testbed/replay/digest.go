package replay

import (
	"hash/fnv"
	"net/http"
	"strconv"
)

// modelName is the model that the kit's servers run.
const modelName = "m"

// digestOf names what a request asks: its method, path, query, body and what it says of
// its prompt. Two tries of one request have the same.
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
