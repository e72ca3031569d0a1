package model

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

// Duration is a time.Duration that is written in JSON as a string such as "1.5s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String formats d as time.Duration does.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON writes d as a string.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads a string with a unit; a bare number is an error because its unit is ambiguous.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return eris.Errorf("duration %s is not a string with a unit, such as \"5s\"", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return eris.Wrapf(err, "duration %q", text)
	}
	*d = Duration(parsed)
	return nil
}
