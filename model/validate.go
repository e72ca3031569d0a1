package model

import "fmt"

// Problem is one reason why a set is refused.
type Problem struct {
	Kind    Kind   `json:"kind"`
	Name    string `json:"name"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// String names the object, the field and the message.
func (p Problem) String() string {
	if p.Field == "" {
		return fmt.Sprintf("%s %q: %s", p.Kind, p.Name, p.Message)
	}
	return fmt.Sprintf("%s %q: %s: %s", p.Kind, p.Name, p.Field, p.Message)
}
