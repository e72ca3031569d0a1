package main

import (
	"fmt"
	"regexp"

	"peridotgw.example/peridotgw/internal/jsonc"
	"peridotgw.example/peridotgw/model"
)

// Layout describes the platform to fake.
type Layout struct {
	// FirstPort is the first of consecutive ports: control, store, VM list, all workers, then all endpoints, in the order of the
	// file. 0 lets the kernel choose each port.
	FirstPort   int          `json:"first-port"`
	DataCentres []DataCentre `json:"data-centres"`
}

// DataCentre is one data centre with its racks and endpoints.
type DataCentre struct {
	Name  model.DataCentreID `json:"name"`
	Racks []Rack             `json:"racks"`
	// Endpoints is the number of endpoints, each with Slots slots.
	Endpoints int             `json:"endpoints"`
	Slots     model.SlotCount `json:"slots"`
}

// Rack is one rack of identical workers.
type Rack struct {
	Name         model.RackID       `json:"name"`
	Workers      int                `json:"workers"`
	Accelerators model.Accelerators `json:"accelerators"`
	Cores        int                `json:"cores"`
	MemoryMB     int                `json:"memory-mb"`
}

// maxMachines bounds a layout, because each machine needs a listener and file descriptors.
const maxMachines = 2000

// loadLayout reads and validates a layout file; without a path the layout is empty.
func loadLayout(path string) (*Layout, error) {
	layout := &Layout{}
	if path == "" {
		return layout, nil
	}
	document, err := jsonc.Open(path)
	if err != nil {
		return nil, err
	}
	document.Decode(layout)
	layout.validate(document)
	if err := document.Err(); err != nil {
		return nil, err
	}
	return layout, nil
}

// validate reports invalid values to document.
func (l *Layout) validate(document *jsonc.Document) {
	namePattern := regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,40}$`)
	seen := map[string]bool{}
	machines := 0
	checkName := func(field, value string) {
		switch {
		case !namePattern.MatchString(value):
			document.Report(field, "%q is not a name: use lower-case letters, digits and hyphens", value)
		case seen[value]:
			document.Report(field, "%q is given twice", value)
		}
		seen[value] = true
	}
	for i, dc := range l.DataCentres {
		field := fmt.Sprintf("data-centres[%d]", i)
		checkName(field+".name", string(dc.Name))
		requireAtLeast(document, field+".endpoints", dc.Endpoints, 0)
		if dc.Endpoints > 0 {
			requireAtLeast(document, field+".slots", int(dc.Slots), 1)
		}
		machines += dc.Endpoints
		for j, rack := range dc.Racks {
			field := fmt.Sprintf("%s.racks[%d]", field, j)
			checkName(field+".name", string(rack.Name))
			requireAtLeast(document, field+".workers", rack.Workers, 1)
			requireAtLeast(document, field+".accelerators", int(rack.Accelerators), 1)
			requireAtLeast(document, field+".cores", rack.Cores, 1)
			requireAtLeast(document, field+".memory-mb", rack.MemoryMB, 1)
			machines += rack.Workers
		}
	}
	if machines > maxMachines {
		document.Report("data-centres", "%d workers and endpoints are more than %d", machines, maxMachines)
	}
	if l.FirstPort < 0 || l.FirstPort+machines+3 > 65535 {
		document.Report("first-port", "%d leaves no room for %d ports", l.FirstPort, machines+3)
	}
}

// requireAtLeast reports a value below least, unless the field has been reported.
func requireAtLeast(document *jsonc.Document, field string, value, least int) {
	if value < least && !document.Reported(field) {
		document.Report(field, "%d is less than %d", value, least)
	}
}

// machines returns the workers and endpoints of the layout, without addresses.
func (l *Layout) machines() []machine {
	var all []machine
	for _, dc := range l.DataCentres {
		for _, rack := range dc.Racks {
			for i := range rack.Workers {
				all = append(all, machine{
					Name: fmt.Sprintf("%s-w%d", rack.Name, i+1), Kind: kindWorker, DataCentre: dc.Name, Rack: rack.Name,
					Accelerators: rack.Accelerators, Cores: rack.Cores, MemoryMB: rack.MemoryMB,
				})
			}
		}
	}
	for _, dc := range l.DataCentres {
		for i := range dc.Endpoints {
			all = append(all, machine{Name: fmt.Sprintf("%s-e%d", dc.Name, i+1), Kind: kindEndpoint, DataCentre: dc.Name, Slots: dc.Slots})
		}
	}
	return all
}
