package budget

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	limit = 72.0 // what the controllers share
	takes = 80.0 // what the service takes, with bursts of a second's worth
	step  = 10 * time.Millisecond
)

// member is a controller of a story.
type member struct {
	host     string
	part     *Share
	bucket   *TokenBucket
	want     float64 // changes a second
	backlog  float64
	alive    bool      // by its key in the state service
	frozen   time.Time // until when it stands still
	cut      bool      // from the allocator
	reportAt time.Time
	made     int
	ended    time.Time // when its latest session ended
	begun    time.Time // when the latest began
}

// wasAlive reports whether a session of it went on at a time not long ago.
func (m *member) wasAlive(at time.Time) bool {
	if m.alive && !at.Before(m.begun) {
		return true
	}
	return at.Before(m.ended)
}

// message is a report on its way, or an answer.
type message struct {
	at, sent time.Time
	report   *DemandReport
	grant    *Grant
	to       *member
	part     *Share // of the process that sent the report
}

// world is a story of controllers, of which one at a time is the allocator's, and a service
// that refuses what is too much.
type world struct {
	t         *testing.T
	rng       *rand.Rand
	now       time.Time
	members   []*member
	allocator *Allocator
	epoch     uint64
	began     time.Time
	holder    int // -1: nobody
	messages  []message
	service   *TokenBucket
	refused   int
	worst     float64 // largest sum of rates
	age       time.Duration
	limit     float64 // that those who begin now are told
	most      float64 // that the sum may come to
}

func newWorld(t *testing.T, n int, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(1000, 0), holder: -1, limit: limit, most: limit}
	w.service = NewTokenBucket(takes, takes, w.now)
	for k := range n {
		w.members = append(w.members, &member{host: fmt.Sprintf("host-%d", k)})
	}
	for _, m := range w.members {
		w.start(m)
	}
	w.run(JoinDelay + time.Second)
	w.lead(0)
	return w
}

// start begins a controller's process and session.
func (w *world) start(m *member) {
	m.part, m.alive, m.backlog = NewShare(w.limit, len(w.members)), true, 0
	m.part.SetSessionStart(w.now)
	m.begun = w.now
	m.bucket = NewTokenBucket(0, m.part.Guaranteed(), w.now)
}

// lead makes a controller the allocator's, when the one before has ceased to be.
func (w *world) lead(k int) {
	w.epoch++
	w.holder, w.began = k, w.now
	var hosts []string
	for _, m := range w.members {
		hosts = append(hosts, m.host)
	}
	w.allocator = NewAllocator(w.epoch, w.limit, hosts)
}

func (w *world) stands(m *member) bool { return !m.alive || w.now.Before(m.frozen) }

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		w.deliver()
		sum := 0.0
		for k, m := range w.members {
			if w.stands(m) {
				continue
			}
			rate, until, base := m.part.Rate(w.now)
			m.bucket.SetRate(rate, until, base, w.now)
			sum += rate
			w.send(m)
			if !w.now.Before(m.reportAt) && w.holder >= 0 {
				w.report(k, m)
			}
		}
		if w.worst = max(w.worst, sum); sum > w.most+1e-9 {
			w.t.Fatalf("at %v the parts come to %.2f of %.0f", w.now.Sub(time.Unix(1000, 0)), sum, w.most)
		}
	}
}

// send makes changes of what a controller wants, one at a time.
func (w *world) send(m *member) {
	m.backlog = min(500, m.backlog+m.want*step.Seconds())
	for m.backlog >= 1 {
		if _, ok := m.bucket.Reserve(1, 0, w.now); !ok {
			return
		}
		m.backlog--
		m.made++
		if _, ok := w.service.Reserve(1, 0, w.now); !ok {
			w.refused++
		}
	}
}

func (w *world) report(k int, m *member) {
	r := m.part.Report(m.host, m.want+m.backlog, w.now)
	m.reportAt = w.now.Add(500 * time.Millisecond)
	if !r.Promises {
		m.reportAt = w.now.Add(200 * time.Millisecond)
	}
	if m.cut || w.members[w.holder].cut && k != w.holder {
		return
	}
	w.messages = append(w.messages, message{at: w.now.Add(w.delay()), sent: w.now, report: &r, to: m, part: m.part})
}

// delay is how long a message is on its way: some take seconds.
func (w *world) delay() time.Duration {
	if w.rng.IntN(20) == 0 {
		return time.Duration(w.rng.IntN(4000)) * time.Millisecond
	}
	return time.Duration(w.rng.IntN(30)) * time.Millisecond
}

