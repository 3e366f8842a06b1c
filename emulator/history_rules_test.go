package emulator

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"robinstack/internal/config"
	"robinstack/internal/job"
)

// plantedFault is what a controller could do wrong, and the rule that it breaks.
type plantedFault struct {
	name              string
	violation         string // that it contains; "": there must be none
	startsAfterCancel bool
	plant             func(h *History)
}

var (
	oneTaskJob   = job.Spec{ID: "wk-1", Team: "t", Shape: job.Array, Tasks: 1, Need: job.Resources{GPUs: 1}}
	dependentJob = job.Spec{
		ID: "wk-2", Team: "t", Shape: job.Array, Tasks: 3, Need: job.Resources{GPUs: 1}, WaitsOn: []string{"wk-1"},
	}
)

// respondTo records a response that comes right after its request.
func respondTo(h *History, kind, id string, code int, status string) {
	h.RecordResponse(kind, id, h.StampRequest(), code, status)
}

func accept(h *History, specs ...job.Spec) {
	for _, s := range specs {
		h.RecordSubmission(s)
		respondTo(h, "submit", s.ID, 201, job.Queued)
	}
}

func acknowledgeCancellation(h *History, id string) {
	h.RecordCancelRequest(id)
	respondTo(h, "cancel", id, 200, job.Cancelled)
}

func start(h *History, task, machine string) {
	h.RecordTaskStart(TaskStart{Task: task, Machine: machine, MachineType: "box", Zone: "a"})
}

func runToCompletion(h *History, task, machine string) {
	start(h, task, machine)
	h.RecordTaskCompletion(task)
	h.RecordTaskRemoval(task, machine)
}

func checkWaitingFor(h *History, seconds int, capacity bool) {
	for range seconds {
		h.CheckWaitingJobs(func(job.Spec, int) bool { return capacity })
		time.Sleep(time.Second)
	}
}

var plantedTaskFaults = []plantedFault{
	{name: "a task on two machines", violation: "ran_twice", plant: func(h *History) {
		accept(h, oneTaskJob)
		start(h, "wk-1/0", "m1")
		start(h, "wk-1/0", "m2")
	}},
	{name: "a start after completion", violation: "ran_twice at", plant: func(h *History) {
		accept(h, oneTaskJob)
		runToCompletion(h, "wk-1/0", "m1")
		start(h, "wk-1/0", "m2")
	}},
	{name: "a team beyond its quota", violation: "quota", plant: func(h *History) {
		s := dependentJob
		s.WaitsOn = nil
		accept(h, s)
		for _, task := range []string{"wk-2/0", "wk-2/1", "wk-2/2"} {
			start(h, task, "m1")
		}
	}},
	{name: "a spot machine that is not allowed", violation: "wrong_place", plant: func(h *History) {
		accept(h, oneTaskJob)
		h.RecordTaskStart(TaskStart{Task: "wk-1/0", Machine: "m1", MachineType: "box", Zone: "a", Spot: true})
	}},
	{name: "two zones for a job of one", violation: "wrong_place at", plant: func(h *History) {
		s := dependentJob
		s.WaitsOn, s.OneZone = nil, true
		accept(h, s)
		start(h, "wk-2/0", "m1")
		h.RecordTaskStart(TaskStart{Task: "wk-2/1", Machine: "m2", MachineType: "box", Zone: "b"})
	}},
	{name: "a cancelled task that stays on its machine", violation: "ran_cancelled", plant: func(h *History) {
		accept(h, oneTaskJob)
		start(h, "wk-1/0", "m1")
		acknowledgeCancellation(h, "wk-1")
		time.Sleep(61 * time.Second)
	}},
	{name: "a start long after a cancellation", violation: "ran_cancelled at", startsAfterCancel: true,
		plant: func(h *History) {
			accept(h, oneTaskJob)
			acknowledgeCancellation(h, "wk-1")
			time.Sleep(61 * time.Second)
			start(h, "wk-1/0", "m1")
			h.RecordTaskRemoval("wk-1/0", "m1")
		}},
	{name: "a cancelled task that completes on a machine that hung", violation: "ran_cancelled at", plant: func(h *History) {
		accept(h, oneTaskJob)
		start(h, "wk-1/0", "m1")
		acknowledgeCancellation(h, "wk-1")
		time.Sleep(61 * time.Second)
		h.RecordTaskCompletion("wk-1/0")
		h.RecordTaskRemoval("wk-1/0", "m1")
	}},
	{name: "a start before a dependency is done", violation: "too_early", plant: func(h *History) {
		accept(h, oneTaskJob, dependentJob)
		start(h, "wk-2/0", "m1")
	}},
	{name: "nothing runs", violation: "nothing_ran", plant: func(h *History) { h.CheckFinalState() }},
	{name: "no fault: a start soon after a cancellation is counted", startsAfterCancel: true, plant: func(h *History) {
		accept(h, oneTaskJob)
		acknowledgeCancellation(h, "wk-1")
		start(h, "wk-1/0", "m1")
		h.RecordTaskRemoval("wk-1/0", "m1")
	}},
}

