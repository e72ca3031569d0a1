package lint

import (
	"slices"

	"peridotgw.example/peridotgw/model"
)

// Set checks a complete set of the project's own objects. problems are those for which a publication would refuse it.
func Set(set *model.Set, problems []model.Problem) []Finding {
	c := setCheck{set: set}
	for _, p := range problems {
		where := entry(string(p.Kind), p.Name)
		if p.Field != "" {
			where += " " + p.Field
		}
		c.add(LevelError, where, "%s", p.Message)
	}
	c.classes()
	c.guarantees()
	c.unused()
	return c.sorted()
}

// setCheck is one check of a set.
type setCheck struct {
	report
	set *model.Set
}

func (c *setCheck) classes() {
	for id, class := range c.set.JobClasses {
		where := entry(string(model.KindJobClass), string(id))
		c.allowedNowhere(where, class.DataCentres)
		if class.StopWithin > 0 && !class.Stoppable() {
			c.add(LevelNever, where, "stop-within: its jobs are never stopped, as they can be neither continued nor repeated")
		}
	}
	for id, class := range c.set.RequestClasses {
		c.allowedNowhere(entry(string(model.KindRequestClass), string(id)), class.DataCentres)
	}
}

// allowedNowhere reports a class that only data centres out of service may run.
func (c *setCheck) allowedNowhere(where string, allowed []model.DataCentreID) {
	inService := func(id model.DataCentreID) bool { return c.set.DataCentres[id].Service == model.ServiceIn }
	if len(allowed) > 0 && !slices.ContainsFunc(allowed, inService) {
		c.add(LevelNever, where, "data-centres: all of them are out of service")
	}
}

func (c *setCheck) guarantees() {
	for id, guarantee := range c.set.Guarantees {
		where := entry(string(model.KindGuarantee), string(id))
		if dataCentre, found := c.set.DataCentres[guarantee.DataCentre]; found && dataCentre.Service == model.ServiceOut {
			c.add(LevelNever, where, "data centre %q is out of service", guarantee.DataCentre)
		}
		if !c.mayUse(guarantee.Customer, guarantee.DataCentre) {
			c.add(LevelContradict, where, "no job class lets customer %q run jobs in data centre %q", guarantee.Customer, guarantee.DataCentre)
		}
	}
}

// mayUse reports whether a job class allows a customer in a data centre.
func (c *setCheck) mayUse(customer model.CustomerID, dataCentre model.DataCentreID) bool {
	for _, class := range c.set.JobClasses {
		if allows(class.Customers, customer) && allows(class.DataCentres, dataCentre) {
			return true
		}
	}
	return false
}

// allows reports whether a list has a name; an empty list has all.
func allows[K comparable](list []K, name K) bool {
	return len(list) == 0 || slices.Contains(list, name)
}

// unused reports customers and shapes that nothing lets anybody use.
func (c *setCheck) unused() {
	for id := range c.set.Customers {
		if !c.mayUseAny(id) {
			c.add(LevelNever, entry(string(model.KindCustomer), string(id)), "no class of jobs or requests allows it")
		}
	}
	for id, shape := range c.set.Shapes {
		fits := func(d model.DataCentre) bool { return model.Fits(shape, d) }
		if !c.anyDataCentre(fits) {
			c.add(LevelNever, entry(string(model.KindShape), string(id)), "fits no data centre, even with nothing running there")
		}
	}
	for id, customer := range c.set.Customers {
		c.quotaBelowShapes(id, customer)
	}
}

func (c *setCheck) anyDataCentre(holds func(model.DataCentre) bool) bool {
	for _, d := range c.set.DataCentres {
		if holds(d) {
			return true
		}
	}
	return false
}

func (c *setCheck) mayUseAny(id model.CustomerID) bool {
	for _, class := range c.set.JobClasses {
		if allows(class.Customers, id) {
			return true
		}
	}
	for _, class := range c.set.RequestClasses {
		if allows(class.Customers, id) {
			return true
		}
	}
	return false
}

// quotaBelowShapes reports a quota that is too small for any shape.
func (c *setCheck) quotaBelowShapes(id model.CustomerID, customer model.Customer) {
	if customer.QuotaAccelerators == 0 || len(c.set.Shapes) == 0 {
		return
	}
	smallest := model.Accelerators(0)
	for _, shape := range c.set.Shapes {
		if need := shape.Accelerators(); smallest == 0 || need < smallest {
			smallest = need
		}
	}
	if customer.QuotaAccelerators < smallest {
		c.add(LevelContradict, entry(string(model.KindCustomer), string(id)), "quota-accelerators: %d is less than the smallest shape needs, %d",
			customer.QuotaAccelerators, smallest)
	}
}
