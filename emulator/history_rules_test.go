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

// ruleTest is a sequence of events and the rule that it violates.
type ruleTest struct {
	name              string
	violation         string // text that the violations must contain; "": there must be no violations
	startsAfterCancel bool
	run               func(h *History)
}

var (
	oneTaskJob   = job.Spec{ID: "wk-1", Team: "t", Shape: job.Array, Tasks: 1, Need: job.Resources{GPUs: 1}}
	dependentJob = job.Spec{
		ID: "wk-2", Team: "t", Shape: job.Array, Tasks: 3, Need: job.Resources{GPUs: 1}, WaitsOn: []string{"wk-1"},
	}
)

// recordResponse records a response that is received right after its request was sent.
func recordResponse(h *History, kind, id string, code int, status string) {
	h.RecordResponse(kind, id, h.NextRequestTime(), code, status)
}

func submitAccepted(h *History, specs ...job.Spec) {
	for _, s := range specs {
		h.RecordSubmission(s)
		recordResponse(h, "submit", s.ID, 201, job.Queued)
	}
}

func acknowledgeCancellation(h *History, id string) {
	h.RecordCancelRequest(id)
	recordResponse(h, "cancel", id, 200, job.Cancelled)
}

func startTask(h *History, task, machine string) {
	h.RecordTaskStart(TaskStart{Task: task, Machine: machine, MachineType: "box", Zone: "a"})
}

func runToCompletion(h *History, task, machine string) {
	startTask(h, task, machine)
	h.RecordTaskCompletion(task)
	h.RecordTaskRemoval(task, machine)
}

func checkWaitingJobsFor(h *History, seconds int, hasCapacity bool) {
	for range seconds {
		h.CheckWaitingJobs(func(job.Spec, int) bool { return hasCapacity })
		time.Sleep(time.Second)
	}
}

var taskRuleTests = []ruleTest{
	{name: "a task on two machines", violation: "ran_twice", run: func(h *History) {
		submitAccepted(h, oneTaskJob)
		startTask(h, "wk-1/0", "m1")
		startTask(h, "wk-1/0", "m2")
	}},
	{name: "a start after completion", violation: "ran_twice at", run: func(h *History) {
		submitAccepted(h, oneTaskJob)
		runToCompletion(h, "wk-1/0", "m1")
		startTask(h, "wk-1/0", "m2")
	}},
	{name: "a team that exceeds its quota", violation: "quota at", run: func(h *History) {
		s := dependentJob
		s.WaitsOn = nil
		submitAccepted(h, s)
		for _, task := range []string{"wk-2/0", "wk-2/1", "wk-2/2"} {
			startTask(h, task, "m1")
		}
	}},
	{name: "a spot machine that is not allowed", violation: "wrong_place", run: func(h *History) {
		submitAccepted(h, oneTaskJob)
		h.RecordTaskStart(TaskStart{Task: "wk-1/0", Machine: "m1", MachineType: "box", Zone: "a", Spot: true})
	}},
	{name: "two zones for a job with the one-zone constraint", violation: "wrong_place at", run: func(h *History) {
		s := dependentJob
		s.WaitsOn, s.OneZone = nil, true
		submitAccepted(h, s)
		startTask(h, "wk-2/0", "m1")
		h.RecordTaskStart(TaskStart{Task: "wk-2/1", Machine: "m2", MachineType: "box", Zone: "b"})
	}},
	{name: "a cancelled task that stays on its machine", violation: "ran_cancelled", run: func(h *History) {
		submitAccepted(h, oneTaskJob)
		startTask(h, "wk-1/0", "m1")
		acknowledgeCancellation(h, "wk-1")
		time.Sleep(61 * time.Second)
	}},
	{name: "a start long after a cancellation", violation: "ran_cancelled at", startsAfterCancel: true,
		run: func(h *History) {
			submitAccepted(h, oneTaskJob)
			acknowledgeCancellation(h, "wk-1")
			time.Sleep(61 * time.Second)
			startTask(h, "wk-1/0", "m1")
			h.RecordTaskRemoval("wk-1/0", "m1")
		}},
	{name: "a cancelled task that completes after a hang", violation: "ran_cancelled at", run: func(h *History) {
		submitAccepted(h, oneTaskJob)
		startTask(h, "wk-1/0", "m1")
		acknowledgeCancellation(h, "wk-1")
		time.Sleep(61 * time.Second)
		h.RecordTaskCompletion("wk-1/0")
		h.RecordTaskRemoval("wk-1/0", "m1")
	}},
	{name: "a start before a dependency has completed", violation: "too_early", run: func(h *History) {
		submitAccepted(h, oneTaskJob, dependentJob)
		startTask(h, "wk-2/0", "m1")
	}},
	{name: "nothing runs", violation: "nothing_ran", run: func(h *History) { h.CheckFinalState() }},
	{name: "permitted: a start soon after a cancellation", startsAfterCancel: true, run: func(h *History) {
		submitAccepted(h, oneTaskJob)
		acknowledgeCancellation(h, "wk-1")
		startTask(h, "wk-1/0", "m1")
		h.RecordTaskRemoval("wk-1/0", "m1")
	}},
}