var plantedResponseFaults = []plantedFault{
	{name: "no fault: a job is done", plant: func(h *History) {
		accept(h, oneTaskJob)
		runToCompletion(h, "wk-1/0", "m1")
		respondTo(h, "query", "wk-1", 200, job.Done)
		respondTo(h, "query", "wk-9", 404, "")
		h.CheckFinalState()
	}},
	{name: "an accepted job is unknown", violation: "forgotten", plant: func(h *History) {
		accept(h, oneTaskJob)
		respondTo(h, "query", "wk-1", 404, "")
	}},
	{name: "an accepted job is refused", violation: "forgotten at", plant: func(h *History) {
		accept(h, oneTaskJob)
		respondTo(h, "submit", "wk-1", 422, "")
	}},
	{name: "no answer for long after the faults", violation: "forgotten at", plant: func(h *History) {
		accept(h, oneTaskJob)
		h.RecordFaultsEnded()
		time.Sleep(76 * time.Second)
		respondTo(h, "query", "wk-1", 200, job.Queued)
	}},
	{name: "a job that nobody submitted", violation: "invented", plant: func(h *History) {
		respondTo(h, "query", "wk-9", 200, job.Queued)
	}},
	{name: "done before its tasks are", violation: "not_done", plant: func(h *History) {
		accept(h, oneTaskJob)
		respondTo(h, "query", "wk-1", 200, job.Done)
	}},
	{name: "running after done", violation: "went_back", plant: func(h *History) {
		accept(h, oneTaskJob)
		runToCompletion(h, "wk-1/0", "m1")
		respondTo(h, "query", "wk-1", 200, job.Done)
		time.Sleep(time.Second)
		respondTo(h, "query", "wk-1", 200, job.Running)
	}},
	{name: "queued after cancelled, in no time", violation: "went_back at", plant: func(h *History) {
		accept(h, oneTaskJob)
		acknowledgeCancellation(h, "wk-1")
		respondTo(h, "query", "wk-1", 200, job.Queued)
	}},
	{name: "cancelled by nobody", violation: "went_back at", plant: func(h *History) {
		accept(h, oneTaskJob)
		respondTo(h, "query", "wk-1", 200, job.Cancelled)
	}},
	{name: "no fault: a request that overlaps another", plant: func(h *History) {
		// Asked before the answer came: neither is the older one.
		h.RecordSubmission(oneTaskJob)
		early := h.StampRequest()
		respondTo(h, "submit", "wk-1", 201, job.Queued)
		h.RecordResponse("query", "wk-1", early, 404, "")
		h.RecordCancelRequest("wk-1")
		early = h.StampRequest()
		respondTo(h, "cancel", "wk-1", 200, job.Cancelled)
		h.RecordResponse("query", "wk-1", early, 200, job.Running)
	}},
	{name: "an invalid job is accepted", violation: "unfit", plant: func(h *History) {
		h.RecordInvalidSubmission(oneTaskJob)
		respondTo(h, "submit", "wk-1", 201, job.Queued)
	}},
	{name: "queued although a dependency is cancelled", violation: "orphaned", plant: func(h *History) {
		accept(h, oneTaskJob, dependentJob)
		acknowledgeCancellation(h, "wk-1")
		time.Sleep(61 * time.Second)
		respondTo(h, "query", "wk-2", 200, job.Queued)
	}},
}

var plantedWaitingFaults = []plantedFault{
	{name: "a job waits while there is capacity", violation: "waits", plant: func(h *History) {
		accept(h, oneTaskJob)
		h.RecordFaultsEnded()
		checkWaitingFor(h, 92, true)
	}},
	{name: "no fault: capacity with a break, and a team at its quota", plant: func(h *History) {
		s := oneTaskJob
		s.ID, s.Tasks, s.GPUs = "wk-3", 1, 2
		accept(h, oneTaskJob, s)
		h.RecordFaultsEnded()
		checkWaitingFor(h, 80, true)
		start(h, "wk-1/0", "m1")
		checkWaitingFor(h, 1, false)
		checkWaitingFor(h, 100, true)
	}},
	{name: "the largest job has not begun", violation: "largest", plant: func(h *History) {
		accept(h, oneTaskJob)
		h.RecordFaultsEnded()
		checkWaitingFor(h, 242, false)
	}},
}

// Every rule of the protocol has a fault planted that the history must find, and what is no
// fault finds nothing.
func TestHistoryFindsPlantedFaults(t *testing.T) {
	settings := &config.Settings{
		Workers: config.WorkerTiming{CancellationDeadline: 60 * time.Second},
		Teams:   map[string]config.Team{"t": {Name: "t", GPUQuota: 2}},
	}
	for _, fault := range slices.Concat(plantedTaskFaults, plantedResponseFaults, plantedWaitingFaults) {
		t.Run(fault.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := NewHistory(settings)
				fault.plant(h)
				found := strings.Join(h.Violations(), "; ")
				if fault.violation == "" && found != "" || !strings.Contains(found, fault.violation) {
					t.Errorf("found %q", found)
				}
				if n := h.StartsAfterCancel(); (n > 0) != fault.startsAfterCancel {
					t.Errorf("%d starts after a confirmed cancellation", n)
				}
			})
		})
	}
}
