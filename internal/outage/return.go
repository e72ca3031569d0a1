package outage

import "time"

const (
	minReturn = time.Second
	maxReturn = 8 * time.Second
	// returnsPerSecond is how many refused callers are asked to return within one second. It is far below what an instance can take, as
	// the store is shared by all.
	returnsPerSecond = 20
	// refusedWindow is the time in which refused callers count as those who return together.
	refusedWindow = 2 * time.Second
)

// RetryAfter returns when a caller that is refused now should return. jitter is a random number from 0 to 1. An outage is expected to last
// as long again as it has; those who are refused together return over a time that grows with their number.
func (g *Gate) RetryAfter(now time.Time, jitter float64) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	age, _ := g.look(now)
	g.refused = append(g.refused, now)
	for now.Sub(g.refused[0]) > refusedWindow {
		g.refused = g.refused[1:]
	}
	expected := min(max(age, minReturn), maxReturn)
	spread := max(expected, time.Duration(len(g.refused))*time.Second/returnsPerSecond)
	return expected/2 + time.Duration(jitter*float64(spread))
}
