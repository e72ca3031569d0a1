package intake

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"peridotgw.example/peridotgw/internal/kv"
	"peridotgw.example/peridotgw/internal/outage"
)

const (
	// lookTimeout bounds a read that shows whether the store answers before a change is sent to it.
	lookTimeout = 250 * time.Millisecond
	// waitStep is the time between two questions whether a change that waits may be sent.
	waitStep = 20 * time.Millisecond
)

// OutageError reports a change that was not sent, since the store does not serve this instance.
type OutageError struct {
	Cause outage.Cause
	Age   time.Duration // how long that has been so
}

// Error names the cause and the age.
func (e *OutageError) Error() string {
	return fmt.Sprintf("%s for %s", e.Cause, e.Age.Round(time.Millisecond))
}

// ObserveStore returns a store whose calls tell the service whether the store serves this instance. It is called before the service is
// used; all parts of the instance are to use the returned store.
func (s *Service) ObserveStore(store *kv.Store) *kv.Store {
	begin := func() func(error) {
		end := s.gate.Begin(time.Now())
		return func(err error) {
			end(time.Now(), storeResult(err))
			s.logTransition()
		}
	}
	return kv.Observed(store, begin, func(err error) {
		s.gate.Note(time.Now(), storeResult(err))
		s.logTransition()
	})
}

// storeResult returns what the error of a call shows about the store.
func storeResult(err error) outage.Result {
	var refused *kv.RefusedError
	var doubt *kv.InDoubtError
	switch {
	case errors.Is(err, context.Canceled):
		return outage.Abandoned
	case errors.As(err, &refused):
		return refusalResult(refused)
	case errors.As(err, &doubt):
		return outage.Unanswered
	}
	return outage.Served
}

// refusalResult tells a store that takes no calls from one that has answered what it thinks of a call, such as of a value that is too large.
func refusalResult(refused *kv.RefusedError) outage.Result {
	switch refused.Status {
	case 0, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return outage.Refused
	}
	return outage.Served
}

// logTransition logs that the store no longer serves this instance, or does so again.
func (s *Service) logTransition() {
	transition, changed := s.gate.Transition(time.Now())
	if !changed {
		return
	}
	if transition.Down {
		s.Log.Warn().Str("why", string(transition.Cause)).Dur("for", transition.Lasted).Msg("intake: the store does not serve this instance")
		return
	}
	s.Log.Info().Dur("after", transition.Lasted).Int("waiting", transition.Waiting).Msg("intake: the store serves this instance again")
}

// outageError returns why nothing is sent to the store now, or nil.
func (s *Service) outageError() error {
	cause, age := s.gate.Down(time.Now())
	if cause == "" {
		return nil
	}
	return &OutageError{Cause: cause, Age: age}
}

// refuse returns the refusal of a call, counts it by its reason, and chooses when its caller should return.
func (s *Service) refuse(call string, cause error) *RefusedError {
	refusal := &RefusedError{Cause: cause, RetryAfter: retryAfter}
	reason := "store"
	var out *OutageError
	switch {
	case errors.As(cause, &out):
		reason = string(out.Cause)
	case errors.Is(cause, errNoTime):
		reason = "no-time"
	}
	if s.outageError() != nil || out != nil {
		refusal.RetryAfter = s.gate.RetryAfter(time.Now(), rand.Float64())
	}
	if s.Refused != nil {
		s.Refused(call, reason)
	}
	return refusal
}

// relay makes one attempt to apply a change through another instance.
func (s *Service) relay(ctx context.Context, change Change) error {
	err := s.Relay(ctx, change)
	s.detour.Done(time.Now(), IsFinal(err))
	return err
}
