package wire_test

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"seamloom.example/seamloom/internal/backlog"
	"seamloom.example/seamloom/internal/codec"
	"seamloom.example/seamloom/internal/lease"
	"seamloom.example/seamloom/internal/replication"
	"seamloom.example/seamloom/internal/wire"
)

// goldenFolder holds messages between processes as release facc4d7 encoded them, with all fields set. A later
// release may add keys, but must not drop or rename a key or change its type.
const goldenFolder = "testdata/facc4d7"

// goldenMessages maps the names of the files to the types that this release decodes them into.
var goldenMessages = map[string]any{
	"backlog_request":        backlog.Request{},
	"backlog_response":       backlog.Response{},
	"batch":                  replication.Batch{},
	"claim_request":          wire.ClaimRequest{},
	"entry":                  codec.Entry{},
	"hello":                  replication.Hello{},
	"incarnation_response":   wire.IncarnationResponse{},
	"install_request":        wire.InstallRequest{},
	"leader_response":        wire.LeaderResponse{},
	"orders_request":         wire.OrdersRequest{},
	"record":                 codec.Record{},
	"record_order_all_flags": codec.Record{},
	"record_order_plain":     codec.Record{},
	"record_pair_all_flags":  codec.Record{},
	"record_pair_plain":      codec.Record{},
	"relay_request":          wire.RelayRequest{},
	"replicate_request":      wire.ReplicateRequest{},
	"role":                   lease.Role{},
	"snapshot":               replication.Snapshot{},
	"update_request":         wire.UpdateRequest{},
	"update_response":        wire.UpdateResponse{},
	"vote":                   replication.Vote{},
	"witness_request":        wire.WitnessRequest{},
}

// TestMessagesOfEarlierReleasesAreReadAndWritten decodes each message of the earlier release and encodes it
// again. Every key must be present again with its value. This shows that the current release reads the complete
// message, and that the earlier release can read messages of the current release.
func TestMessagesOfEarlierReleasesAreReadAndWritten(t *testing.T) {
	files, err := filepath.Glob(filepath.Join(goldenFolder, "*.msgpack"))
	if err != nil || len(files) != len(goldenMessages) {
		t.Fatalf("got %d files for %d messages, error %v", len(files), len(goldenMessages), err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".msgpack")
		t.Run(name, func(t *testing.T) {
			message, found := goldenMessages[name]
			if !found {
				t.Fatal("no type for this message")
			}
			sent, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			received := reflect.New(reflect.TypeOf(message))
			if err := msgpack.Unmarshal(sent, received.Interface()); err != nil {
				t.Fatal(err)
			}
			encoded, err := msgpack.Marshal(received.Elem().Interface())
			if err != nil {
				t.Fatal(err)
			}
			if missing := missingFrom(decodeAny(t, sent), decodeAny(t, encoded), name); missing != "" {
				t.Errorf("%s is missing or differs after decoding and encoding", missing)
			}
		})
	}
}

func decodeAny(t *testing.T, encoded []byte) any {
	t.Helper()
	decoder := msgpack.NewDecoder(bytes.NewReader(encoded))
	decoder.SetMapDecoder(func(decoder *msgpack.Decoder) (any, error) { return decoder.DecodeUntypedMap() })
	value, err := decoder.DecodeInterface()
	if err != nil {
		t.Fatal(err)
	}
	return value
}

// missingFrom returns the path of a value of earlier that is missing or different in later, or "" if there is
// none. Additional keys in later are allowed.
func missingFrom(earlier, later any, path string) string {
	fields, isMap := earlier.(map[any]any)
	if !isMap {
		if reflect.DeepEqual(earlier, later) {
			return ""
		}
		return missingElement(earlier, later, path)
	}
	others, isMap := later.(map[any]any)
	if !isMap {
		return path
	}
	for key, value := range fields {
		if missing := missingFrom(value, others[key], path+"/"+keyText(key)); missing != "" {
			return missing
		}
	}
	return ""
}

// missingElement compares the elements of two lists with missingFrom. It returns path if either value is not a
// list or if later has fewer elements.
func missingElement(earlier, later any, path string) string {
	elements, isList := earlier.([]any)
	others, alsoList := later.([]any)
	if !isList || !alsoList || len(elements) > len(others) {
		return path
	}
	for i := range elements {
		if missing := missingFrom(elements[i], others[i], path); missing != "" {
			return missing
		}
	}
	return ""
}

func keyText(key any) string {
	if text, isText := key.(string); isText {
		return text
	}
	return "?"
}
