package integration

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"robinstack/internal/cloud"
	"robinstack/internal/job"
	"robinstack/internal/statekv"
)

// Users ask all controllers every few milliseconds, and submit again, right after a job was
// accepted, ended or told as cancelled; some cancel at once. Whatever state one of them is
// in, none answers anything older.
func TestCloseLooks(t *testing.T) {
	for name, one := range map[string]func(w *world){
		"all are well":              func(*world) {},
		"one's watches lag":         func(w *world) { w.port("host-1").SetWatchLag(1500 * time.Millisecond) },
		"one is answered slowly":    func(w *world) { w.port("host-1").SetFaults(700*time.Millisecond, 0) },
		"one is refused":            func(w *world) { w.port("host-1").SetRefuseAll(true) },
		"one joins again and again": func(w *world) { go w.rejoin("host-1") },
		"one has answers lost":      func(w *world) { w.port("host-1").SetLoseAnswersOnly(true); w.port("host-1").SetFaults(0, 0.5) },
		"one does not reach peers":  func(w *world) { w.notSteward("host-1"); w.hub.set("host-1", true) },
		"one has late transactions": func(w *world) { w.port("host-1").SetFaults(0, 0.5) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			story(t, 41, func(w *world) {
				w.running("host-0", "a", job.Array) // machines are up
				one(w)
				var accepted, ended, cancelled looks
				var jobs sync.WaitGroup
				for k := range 9 {
					jobs.Go(func() {
						s := array(w.id(), 1+k%2)
						if !w.submit(w.hosts[k%3], s, 4*time.Second) {
							return
						}
						if k%3 == 1 { // cancelled at once
							if w.cancel(w.hosts[(k/3)%3], s.ID) {
								w.lookClosely(s, &cancelled)
							}
							return
						}
						w.lookClosely(s, &accepted)
						if k%3 == 2 {
							if w.cancel(w.hosts[(k+1)%3], s.ID) {
								w.lookClosely(s, &cancelled)
							}
							return
						}
						for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
							asked := w.history.StampRequest()
							code, status := w.call(w.hosts[k%3], http.MethodGet, "/submissions/"+s.ID, nil, 2*time.Second)
							w.history.RecordResponse("query", s.ID, asked, code, status)
							if status == job.Done {
								w.lookClosely(s, &ended)
								return
							}
						}
					})
					time.Sleep(700 * time.Millisecond)
				}
				jobs.Wait()
				for what, l := range map[string]*looks{"accepted": &accepted, "ended": &ended, "cancelled": &cancelled} {
					w.t.Logf("%s: %v answers", what, l.answered)
					if l.at("host-0") < 30 || l.at("host-2") < 30 {
						w.t.Errorf("too few looks were answered right after jobs were %s: this shows little", what)
					}
				}
				w.check()
			})
		})
	}
}

// notSteward sees to it that a controller is not steward: one that peers do not reach hears of
// no demand and rents no machines, so that nothing would end.
func (w *world) notSteward(host string) {
	if w.holder(statekv.LeaderKey) == host {
		w.crash(host)
		w.until("another is steward", 20*time.Second, func() bool { return w.holder(statekv.LeaderKey) != host })
		w.start(host)
		time.Sleep(3 * time.Second)
	}
}

// rejoin has a controller end and begin a life again, for a while.
func (w *world) rejoin(host string) {
	for range 8 {
		w.crash(host)
		time.Sleep(150 * time.Millisecond)
		w.start(host)
		time.Sleep(900 * time.Millisecond)
	}
}

