package lint_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"peridotgw.example/peridotgw/internal/lint"
	"peridotgw.example/peridotgw/internal/work"
	"peridotgw.example/peridotgw/model"
)

// validConfig returns a configuration without findings, of a fleet with 64 accelerators.
func validConfig() (*work.Config, lint.Fleet) {
	config := &work.Config{
		Version: 4, MaxBodyBytes: 1 << 18, Pools: []work.PoolName{"pool"},
		Queues: []work.Queue{
			{Name: "check", Host: "a.example", Prefix: "/check/", Pool: "pool", Terms: work.Terms{Priority: 0, MaxAttempts: 2, Stretch: 1.5}},
			{Name: "scan", Host: "a.example", Prefix: "/scan/", Pool: "pool", Terms: work.Terms{Priority: 1, MaxAttempts: 3, Latency: time.Second}},
		},
		Tenants: map[model.CustomerID]work.Tenant{
			"big":   {Name: "big", Keys: []string{"key-1", "key-2"}, Guaranteed: 32, Weight: 3, Cap: work.Resources{GPU: 48}},
			"small": {Name: "small", Keys: []string{"key-3"}},
		},
	}
	return config, lint.Fleet{Pools: map[work.PoolName]work.Resources{"pool": {CPU: 64000, Memory: 1000, GPU: 64}}}
}

// Guards against a fault that passes the check, and against findings on a configuration that is sound.
func TestConfigFindings(t *testing.T) {
	for name, row := range map[string]struct {
		change func(c *work.Config)
		level  lint.Level
		where  string
	}{
		"sound":                  {change: func(*work.Config) {}},
		"queue twice":            {func(c *work.Config) { c.Queues[1].Name = "check" }, lint.LevelError, `queue "check"`},
		"pool is not defined":    {func(c *work.Config) { c.Queues[1].Pool = "other" }, lint.LevelError, `queue "scan"`},
		"address taken":          {func(c *work.Config) { c.Queues[1].Prefix = "/check/" }, lint.LevelNever, `queue "scan"`},
		"prefix without a slash": {func(c *work.Config) { c.Queues[1].Prefix = "scan/" }, lint.LevelNever, `queue "scan"`},
		"host with a port":       {func(c *work.Config) { c.Queues[1].Host = "a.example:80" }, lint.LevelNever, `queue "scan"`},
		"no worker in the pool":  {func(c *work.Config) { c.Pools = append(c.Pools, "empty"); c.Queues[1].Pool = "empty" }, lint.LevelNever, `queue "scan"`},
		"no attempt":             {func(c *work.Config) { c.Queues[1].MaxAttempts = 0 }, lint.LevelContradict, `queue "scan"`},
		"target below the work":  {func(c *work.Config) { c.Queues[0].Stretch = 0.5 }, lint.LevelContradict, `queue "check"`},
		"body below the payload": {func(c *work.Config) { c.MaxBodyBytes = 100 }, lint.LevelContradict, "limits"},
		"no urgent queue":        {func(c *work.Config) { c.Queues[0].Priority = 2 }, lint.LevelNever, "tenants"},
		"shared key":             {tenant("small", func(t *work.Tenant) { t.Keys = []string{"key-1"} }), lint.LevelError, `tenant "small"`},
		"no key":                 {tenant("small", func(t *work.Tenant) { t.Keys = nil }), lint.LevelNever, `tenant "small"`},
		"negative weight":        {tenant("small", func(t *work.Tenant) { t.Weight = -1 }), lint.LevelError, `tenant "small"`},
		"guarantee above cap":    {tenant("big", func(t *work.Tenant) { t.Cap.GPU = 31 }), lint.LevelContradict, `tenant "big"`},
		"guarantees above fleet": {tenant("small", func(t *work.Tenant) { t.Guaranteed = 33 }), lint.LevelContradict, "tenants"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			config, fleet := validConfig()
			row.change(config)
			findings := lint.Config(config, nil, fleet)
			g.Expect(lint.Worst(findings)).To(Equal(row.level))
			if row.level != "" {
				g.Expect(findings).To(HaveLen(1))
				g.Expect(findings[0].Where).To(Equal(row.where))
			}
		})
	}
}

func tenant(name model.CustomerID, change func(*work.Tenant)) func(*work.Config) {
	return func(c *work.Config) {
		t := c.Tenants[name]
		change(&t)
		c.Tenants[name] = t
	}
}

