package config

import "seamloom.example/seamloom/internal/failure"

// Findings are all the failures that a check met, each with path and type.
type Findings struct {
	Troubles []*failure.Trouble `json:"failures"`
}

// MostFindings bounds how many failures one check reports.
const MostFindings = 100

// Error says how many failures there are, and the first.
func (findings *Findings) Error() string {
	if len(findings.Troubles) == 1 {
		return findings.Troubles[0].Error()
	}
	return "several failures, the first: " + findings.Troubles[0].Error()
}

func (findings *Findings) add(kind failure.Kind, path, detail string) {
	if len(findings.Troubles) < MostFindings {
		findings.Troubles = append(findings.Troubles, failure.At(kind, path, detail))
	}
}
