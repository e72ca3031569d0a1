package work

import "time"

// Graph is the order of a job's steps. Each of its functions takes time that is linear in steps and conditions. It is immutable.
type Graph struct {
	steps []Step
	next  []int32 // the steps that wait for a step, those of one step after the other
	first []int32 // by step, where its part of next begins; one entry more than steps
}

// NewGraph returns the order of steps that Job.Check accepts.
func NewGraph(steps []Step) *Graph {
	g := &Graph{steps: steps, first: make([]int32, len(steps)+1)}
	for i := range steps {
		for _, before := range steps[i].After {
			g.first[before+1]++
		}
	}
	for i := range steps {
		g.first[i+1] += g.first[i]
	}
	g.next = make([]int32, g.first[len(steps)])
	filled := make([]int32, len(steps))
	for i := range steps {
		for _, before := range steps[i].After {
			g.next[g.first[before]+filled[before]] = int32(i) //nolint:gosec // A body has far fewer than 2^31 steps.
			filled[before]++
		}
	}
	return g
}

// Next returns the steps that wait for a step, each as often as it names that step.
func (g *Graph) Next(step int) []int32 { return g.next[g.first[step]:g.first[step+1]] }

// Chains returns for each step the duration of the longest chain of steps after it, for the duration of each step.
func (g *Graph) Chains(duration func(step int) time.Duration) []time.Duration {
	chains := make([]time.Duration, len(g.steps))
	for i := len(g.steps) - 1; i >= 0; i-- {
		with := chains[i] + duration(i)
		for _, before := range g.steps[i].After {
			chains[before] = max(chains[before], with)
		}
	}
	return chains
}
