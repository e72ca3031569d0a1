package quota

import "time"

// rateWindow is the time whose jobs a tenant may hand in at once.
const rateWindow = 5 * time.Second

// Rate tells which jobs of a tenant are beyond its rate. The zero value has seen no job.
type Rate struct {
	taken float64 // jobs within the rate that count against it at the last one
	at    time.Duration
}

// Exceeded counts a job that is handed in at a time, from any origin, and reports whether it is beyond a rate of so many jobs a second; 0
// is no limit.
func (r *Rate) Exceeded(at time.Duration, perSecond float64) bool {
	if perSecond <= 0 {
		return false
	}
	r.taken = max(0, r.taken-(at-r.at).Seconds()*perSecond)
	r.at = at
	if r.taken+1 > max(1, perSecond*rateWindow.Seconds()) {
		return true
	}
	r.taken++
	return false
}
