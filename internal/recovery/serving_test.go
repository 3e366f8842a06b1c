package recovery

import (
	"testing"
	"testing/synctest"
	"time"
)

// Of most steps the first time counts, of settling the last: slots are taken over
// one after the other.
func TestStepsOfALife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := NewClock(time.Now())
		time.Sleep(time.Second)
		c.Mark(Ready)
		c.Mark(Settled)
		time.Sleep(2 * time.Second)
		c.Mark(Ready)
		c.Mark(Settled)
		if got := c.Seconds(); got[Ready] != 1 || got[Settled] != 3 || len(got) != 2 {
			t.Fatal(got)
		}
		var none *Clock
		none.Mark(Life)
		if len(none.Seconds()) != 0 {
			t.Fatal("a clock that is not there took notes")
		}
	})
}