// A job was accepted, and now its type of machine is not offered any more, or a job that it
// names is long over: submitted once more, unchanged, it is known. It was refused with 422
// before anybody looked whether it is known, which is to forget it.
func TestKnownJobIsNotRefusedWhateverHasChanged(t *testing.T) {
	story(t, 42, func(w *world) {
		open, over := array(w.id(), 1), array(w.id(), 1)
		if !w.submit("host-0", open, time.Hour) || !w.submit("host-1", over, time.Second) {
			w.t.Fatal("not accepted")
		}
		w.until("one is done", time.Minute, func() bool { return w.history.TaskCompleted(job.TaskID(over.ID, 0)) })
		time.Sleep(5 * time.Second)
		w.fleet.SetMachineTypes([]cloud.MachineType{{Name: "tiny", CPUs: 0.5, GPUs: 0.5, MemoryGB: 0.5, CacheGB: 100, FetchGBPerS: 1, OnDemandPrice: 2, SpotPrice: 1, ProvisioningS: 5, Zones: zones}})
		var refusing []string
		w.until("one of the controllers refuses a new job of that kind", 2*time.Minute, func() bool {
			for _, h := range w.hosts {
				s := array(w.id(), 1)
				w.history.RecordInvalidSubmission(s)
				if code, _ := w.call(h, http.MethodPost, "/submissions", wireSpec(s), 5*time.Second); code == 422 && !slices.Contains(refusing, h) {
					refusing = append(refusing, h)
				}
			}
			return len(refusing) > 0
		})
		for _, h := range refusing {
			for _, s := range []job.Spec{open, over} {
				if !w.resubmit(h, s) {
					w.t.Errorf("%s, submitted again, is not known at %s", s.ID, h)
				}
			}
		}
		w.check()
	})
}

// Users repeat submissions of jobs that are known. That changes nothing, so it must not use
// up what the state service lets through: transactions whose conditions fail count too.
func TestRepeatedSubmissionsCostNoChanges(t *testing.T) {
	story(t, 43, func(w *world) {
		var jobs []job.Spec
		for range 4 {
			s := array(w.id(), 1)
			if !w.submit("", s, time.Hour) {
				w.t.Fatal("not accepted")
			}
			jobs = append(jobs, s)
		}
		if !w.cancel("host-0", jobs[0].ID) {
			w.t.Fatal("not cancelled")
		}
		time.Sleep(30 * time.Second)
		before := w.sent()
		time.Sleep(10 * time.Second)
		idle := w.sent() - before
		before = w.sent()
		for range 50 {
			for _, s := range jobs {
				for _, h := range w.hosts {
					if !w.resubmit(h, s) {
						w.t.Fatalf("%s is not known at %s", s.ID, h)
					}
				}
			}
			time.Sleep(200 * time.Millisecond)
		}
		if n := w.sent() - before; n > idle+20 {
			w.t.Errorf("600 repetitions sent %d changes, where %d are sent in as much time without", n, idle)
		}
		w.check()
	})
}

// sent counts the changes that controllers sent to the state service, carried out or not.
func (w *world) sent() (n int) {
	for _, h := range w.hosts {
		n += w.port(h).RequestedChanges()
	}
	return n
}