var responseRuleTests = []ruleTest{
	{name: "permitted: a job is done", run: func(h *History) {
		submitAccepted(h, oneTaskJob)
		runToCompletion(h, "wk-1/0", "m1")
		recordResponse(h, "query", "wk-1", 200, job.Done)
		recordResponse(h, "query", "wk-9", 404, "")
		h.CheckFinalState()
	}},
	{name: "an accepted job is unknown", violation: "forgotten", run: func(h *History) {
		submitAccepted(h, oneTaskJob)
		recordResponse(h, "query", "wk-1", 404, "")
	}},
	{name: "an accepted job is rejected when submitted again", violation: "forgotten at", run: func(h *History) {
		submitAccepted(h, oneTaskJob)
		recordResponse(h, "submit", "wk-1", 422, "")
	}},
	{name: "no response for too long after the end of faults", violation: "forgotten at", run: func(h *History) {
		submitAccepted(h, oneTaskJob)
		h.RecordFaultsEnded()
		time.Sleep(76 * time.Second)
		recordResponse(h, "query", "wk-1", 200, job.Queued)
	}},
	{name: "a job that nobody submitted", violation: "invented", run: func(h *History) {
		recordResponse(h, "query", "wk-9", 200, job.Queued)
	}},
	{name: "done before its tasks have completed", violation: "not_done", run: func(h *History) {
		submitAccepted(h, oneTaskJob)
		recordResponse(h, "query", "wk-1", 200, job.Done)
	}},
	{name: "running after done", violation: "went_back", run: func(h *History) {
		submitAccepted(h, oneTaskJob)
		runToCompletion(h, "wk-1/0", "m1")
		recordResponse(h, "query", "wk-1", 200, job.Done)
		time.Sleep(time.Second)
		recordResponse(h, "query", "wk-1", 200, job.Running)
	}},
	{name: "queued after cancelled, at the same instant", violation: "went_back at", run: func(h *History) {
		submitAccepted(h, oneTaskJob)
		acknowledgeCancellation(h, "wk-1")
		recordResponse(h, "query", "wk-1", 200, job.Queued)
	}},
	{name: "cancelled without a request", violation: "went_back at", run: func(h *History) {
		submitAccepted(h, oneTaskJob)
		recordResponse(h, "query", "wk-1", 200, job.Cancelled)
	}},
	{name: "permitted: a request that overlaps another", run: func(h *History) {
		// The query is sent before the other response is received, so neither status is older.
		h.RecordSubmission(oneTaskJob)
		early := h.NextRequestTime()
		recordResponse(h, "submit", "wk-1", 201, job.Queued)
		h.RecordResponse("query", "wk-1", early, 404, "")
		h.RecordCancelRequest("wk-1")
		early = h.NextRequestTime()
		recordResponse(h, "cancel", "wk-1", 200, job.Cancelled)
		h.RecordResponse("query", "wk-1", early, 200, job.Running)
	}},
	{name: "an invalid job is accepted", violation: "unfit", run: func(h *History) {
		h.RecordInvalidSubmission(oneTaskJob)
		recordResponse(h, "submit", "wk-1", 201, job.Queued)
	}},
	{name: "queued although a dependency is cancelled", violation: "orphaned", run: func(h *History) {
		submitAccepted(h, oneTaskJob, dependentJob)
		acknowledgeCancellation(h, "wk-1")
		time.Sleep(61 * time.Second)
		recordResponse(h, "query", "wk-2", 200, job.Queued)
	}},
}

var waitingRuleTests = []ruleTest{
	{name: "a job waits while there is capacity", violation: "waits", run: func(h *History) {
		submitAccepted(h, oneTaskJob)
		h.RecordFaultsEnded()
		checkWaitingJobsFor(h, 92, true)
	}},
	{name: "permitted: waiting with interrupted capacity, or with the team at its quota", run: func(h *History) {
		s := oneTaskJob
		s.ID, s.Tasks, s.GPUs = "wk-3", 1, 2
		submitAccepted(h, oneTaskJob, s)
		h.RecordFaultsEnded()
		checkWaitingJobsFor(h, 80, true)
		startTask(h, "wk-1/0", "m1")
		checkWaitingJobsFor(h, 1, false)
		checkWaitingJobsFor(h, 100, true)
	}},
	{name: "the largest job has not started", violation: "largest at", run: func(h *History) {
		submitAccepted(h, oneTaskJob)
		h.RecordFaultsEnded()
		checkWaitingJobsFor(h, 242, false)
	}},
}

// The history must detect a violation of every rule of the protocol, and must report none for
// permitted behaviour.
func TestHistoryDetectsRuleViolations(t *testing.T) {
	settings := &config.Settings{
		Workers: config.WorkerTiming{CancellationDeadline: 60 * time.Second},
		Teams:   map[string]config.Team{"t": {Name: "t", GPUQuota: 2}},
	}
	for _, test := range slices.Concat(taskRuleTests, responseRuleTests, waitingRuleTests) {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := NewHistory(settings)
				test.run(h)
				violations := strings.Join(h.Violations(), "; ")
				if test.violation == "" && violations != "" || !strings.Contains(violations, test.violation) {
					t.Errorf("violations: got %q, want %q", violations, test.violation)
				}
				if n := h.StartsAfterCancel(); (n > 0) != test.startsAfterCancel {
					t.Errorf("starts after an acknowledged cancellation: got %d, want any: %v",
						n, test.startsAfterCancel)
				}
			})
		})
	}
}
