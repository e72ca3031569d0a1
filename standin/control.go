package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// listed is one line of the control listener's list.
type listed struct {
	machine
	URL string `json:"url"`
	// Faults is the path on the control listener that reaches the fault switches.
	Faults string `json:"faults,omitempty"`
}

// control serves the list of everything that is served, and passes /faults/<name> to the named fake.
func (f *fleet) control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{$}", f.list)
	mux.HandleFunc("/faults/{name}", f.faults)
	return mux
}

func (f *fleet) list(w http.ResponseWriter, _ *http.Request) {
	all := make([]listed, 0, len(f.served))
	for _, s := range f.served {
		line := listed{machine: s.machine, URL: "http://" + s.Address}
		if s.Kind != kindControl {
			line.Faults = "/faults/" + s.Name
		}
		all = append(all, line)
	}
	body, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		http.Error(w, fmt.Sprintf("encoding list: %v", err), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(append(body, '\n')); err != nil {
		// The client is gone; there is nobody to tell.
		return
	}
}

func (f *fleet) faults(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	s, found := f.find(name)
	if !found || s.Kind == kindControl {
		names := make([]string, 0, len(f.served))
		for _, s := range f.served[1:] {
			names = append(names, s.Name)
		}
		http.Error(w, fmt.Sprintf("%q is not served; names are %s", name, strings.Join(names, ", ")), http.StatusNotFound)
		return
	}
	// The body belongs to the same request, so a shallow copy with another path is enough.
	inner := r.Clone(r.Context())
	inner.URL.Path, inner.URL.RawPath = "/faults", ""
	s.handler.ServeHTTP(w, inner)
}
