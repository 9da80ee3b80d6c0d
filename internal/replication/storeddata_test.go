package replication

import (
	"testing"

	"seamloom.example/seamloom/internal/failure"
)

// TestEarlierDataIsChosenOnlyForAnEmptyFolder checks which data a controller uses, for each state of
// its own folder and of the folders of earlier releases.
func TestEarlierDataIsChosenOnlyForAnEmptyFolder(t *testing.T) {
	empty, blank := StoredData{Folder: "own"}, StoredData{Folder: "own", Identity: "fresh"}
	joined := StoredData{Folder: "own", Identity: "a", Epoch: 3, Files: true}
	older := StoredData{Folder: "older", Identity: "b", Epoch: 2, Files: true}
	oldest := StoredData{Folder: "oldest", Damaged: true}
	for name, given := range map[string]struct {
		own     StoredData
		earlier []StoredData
		chosen  string
		code    failure.Code
	}{
		"nothing anywhere":                {own: empty, earlier: []StoredData{{Folder: "older"}}},
		"an empty folder":                 {own: empty, earlier: []StoredData{older}, chosen: "older"},
		"an identity that joined nothing": {own: blank, earlier: []StoredData{older}, chosen: "older"},
		"a witness without a replica":     {own: empty, earlier: []StoredData{{Folder: "older", Identity: "b", Epoch: 2}}, chosen: "older"},
		"damaged data":                    {own: empty, earlier: []StoredData{oldest}, chosen: "oldest"},
		"both hold data":                  {own: joined, earlier: []StoredData{older}, code: failure.Contradictory},
		"a replica without its witness": {
			own: StoredData{Folder: "own", Files: true}, earlier: []StoredData{older}, code: failure.Contradictory,
		},
		"two earlier folders": {own: empty, earlier: []StoredData{older, oldest}, code: failure.Contradictory},
	} {
		t.Run(name, func(t *testing.T) {
			chosen, found, err := ChooseEarlierData(given.own, given.earlier)
			if chosen.Folder != given.chosen || found != (given.chosen != "") {
				t.Errorf("got folder %q, found %t, want folder %q", chosen.Folder, found, given.chosen)
			}
			if (err != nil) != (given.code != "") || err != nil && failure.CodeOf(err) != given.code {
				t.Errorf("got error %v, want code %q", err, given.code)
			}
		})
	}
}