func (w *world) deliver() {
	late := w.messages
	w.messages = nil
	for _, m := range late {
		switch {
		case m.at.After(w.now):
			w.messages = append(w.messages, m)
		case m.grant != nil:
			// An answer that comes after its caller has given up reaches nobody.
			if w.now.Sub(m.sent) <= LoanDuration && !w.stands(m.to) && m.to.part == m.part {
				m.to.part.ApplyGrant(*m.grant, m.sent)
			}
		case w.holder >= 0 && !w.stands(w.members[w.holder]):
			alive := map[string]bool{}
			for _, x := range w.members {
				alive[x.host] = x.wasAlive(w.now.Add(-w.age))
			}
			g := w.allocator.Allocate(*m.report, SessionView{Alive: alive, Age: w.age}, w.now.Sub(w.began))
			w.messages = append(w.messages, message{at: w.now.Add(w.delay()), sent: m.sent, grant: &g, to: m.to, part: m.part})
		}
	}
}

func (w *world) end() {
	w.t.Helper()
	if w.refused > 0 {
		w.t.Errorf("the service refused %d changes", w.refused)
	}
}

// rateOf is what a controller makes in a second over some time.
func (w *world) rateOf(m *member, d time.Duration) float64 {
	before := m.made
	w.run(d)
	return float64(m.made-before) / d.Seconds()
}

// What one controller needs and the others do not is lent to it within a second, and given
// back when they need it. Equal fixed parts left most of the limit idle with many
// controllers.
func TestWhatOthersDoNotNeedIsLent(t *testing.T) {
	w := newWorld(t, 16, 1)
	w.run(2 * time.Second)
	w.members[3].want = 100
	w.run(2 * time.Second)
	if got := w.rateOf(w.members[3], 5*time.Second); got < 0.45*limit {
		t.Errorf("one of sixteen makes %.1f changes a second of %.0f while the others need none", got, limit)
	}
	for _, m := range w.members {
		m.want = 100
	}
	w.run(2 * time.Second)
	sum := 0
	for _, m := range w.members {
		sum -= m.made
	}
	w.run(5 * time.Second)
	for _, m := range w.members {
		sum += m.made
	}
	if float64(sum)/5 < 0.9*limit {
		t.Errorf("all together make %.1f changes a second of %.0f", float64(sum)/5, limit)
	}
	w.end()
}

// Without an answer each controller has its own part, and neither more nor less: while it is
// cut from the allocator, while there is none, and while the allocator is a new one.
func TestWithoutAnAnswerPartsAreEqual(t *testing.T) {
	w := newWorld(t, 4, 2)
	for _, m := range w.members {
		m.want = 0
	}
	busy := w.members[1]
	busy.want = 100
	w.run(3 * time.Second)
	busy.cut = true
	w.run(PromiseDuration)
	if got := w.rateOf(busy, 4*time.Second); got < 0.95*limit/4 || got > 1.05*limit/4 {
		t.Errorf("cut off it makes %.1f changes a second, its part is %.1f", got, limit/4)
	}
	busy.cut = false
	w.run(2 * time.Second)
	if got := w.rateOf(busy, 2*time.Second); got < 1.5*limit/4 {
		t.Errorf("after the cut it makes %.1f changes a second", got)
	}
	w.lead(2)
	w.run(2 * time.Second)
	if got := w.rateOf(busy, 2*time.Second); got < 1.5*limit/4 {
		t.Errorf("under a new allocator it makes %.1f changes a second", got)
	}
	w.end()
}

// The part of a controller whose session is over is lent, and a new session of it takes it
// back without both using it.
func TestPartOfAnEndedSessionIsLentAndTakenBack(t *testing.T) {
	w := newWorld(t, 3, 3)
	for _, m := range w.members {
		m.want = 100
	}
	w.run(3 * time.Second)
	w.members[2].alive, w.members[2].ended = false, w.now
	w.run(2 * time.Second)
	if got := w.rateOf(w.members[0], 4*time.Second); got < 1.2*limit/3 {
		t.Errorf("with one of three gone another makes %.1f changes a second, its part is %.1f", got, limit/3)
	}
	w.start(w.members[2])
	w.run(JoinDelay + time.Second)
	if got := w.rateOf(w.members[2], 4*time.Second); got < 0.9*limit/3 {
		t.Errorf("back again it makes %.1f changes a second", got)
	}
	w.end()
}

// The sum of all parts is never above the limit, and the service refuses nothing, whatever
// happens: cuts, controllers that stand still with their clocks running on, sessions that
// end and begin, allocators that change, views that are old, messages that are late.
func TestSumOfPartsIsNeverAboveTheLimit(t *testing.T) {
	for seed := range uint64(60) {
		w := newWorld(t, 2+int(seed%15), seed)
		for range 120 {
			m := w.members[w.rng.IntN(len(w.members))]
			switch w.rng.IntN(9) {
			case 0:
				m.cut = !m.cut
			case 1:
				m.frozen = w.now.Add(time.Duration(w.rng.IntN(6000)) * time.Millisecond)
			case 2:
				if m.alive && m.host != w.members[max(0, w.holder)].host {
					m.alive, m.ended = false, w.now
				} else if !m.alive {
					w.start(m)
				}
			case 3:
				// One begins its role only when the one before certainly does not answer
				// any more.
				w.holder = -1
				w.run(time.Duration(w.rng.IntN(1500)) * time.Millisecond)
				for k, x := range w.members {
					if x.alive {
						w.lead(k)
					}
				}
			case 4:
				w.age = time.Duration(w.rng.IntN(3000)) * time.Millisecond
			default:
				m.want = float64(w.rng.IntN(3) * w.rng.IntN(60))
			}
			w.run(time.Duration(w.rng.IntN(1000)) * time.Millisecond)
		}
		w.end()
	}
}