// Guards against a change that the operator is not told, and against a secret in the output.
func TestConfigDifferences(t *testing.T) {
	g := NewWithT(t)
	inForce, fleet := validConfig()
	candidate, _ := validConfig()
	candidate.Version = 5
	candidate.Queues[1].Stretch = 2
	candidate.Queues = append(candidate.Queues, work.Queue{Name: "tally", Host: "a.example", Prefix: "/tally/", Pool: "pool", Terms: work.Terms{Priority: 2, MaxAttempts: 1, Stretch: 3}})
	delete(candidate.Tenants, "small")
	tenant("big", func(t *work.Tenant) { t.Cap.GPU, t.Keys = 0, []string{"key-1", "key-9"} })(candidate)
	var lines []string
	for _, f := range lint.Config(candidate, inForce, fleet) {
		lines = append(lines, f.String())
	}
	g.Expect(lines).To(ConsistOf(
		`difference: queue "scan": stretch: 2, in force 0`,
		`difference: queue "tally": is new`,
		`difference: tenant "small": is removed`,
		`difference: tenant "big": most accelerators: no limit, in force 48`,
		`difference: tenant "big": keys: 1 new, 1 withdrawn`,
	))
	candidate.Version = inForce.Version
	g.Expect(lint.Worst(lint.Config(candidate, inForce, fleet))).To(Equal(lint.LevelError), "instances ignore a version that is not newer")
}

// Guards against objects that a publication accepts although nobody can use them.
func TestSetFindings(t *testing.T) {
	sound := func() *model.Set {
		set := model.NewSet()
		set.DataCentres["library"] = model.DataCentre{Service: model.ServiceIn, Racks: []model.Rack{{Name: "r", Workers: 2, AcceleratorsPerWorker: 8}}}
		set.Customers["board"] = model.Customer{QuotaAccelerators: 8}
		set.Shapes["small"] = model.Shape{Tasks: 2, AcceleratorsPerTask: 2, Adjacency: model.AdjacencyRack}
		set.Guarantees["board-small"] = model.Guarantee{Customer: "board", Shape: "small", DataCentre: "library", Count: 1}
		set.JobClasses["tally"] = model.JobClass{Priority: model.PriorityNormal, Repeatable: true, StopWithin: model.Duration(time.Second)}
		return set
	}
	for name, row := range map[string]struct {
		change func(s *model.Set)
		level  lint.Level
		where  []string
	}{
		"sound": {change: func(*model.Set) {}},
		"data centre out of service": {func(s *model.Set) {
			s.DataCentres["library"] = model.DataCentre{Service: model.ServiceOut, Racks: s.DataCentres["library"].Racks}
			s.JobClasses["tally"] = model.JobClass{DataCentres: []model.DataCentreID{"library"}}
		}, lint.LevelNever, []string{`guarantee "board-small"`, `job-class "tally"`}},
		"class for others": {func(s *model.Set) {
			s.JobClasses["tally"] = model.JobClass{Customers: []model.CustomerID{"parks"}}
		}, lint.LevelNever, []string{`customer "board"`, `guarantee "board-small"`}},
		"stop time of jobs that never stop": {func(s *model.Set) {
			s.JobClasses["tally"] = model.JobClass{StopWithin: model.Duration(time.Second)}
		}, lint.LevelNever, []string{`job-class "tally"`}},
		"shape wider than each data centre": {func(s *model.Set) {
			s.Shapes["wide"] = model.Shape{Tasks: 512, AcceleratorsPerTask: 8, Adjacency: model.AdjacencyAny}
		}, lint.LevelNever, []string{`shape "wide"`}},
		"quota below each shape": {func(s *model.Set) {
			s.Customers["board"] = model.Customer{QuotaAccelerators: 3}
		}, lint.LevelContradict, []string{`customer "board"`}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			set := sound()
			row.change(set)
			findings := lint.Set(set, nil)
			g.Expect(lint.Worst(findings)).To(Equal(row.level))
			var where []string
			for _, f := range findings {
				where = append(where, f.Where)
			}
			g.Expect(where).To(Equal(row.where))
		})
	}
	problems := []model.Problem{{Kind: model.KindShape, Name: "small", Field: "tasks", Message: "0 is not positive"}}
	NewWithT(t).Expect(lint.Set(sound(), problems)).To(Equal([]lint.Finding{{Level: lint.LevelError, Where: `shape "small" tasks`, Message: "0 is not positive"}}))
}
