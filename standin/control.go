package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// listEntry is one service in the control listener's list.
type listEntry struct {
	machine
	URL string `json:"url"`
	// Faults is the path on the control listener that reaches the fault switches.
	Faults string `json:"faults,omitempty"`
}

// controlHandler serves the list of all services and passes /faults/<name> to the named fake.
func (f *fleet) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{$}", f.serveList)
	mux.HandleFunc("/faults/{name}", f.serveFaults)
	return mux
}

func (f *fleet) serveList(w http.ResponseWriter, _ *http.Request) {
	entries := make([]listEntry, 0, len(f.served))
	for _, s := range f.served {
		entry := listEntry{machine: s.machine, URL: "http://" + s.Address}
		if s.Kind != kindControl {
			entry.Faults = "/faults/" + s.Name
		}
		entries = append(entries, entry)
	}
	body, err := json.MarshalIndent(entries, "", "  ")
	if err != nil {
		http.Error(w, fmt.Sprintf("encoding list: %v", err), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(append(body, '\n')); err != nil {
		// The client has disconnected.
		return
	}
}

func (f *fleet) serveFaults(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	s, found := f.findService(name)
	if !found || s.Kind == kindControl {
		names := make([]string, 0, len(f.served))
		for _, s := range f.served[1:] {
			names = append(names, s.Name)
		}
		http.Error(w, fmt.Sprintf("%q is not served; names are %s", name, strings.Join(names, ", ")), http.StatusNotFound)
		return
	}
	// The clone shares the body, which only the fake reads.
	forwarded := r.Clone(r.Context())
	forwarded.URL.Path, forwarded.URL.RawPath = "/faults", ""
	s.handler.ServeHTTP(w, forwarded)
}
