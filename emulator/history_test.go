package emulator

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/internal/config"
	"robinstack/internal/job"
)

// Every rule of the protocol has a fault planted that the history must find, and a day
// without any finds nothing.
func TestHistoryFindsPlantedFaults(t *testing.T) {
	settings := &config.Settings{Workers: config.WorkerTiming{CancellationDeadline: 60 * time.Second}, Teams: map[string]config.Team{"t": {Name: "t", GPUQuota: 2}}}
	one := job.Spec{ID: "wk-1", Team: "t", Shape: job.Array, Tasks: 1, Need: job.Need{GPUs: 1}}
	after := job.Spec{ID: "wk-2", Team: "t", Shape: job.Array, Tasks: 3, Need: job.Need{GPUs: 1}, WaitsOn: []string{"wk-1"}}
	told := func(h *History, verb, id string, code int, status string) {
		h.RecordResponse(verb, id, h.StampRequest(), code, status)
	}
	accept := func(h *History, specs ...job.Spec) {
		for _, s := range specs {
			h.RecordSubmission(s)
			told(h, "submit", s.ID, 201, job.Queued)
		}
	}
	complete := func(h *History) {
		h.RecordTaskStart("wk-1/0", "m1", "box", "a", false)
		h.RecordTaskCompletion("wk-1/0")
		h.RecordTaskRemoval("wk-1/0", "m1")
	}
	look := func(h *History, seconds int, room bool) {
		for range seconds {
			h.CheckWaitingJobs(func(job.Spec, int) bool { return room })
			time.Sleep(time.Second)
		}
	}
	for rule, plant := range map[string]func(h *History){
		"": func(h *History) {
			accept(h, one)
			complete(h)
			told(h, "query", "wk-1", 200, job.Done)
			told(h, "query", "wk-9", 404, "")
			h.CheckFinalState()
		},
		"ran_twice": func(h *History) {
			accept(h, one)
			h.RecordTaskStart("wk-1/0", "m1", "box", "a", false)
			h.RecordTaskStart("wk-1/0", "m2", "box", "a", false)
		},
		"ran_twice at": func(h *History) { accept(h, one); complete(h); h.RecordTaskStart("wk-1/0", "m2", "box", "a", false) },
		"quota": func(h *History) {
			s := after
			s.WaitsOn = nil
			accept(h, s)
			for _, task := range []string{"wk-2/0", "wk-2/1", "wk-2/2"} {
				h.RecordTaskStart(task, "m1", "box", "a", false)
			}
		},
		"wrong_place": func(h *History) { accept(h, one); h.RecordTaskStart("wk-1/0", "m1", "box", "a", true) },
		"wrong_place at": func(h *History) {
			s := after
			s.WaitsOn, s.OneZone = nil, true
			accept(h, s)
			h.RecordTaskStart("wk-2/0", "m1", "box", "a", false)
			h.RecordTaskStart("wk-2/1", "m2", "box", "b", false)
		},
		"ran_cancelled": func(h *History) {
			accept(h, one)
			h.RecordTaskStart("wk-1/0", "m1", "box", "a", false)
			h.RecordCancelRequest("wk-1")
			told(h, "cancel", "wk-1", 200, job.Cancelled)
			time.Sleep(61 * time.Second)
		},
		"ran_cancelled at": func(h *History) {
			accept(h, one)
			h.RecordCancelRequest("wk-1")
			told(h, "cancel", "wk-1", 200, job.Cancelled)
			time.Sleep(61 * time.Second)
			h.RecordTaskStart("wk-1/0", "m1", "box", "a", false)
			h.RecordTaskRemoval("wk-1/0", "m1")
		},
		"forgotten":    func(h *History) { accept(h, one); told(h, "query", "wk-1", 404, "") },
		"forgotten at": func(h *History) { accept(h, one); told(h, "submit", "wk-1", 422, "") },
		"forgotten at ": func(h *History) {
			accept(h, one)
			h.RecordFaultsEnded()
			time.Sleep(76 * time.Second)
			told(h, "query", "wk-1", 200, job.Queued)
		},
		"invented": func(h *History) { told(h, "query", "wk-9", 200, job.Queued) },
		"not_done": func(h *History) { accept(h, one); told(h, "query", "wk-1", 200, job.Done) },
		"went_back": func(h *History) {
			accept(h, one)
			complete(h)
			told(h, "query", "wk-1", 200, job.Done)
			time.Sleep(time.Second)
			told(h, "query", "wk-1", 200, job.Running)
		},
		"went_back at ": func(h *History) { // asked a moment after, in no time
			accept(h, one)
			h.RecordCancelRequest("wk-1")
			told(h, "cancel", "wk-1", 200, job.Cancelled)
			told(h, "query", "wk-1", 200, job.Queued)
		},
		" ": func(h *History) { // asked before the answer came: neither is the older one
			h.RecordSubmission(one)
			early := h.StampRequest()
			told(h, "submit", "wk-1", 201, job.Queued)
			h.RecordResponse("query", "wk-1", early, 404, "")
			h.RecordCancelRequest("wk-1")
			early = h.StampRequest()
			told(h, "cancel", "wk-1", 200, job.Cancelled)
			h.RecordResponse("query", "wk-1", early, 200, job.Running)
		},
		"unfit": func(h *History) {
			h.RecordInvalidSubmission(one)
			told(h, "submit", "wk-1", 201, job.Queued)
		},
		"ran_cancelled  at": func(h *History) { // its machine hung meanwhile
			accept(h, one)
			h.RecordTaskStart("wk-1/0", "m1", "box", "a", false)
			h.RecordCancelRequest("wk-1")
			told(h, "cancel", "wk-1", 200, job.Cancelled)
			time.Sleep(61 * time.Second)
			h.RecordTaskCompletion("wk-1/0")
			h.RecordTaskRemoval("wk-1/0", "m1")
		},
		"waits": func(h *History) {
			accept(h, one)
			h.RecordFaultsEnded()
			look(h, 92, true)
		},
		"  ": func(h *History) { // there is room, but not all the time, or its team is at its limit
			s := one
			s.ID, s.Tasks, s.Need.GPUs = "wk-3", 1, 2
			accept(h, one, s)
			h.RecordFaultsEnded()
			look(h, 80, true)
			h.RecordTaskStart("wk-1/0", "m1", "box", "a", false)
			look(h, 1, false)
			look(h, 100, true)
		},
		"   ": func(h *History) { // a start after it was told, and gone in time: it is counted
			accept(h, one)
			h.RecordCancelRequest("wk-1")
			told(h, "cancel", "wk-1", 200, job.Cancelled)
			h.RecordTaskStart("wk-1/0", "m1", "box", "a", false)
			h.RecordTaskRemoval("wk-1/0", "m1")
		},
		"largest": func(h *History) {
			accept(h, one)
			h.RecordFaultsEnded()
			look(h, 242, false)
		},
		"went_back at": func(h *History) { accept(h, one); told(h, "query", "wk-1", 200, job.Cancelled) },
		"too_early":    func(h *History) { accept(h, one, after); h.RecordTaskStart("wk-2/0", "m1", "box", "a", false) },
		"orphaned": func(h *History) {
			accept(h, one, after)
			h.RecordCancelRequest("wk-1")
			told(h, "cancel", "wk-1", 200, job.Cancelled)
			time.Sleep(61 * time.Second)
			told(h, "query", "wk-2", 200, job.Queued)
		},
		"nothing_ran": func(h *History) { h.CheckFinalState() },
	} {
		t.Run(rule, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := NewHistory(settings)
				plant(h)
				found := strings.Join(h.Violations(), "; ")
				name := strings.Join(strings.Fields(rule), " ")
				if name == "" && found != "" || !strings.Contains(found, name) {
					t.Errorf("found %q", found)
				}
				if n := h.StartsAfterCancel(); (n > 0) != (rule == "ran_cancelled at" || rule == "   ") {
					t.Errorf("%d starts after a confirmed cancellation", n)
				}
			})
		})
	}
}