// What would wait too long is refused and takes nothing; a loan that ends counts only up to
// its end.
func TestBucketWaits(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewTokenBucket(4, 4, now)
	if wait, ok := b.Reserve(4, 0, now); !ok || wait != 0 {
		t.Errorf("a full bucket: %v %v", wait, ok)
	}
	if _, ok := b.Reserve(5, time.Second, now); ok {
		t.Error("5 take longer than a second at 4 a second")
	}
	b.SetRate(20, now.Add(100*time.Millisecond), 4, now)
	wait, ok := b.Reserve(4, time.Second, now)
	if expected := 600 * time.Millisecond; !ok || (wait-expected).Abs() > time.Millisecond {
		t.Errorf("4 at 20 a second for 0.1 s and 4 a second then: %v %v", wait, ok)
	}
	if got := b.Backlog(now); got != 4 {
		t.Errorf("%v wait", got)
	}
}

// A session begins anew while the allocator's view still shows it as over, by a second or by
// more, and does not reach the allocator: what was lent of its part is given back first.
func TestNewSessionThatIsCutOffWaitsForLoansOfItsPart(t *testing.T) {
	for _, age := range []time.Duration{0, 900 * time.Millisecond, 4 * time.Second} {
		w := newWorld(t, 3, 4)
		for _, m := range w.members {
			m.want = 100
		}
		w.run(3 * time.Second)
		w.members[2].alive, w.members[2].ended = false, w.now
		w.run(5 * time.Second)
		w.age = age
		w.start(w.members[2])
		w.members[2].cut = true
		w.run(6 * time.Second)
		w.end()
	}
}

// A process begins anew at once after one that had promised to use little: what was lent of
// that is given back first.
func TestNewSessionKeepsThePromiseOfTheOneBefore(t *testing.T) {
	w := newWorld(t, 3, 5)
	w.members[0].want = 100
	w.run(4 * time.Second)
	for range 5 {
		w.start(w.members[2])
		w.members[2].want = 100
		w.run(1500 * time.Millisecond)
		w.members[2].want = 0
		w.run(3 * time.Second)
	}
	w.end()
}

// The limit is lowered: controllers begin anew with it one by one, under an allocator that
// knows of it or does not. The sum is within the former limit until all know, and within the
// new one from then on.
func TestLimitIsLoweredWhileControllersBeginAnew(t *testing.T) {
	for _, first := range []int{0, 4} { // the allocator's, or the last of the others
		w := newWorld(t, 5, 6)
		w.members[1].want, w.members[3].want = 100, 100
		w.run(3 * time.Second)
		w.limit = limit / 2
		for k := range w.members {
			m := w.members[(first+k)%len(w.members)]
			m.alive, m.ended = false, w.now
			if w.members[w.holder] == m {
				w.holder = -1
			}
			w.run(500 * time.Millisecond)
			w.start(m)
			w.run(time.Second)
			if w.holder < 0 {
				w.lead((first + k + 1) % len(w.members))
			}
			w.run(time.Second)
		}
		w.holder = -1
		w.run(time.Second)
		w.lead(2) // which knows the new limit
		w.run(LoanDuration + PromiseDuration)
		w.most = limit / 2
		if got := w.rateOf(w.members[1], 5*time.Second); got < limit/2/5 {
			t.Errorf("it makes %.1f changes a second, its part is %.1f", got, limit/2/5)
		}
		w.end()
	}
}

// Loans of the allocator before may still be in use when a new one begins.
func TestNewAllocatorLendsNothingAtFirst(t *testing.T) {
	a := NewAllocator(2, limit, []string{"host-0", "host-1"})
	sessions := SessionView{Alive: map[string]bool{"host-0": true}}
	busy := DemandReport{Host: "host-0", Need: 100}
	if g := a.Allocate(busy, sessions, 0); g.Loan != 0 {
		t.Errorf("it lends %v at once", g.Loan)
	}
	if g := a.Allocate(busy, sessions, LoanDuration+2*driftMargin); g.Loan != joiningPart*limit/2 {
		t.Errorf("it lends %v then", g.Loan)
	}
	if g := a.Allocate(DemandReport{Host: "host-9", Need: 100}, sessions, 2*LoanDuration); g.Loan != 0 {
		t.Errorf("it lends %v to one that it does not know", g.Loan)
	}
}
