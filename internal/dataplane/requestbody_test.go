package dataplane

import (
	"testing"
	"time"

	"seamloom.example/seamloom/internal/failure"
)

// FuzzReadRequest parses arbitrary bodies. ReadRequest must not panic, must return typed errors,
// and must not accept values out of range.
func FuzzReadRequest(fuzzing *testing.F) {
	for _, body := range []string{
		`{"id":"one","service":"chat","prompt":"a","pieces":3}`,
		`{"id":1}`,
		`[]`,
		``,
		`{"id":"one","service":"chat","pieces":-1}`,
		`{"id":"01a3185c-affe-7c59-b76c-8c48a0ebeefa","service":"chat","repeatable":false,"prefix_tokens":9,"prompt_tokens":2}`,
	} {
		fuzzing.Add([]byte(body))
	}
	fuzzing.Fuzz(func(t *testing.T, body []byte) {
		request, err := ReadRequest(time.Unix(1, 0), body)
		if err != nil {
			if request == nil && failure.CodeOf(err) == failure.Unclassified {
				t.Fatalf("body %q: got untyped error %v", body, err)
			}
			return
		}
		if request.ID == "" || request.Service == "" || request.Chunks < 1 ||
			request.PromptTokens < 0 || request.PrefixTokens < 0 || request.PrefixTokens > request.PromptTokens {
			t.Fatalf("body %q: got %+v, want an error", body, request)
		}
	})
}
