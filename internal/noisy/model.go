package noisy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Kind is a class of tasks that behave alike, such as those of one image.
type Kind string

const (
	// priorDeviation is the standard deviation of an effect about which nothing is known, in units of the logarithm of a rate.
	priorDeviation = 0.2
	// minEffect is the least slowdown that is worth a place elsewhere, as a logarithm: about a ninth of the rate.
	minEffect = 0.12
	// sureDeviations is how many standard deviations an effect must be from zero to be certain.
	sureDeviations = 4
	// maxSurprise is the number of standard deviations beyond which an observation counts the less the farther it is from what was
	// expected: a worker that hangs or slows down for a while says nothing about its tasks.
	maxSurprise = 3
	// minVariance keeps the model ready to learn that a new version of an image behaves in another way.
	minVariance = 0.0004
	// halfLife is the age at which half of what was learned is forgotten.
	halfLife = 15 * time.Minute
	maxKinds = 64 // the kinds that were seen least recently are forgotten
)

// Pair is a kind of tasks that is slowed down and the kind that does it.
type Pair struct {
	Victim    Kind
	Aggressor Kind
}

// effect is what is known of a pair.
type effect struct {
	mean      float64 // of the logarithm of the victim's rate beside the aggressor; negative for a slowdown
	variance  float64
	updatedAt time.Duration
	sure      bool // certain to slow the victim down, as of the last observation
}

// Model holds what is known of all pairs of kinds. The zero value knows nothing; it is not safe for concurrent use.
type Model struct {
	// OnChange is called when a pair becomes certain to interfere, or no longer is; slowdown is the factor on the victim's run time. It may
	// be nil.
	OnChange func(pair Pair, slowdown float64, certain bool)

	effects map[Pair]*effect
	seen    map[Kind]time.Duration // when a kind was last observed
	certain int                    // pairs that are certain to interfere
}

// Observation compares two spans of one run that differ in the neighbours of the run.
type Observation struct {
	Victim Kind
	// Joined and Left are the kinds that were beside the run only in the second span, or only in the first.
	Joined, Left []Kind
	// Change is the logarithm of the rate in the second span over that in the first, and Deviation its standard deviation.
	Change, Deviation float64
}

// Observe learns from an observation that was made at a time since any fixed moment.
func (m *Model) Observe(now time.Duration, o Observation) {
	if len(o.Joined)+len(o.Left) == 0 {
		return
	}
	m.note(o, now)
	expected, variance := 0.0, o.Deviation*o.Deviation
	for _, aggressor := range o.Joined {
		e := m.aged(Pair{o.Victim, aggressor}, now)
		expected += e.mean
		variance += e.variance
	}
	for _, aggressor := range o.Left {
		e := m.aged(Pair{o.Victim, aggressor}, now)
		expected -= e.mean
		variance += e.variance
	}
	surprise := o.Change - expected
	if excess := math.Abs(surprise) / (maxSurprise * math.Sqrt(variance)); excess > 1 {
		variance *= excess * excess
	}
	surprise /= variance
	for _, aggressor := range o.Joined {
		m.correct(Pair{o.Victim, aggressor}, surprise, variance)
	}
	for _, aggressor := range o.Left {
		m.correct(Pair{o.Victim, aggressor}, -surprise, variance)
	}
}

// aged returns the effect of a pair, after what was learned has drifted towards the prior.
func (m *Model) aged(pair Pair, now time.Duration) *effect {
	e := m.effects[pair]
	if e == nil {
		e = &effect{variance: priorDeviation * priorDeviation, updatedAt: now}
		m.effects[pair] = e
	}
	kept := math.Exp2(-max(now-e.updatedAt, 0).Seconds() / halfLife.Seconds())
	e.mean *= kept
	e.variance += (priorDeviation*priorDeviation - e.variance) * (1 - kept)
	e.updatedAt = now
	return e
}

// correct moves an effect by its part of a surprise, which is given over the variance of the observation.
func (m *Model) correct(pair Pair, surprise, variance float64) {
	e := m.effects[pair]
	e.mean += e.variance * surprise
	e.variance = max(e.variance-e.variance*e.variance/variance, minVariance)
	sure := e.mean <= -minEffect && e.mean+sureDeviations*math.Sqrt(e.variance) < 0
	if sure != e.sure {
		m.setSure(pair, e, sure)
	}
}

func (m *Model) setSure(pair Pair, e *effect, sure bool) {
	e.sure = sure
	if sure {
		m.certain++
	} else {
		m.certain--
	}
	if m.OnChange != nil {
		m.OnChange(pair, math.Exp(-e.mean), sure)
	}
}

// note records that kinds were observed, and forgets those that were seen least recently if there are too many.
func (m *Model) note(o Observation, now time.Duration) {
	if m.effects == nil {
		m.effects, m.seen = map[Pair]*effect{}, map[Kind]time.Duration{}
	}
	m.seen[o.Victim] = now
	for _, kind := range slices.Concat(o.Joined, o.Left) {
		m.seen[kind] = now
	}
	for len(m.seen) > maxKinds {
		oldest, found := m.oldest(o)
		if !found {
			return // One observation has more kinds than are remembered; the next one forgets them.
		}
		m.forget(oldest)
	}
}

// oldest returns the kind that was seen least recently and is not part of an observation, if there is one.
func (m *Model) oldest(o Observation) (oldest Kind, found bool) {
	var kinds []Kind
	for kind := range m.seen {
		if kind != o.Victim && !slices.Contains(o.Joined, kind) && !slices.Contains(o.Left, kind) {
			kinds = append(kinds, kind)
		}
	}
	if len(kinds) == 0 {
		return "", false
	}
	oldest = slices.MinFunc(kinds, func(a, b Kind) int {
		return cmp.Or(cmp.Compare(m.seen[a], m.seen[b]), cmp.Compare(a, b))
	})
	return oldest, true
}

func (m *Model) forget(kind Kind) {
	delete(m.seen, kind)
	for pair, e := range m.effects {
		if pair.Victim != kind && pair.Aggressor != kind {
			continue
		}
		if e.sure {
			m.setSure(pair, e, false)
		}
		delete(m.effects, pair)
	}
}

// Slowdown returns the factor on the run time of a victim beside an aggressor if the pair is certain to interfere, and 1 otherwise.
func (m *Model) Slowdown(pair Pair) float64 {
	if e := m.effects[pair]; e != nil && e.sure {
		return math.Exp(-e.mean)
	}
	return 1
}

// Certain returns the number of pairs that are certain to interfere.
func (m *Model) Certain() int { return m.certain }

// Penalty returns how much time a task of a kind and its neighbours lose together on a worker, as a multiple of one task's run time: 0 if
// nothing is certain. beside has the number of tasks there by kind.
func (m *Model) Penalty(kind Kind, beside map[Kind]int) float64 {
	if m.certain == 0 {
		return 0
	}
	lost := 0.0
	for neighbour, tasks := range beside {
		lost += m.Slowdown(Pair{kind, neighbour}) - 1
		lost += float64(tasks) * (m.Slowdown(Pair{neighbour, kind}) - 1)
	}
	return lost
}