// A submission that lacks a field, has one of another kind, or can never run is refused at
// every controller, also by one that has just begun, and is never taken in.
func TestWhatCannotRunIsNeverAccepted(t *testing.T) {
	story(t, 44, func(w *world) {
		type bad struct {
			what string
			code int
			edit func(m map[string]any)
		}
		var all []bad
		for _, field := range []string{"id", "job_class", "owner", "shape", "rank", "pieces", "cpus", "gpus", "mem_gb", "bundle", "pull_gb", "one_zone", "spread", "loaners", "guess_s", "snapshot_every_s", "snapshot_s"} {
			all = append(all, bad{field + " is missing", 400, func(m map[string]any) { delete(m, field) }},
				bad{field + " is null", 400, func(m map[string]any) { m[field] = nil }},
				bad{field + " is a list", 400, func(m map[string]any) { m[field] = []int{1} }})
		}
		for _, field := range []string{"pieces", "cpus", "gpus", "mem_gb", "pull_gb", "guess_s", "snapshot_every_s", "snapshot_s", "due_s"} {
			all = append(all, bad{field + " is negative", 400, func(m map[string]any) { m[field] = -1 }}, bad{field + " is a word", 400, func(m map[string]any) { m[field] = "one" }},
				bad{field + " is out of range", 400, func(m map[string]any) { m[field] = 1e300 }})
		}
		for _, field := range []string{"one_zone", "spread", "loaners"} {
			all = append(all, bad{field + " is a number", 400, func(m map[string]any) { m[field] = 1 }})
		}
		set := func(field string, v any) func(m map[string]any) { return func(m map[string]any) { m[field] = v } }
		all = append(all, bad{"half a task", 400, set("pieces", 1.5)}, bad{"no task", 400, set("pieces", 0)}, bad{"too many tasks", 400, set("pieces", 100_001)},
			bad{"a rank that is none", 400, set("rank", "urgent")}, bad{"a shape that is none", 400, set("shape", "round")}, bad{"a form of id that is none", 400, set("id", "job-1")},
			bad{"host_kinds is a word", 400, set("host_kinds", "box")}, bad{"site is a number", 400, set("site", 1)}, bad{"waits_on is a word", 400, set("waits_on", "wk-1")},
			bad{"an unknown team", 422, set("owner", "nobody")}, bad{"an unknown type", 422, set("host_kinds", []string{"g9"})}, bad{"no type", 422, set("host_kinds", []string{})},
			bad{"an unknown zone", 422, set("site", "z")}, bad{"too large", 422, set("gpus", 3)}, bad{"over the limit", 422, func(m map[string]any) { m["owner"], m["shape"], m["pieces"] = "full", job.Gang, 7 }},
			bad{"waits for none", 422, set("waits_on", []string{"wk-999999"})}, bad{"waits for itself", 422, func(m map[string]any) { m["waits_on"] = []any{m["id"]} }})
		send := func(host string, b bad) {
			s := array(w.id(), 1)
			w.history.RecordInvalidSubmission(s)
			m := wireSpec(s).(map[string]any)
			b.edit(m)
			asked := w.history.StampRequest()
			code, status := w.call(host, http.MethodPost, "/submissions", m, 5*time.Second)
			w.history.RecordResponse("submit", s.ID, asked, code, status)
			if code != b.code && code != 503 {
				w.t.Errorf("%s at %s: %d", b.what, host, code)
			}
			if code == 503 && host != "host-1" {
				w.t.Errorf("%s at %s, which is well, is put off", b.what, host)
			}
			if b.code == 422 || b.what[:2] != "id" {
				if w.ask1("host-0", s.ID); w.rev(job.RecordKey(s.ID)) > 0 {
					w.t.Errorf("%s was taken in", b.what)
				}
			}
		}
		time.Sleep(2 * time.Minute) // jobs that wait for others are taken
		for k, b := range all {
			if k%10 == 0 {
				w.crash("host-1")
				w.start("host-1")
			}
			for _, h := range w.hosts {
				send(h, b)
			}
		}
		s := array(w.id(), 1)
		if !w.submit("", s, time.Second) {
			w.t.Fatal("one that is well is not accepted")
		}
		time.Sleep(20 * time.Second)
		w.history.CheckFinalState()
		w.check()
	})
}

// Controllers begin while nobody knows the machine types: what is malformed is refused, and
// nothing else is decided, neither refused for good nor taken in. A known job is known.
func TestNothingIsDecidedWhileMachineTypesAreUnknown(t *testing.T) {
	story(t, 45, func(w *world) {
		known := array(w.id(), 1)
		if !w.submit("host-0", known, time.Hour) {
			w.t.Fatal("not accepted")
		}
		w.until("types are kept", time.Minute, func() bool { return w.rev(statekv.MachineTypesKey) > 0 })
		w.end(w.hosts, never)
		w.fleet.SetMachineTypes(nil)
		if _, err := w.state.Txn(w.ctx, nil, []statekv.Op{{Delete: statekv.MachineTypesKey}}); err != nil {
			w.t.Fatal(err)
		}
		for _, h := range w.hosts {
			w.start(h)
		}
		time.Sleep(10 * time.Second)
		for _, h := range w.hosts {
			good, unfit := array(w.id(), 1), array(w.id(), 1)
			unfit.GPUs = 100
			for _, s := range []job.Spec{good, unfit} {
				w.history.RecordSubmission(s)
				if code, _ := w.call(h, http.MethodPost, "/submissions", wireSpec(s), 5*time.Second); code != 503 {
					w.t.Errorf("%s at %s: %d", s.ID, h, code)
				}
				if w.rev(job.RecordKey(s.ID)) > 0 {
					w.t.Errorf("%s was taken in", s.ID)
				}
			}
			m := wireSpec(good).(map[string]any)
			delete(m, "cpus")
			if code, _ := w.call(h, http.MethodPost, "/submissions", m, 5*time.Second); code != 400 {
				w.t.Errorf("one that lacks a field at %s: %d", h, code)
			}
			asked := w.history.StampRequest()
			code, status := w.call(h, http.MethodPost, "/submissions", wireSpec(known), 5*time.Second)
			w.history.RecordResponse("submit", known.ID, asked, code, status)
			if code == 400 || code == 422 {
				w.t.Errorf("a known job, submitted again at %s: %d", h, code)
			}
			w.ask1(h, known.ID)
		}
		w.check()
	})
}
