package capacity

import (
	"time"

	"github.com/google/uuid"

	"seamloom.example/seamloom/internal/formats"
	"seamloom.example/seamloom/internal/replication"
)

// fillClaims makes so many claims at one time.
func fillClaims(state *replication.State, made time.Time, count int) error {
	for range count {
		entry := formats.Entry{Inquiry: uuid.Must(uuid.NewV7()).String(), Courier: "courier-217", Cause: "0f8fad5b-d9cb-469f-a165-70867728950e", At: made}
		if err := replication.Claim(made, entry)(state, replication.Version{}, replication.Version{}); err != nil {
			return err
		}
	}
	return nil
}
