package capacity

import (
	"time"

	"github.com/google/uuid"

	"seamloom.example/seamloom/internal/larder"
	"seamloom.example/seamloom/internal/recipe"
)

// fillClaims makes so many claims at one time.
func fillClaims(state *larder.State, made time.Time, count int) error {
	for range count {
		entry := recipe.Entry{Inquiry: uuid.Must(uuid.NewV7()).String(), Courier: "courier-217", Cause: "0f8fad5b-d9cb-469f-a165-70867728950e", At: made}
		if err := larder.Claim(made, entry)(state, larder.Version{}, larder.Version{}); err != nil {
			return err
		}
	}
	return nil
}
