package main

import (
	_ "embed"
	"encoding/json"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"
)

//go:embed matrix.jsonc
var matrixSource []byte

// Row is one case of the matrix: a promise that is checked under a fault at a step.
type Row struct {
	ID        string `json:"id"`
	Promise   string `json:"promise"`
	Fault     string `json:"fault"`
	Step      string `json:"step"`
	Mechanism string `json:"mechanism"`
	// Specs reference the specs that run with the mechanism on, as "package/part of the spec's text".
	Specs []string `json:"specs,omitempty"`
	// Off references specs that switch the mechanism off and expect the check to report the violation.
	Off []string `json:"off,omitempty"`
	// NotRun is the reason why the row has no spec yet.
	NotRun string `json:"not-run,omitempty"`
}

// LoadMatrix decodes the rows in the order of the file; a duplicate id is an error.
func LoadMatrix(source []byte) ([]Row, error) {
	standard, err := hujson.Standardize(source)
	if err != nil {
		return nil, eris.Wrap(err, "reading the matrix")
	}
	var rows []Row
	if err := json.Unmarshal(standard, &rows); err != nil {
		return nil, eris.Wrap(err, "decoding the matrix")
	}
	seen := map[string]bool{}
	for _, row := range rows {
		if seen[row.ID] {
			return nil, eris.Errorf("duplicate row %q in the matrix", row.ID)
		}
		seen[row.ID] = true
	}
	return rows, nil
}
