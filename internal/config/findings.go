package config

import "seamloom.example/seamloom/internal/failure"

// Findings are all the failures that a check met, each with path and type.
type Findings struct {
	Troubles []*failure.Error `json:"failures"`
}

// MostFindings bounds how many failures one check reports.
const MostFindings = 100

// Error says how many failures there are, and the first.
func (f *Findings) Error() string {
	if len(f.Troubles) == 1 {
		return f.Troubles[0].Error()
	}
	return "several failures, the first: " + f.Troubles[0].Error()
}

func (f *Findings) add(kind failure.Code, path, detail string) {
	if len(f.Troubles) < MostFindings {
		f.Troubles = append(f.Troubles, failure.At(kind, path, detail))
	}
}
