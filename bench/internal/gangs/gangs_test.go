package gangs_test

import (
	"context"
	"testing"

	"peridotgw.example/peridotgw/bench/internal/gangs"
)

// Guards against results that report waste where there is none, or miss the accelerator time of partial starts.
func TestWaste(t *testing.T) {
	for _, undo := range []bool{false, true} {
		faultless, err := gangs.Run(context.Background(), gangs.FaultMix{Name: "none"}, 5, 1, undo)
		if err != nil {
			t.Fatal(err)
		}
		if faultless.Started != 5 || faultless.Partial != 0 || faultless.Wasted != 0 || faultless.Reserved != 0 {
			t.Errorf("undo %v, no faults: %+v, want 5 gangs started and nothing wasted", undo, faultless)
		}
	}
	undone, err := gangs.Run(context.Background(), gangs.FaultMix{Name: "refusals", Refuse: 0.5}, 5, 1, true)
	if err != nil {
		t.Fatal(err)
	}
	// A start ends before any member runs if the first answer is a refusal, so not every start is partial.
	if undone.Started != 0 || undone.Partial < 1 || undone.Wasted <= 0 {
		t.Errorf("start and undo with refusals: %+v, want partial starts with waste and no whole gang", undone)
	}
	reserved, err := gangs.Run(context.Background(), gangs.FaultMix{Name: "refusals", Refuse: 0.5}, 5, 1, false)
	if err != nil {
		t.Fatal(err)
	}
	if reserved.Started != 0 || reserved.Partial != 0 || reserved.Wasted != 0 || reserved.Reserved <= 0 {
		t.Errorf("reserve first with refusals: %+v, want no partial start and reservations in vain", reserved)
	}
}

// Guards against a dead worker that still applies calls in flight, which would hide the effect of deaths.
func TestDeaths(t *testing.T) {
	for _, undo := range []bool{false, true} {
		result, err := gangs.Run(context.Background(), gangs.FaultMix{Name: "deaths", Die: 1}, 20, 1, undo)
		if err != nil {
			t.Fatal(err)
		}
		if result.Started > 10 || result.Partial+result.Started > result.Gangs {
			t.Errorf("undo %v: %d of %d gangs started whole although a member of each died, want at most half", undo, result.Started, result.Gangs)
		}
	}
}
