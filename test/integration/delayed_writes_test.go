package integration

import (
	"fmt"
	"testing"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
)

// New machines are up within two seconds and get work at once, while many transactions are
// delayed or their answers lost, and a role fails: a machine may have tasks although its claim
// was written late, or by a controller that is no more.
func TestFastBootsWithDelayedWrites(t *testing.T) {
	for _, answersOnly := range []bool{false, true} {
		for _, f := range failovers(roles) {
			t.Run(fmt.Sprint("answers alone are lost: ", answersOnly, ", ", f), func(t *testing.T) {
				t.Parallel()
				runScenarioWithBootTime(t, 63, 1, func(b *testbed) {
					b.setLoseAnswersOnly(answersOnly)
					b.setStateFaults(0, 0.5)
					var jobs []job.Spec
					for k := range 5 {
						s := arrayJob(b.nextJobID(), 3)
						if k%3 == 2 {
							s = withShape(job.Gang, s)
						}
						jobs = append(jobs, s)
						go b.submit("", s, 25*time.Second)
					}
					b.waitUntil("some run", 2*time.Minute, func() bool { return b.tasksOnMachines(jobs) >= 2 })
					up := 0
					b.cloud.ForEachMachine(func(string, *emulator.SimulatedMachine) { up++ })
					running := ""
					for _, s := range jobs {
						if running == "" && b.history.TasksOnMachines(s.ID) > 0 {
							running = s.ID
						}
					}
					sessions := b.sessionRevisions()
					restart := b.fail(f, running)
					for range 3 {
						go b.submit("", arrayJob(b.nextJobID(), 2), 10*time.Second)
					}
					time.Sleep(max(25*time.Second, f.downtime+15*time.Second)) // those that are back meet it too
					unanswered := 0
					for _, h := range b.hosts {
						unanswered += b.stateClient(h).UnansweredTxns()
					}
					if b.t.Logf("%d transactions got no answer", unanswered); unanswered < 5 {
						b.t.Error("writes hardly lagged: this shows little")
					}
					if f.downtime < downtimeBeyondLease && b.sessionRevisions() == sessions {
						b.t.Error("no session changed: this shows nothing")
					}
					if up == 0 {
						b.t.Error("no machine was up when the role failed: this shows nothing")
					}
					b.setStateFaults(0, 0)
					more := 0
					b.cloud.ForEachMachine(func(string, *emulator.SimulatedMachine) { more++ })
					b.t.Logf("%d machines when it ended, %d later", up, more)
					restart()
					b.history.RecordFaultsEnded()
					time.Sleep(5 * time.Minute)
					b.history.CheckFinalState()
					b.checkNoViolations()
				})
			})
		}
	}
}

// A machine is returned and its key removed; a claim of it that had no answer is carried out
// after that. What it makes is a key of a machine that is no more: it is found and removed,
// and nothing waits for it.
func TestDelayedClaimOfReturnedMachine(t *testing.T) {
	runScenarioWithBootTime(t, 64, 1, func(b *testbed) {
		b.setTxnDelay(25 * time.Second)
		s := arrayJob(b.nextJobID(), 2)
		go b.submit("", s, 5*time.Second)
		name := ""
		b.waitUntil("a machine is up", 30*time.Second, func() bool {
			b.cloud.ForEachMachine(func(n string, m *emulator.SimulatedMachine) {
				if name == "" && m.WorkerEpoch() > 0 {
					name = n
				}
			})
			return name != ""
		})
		// Its claim is delayed: all are, for a while.
		b.setStateFaults(0, 1)
		time.Sleep(8 * time.Second)
		b.setStateFaults(0, 0)
		_ = b.cloud.ScaleIn(b.ctx, []string{name})
		b.waitUntil("its key is there", 40*time.Second, func() bool { return b.keyRevision(statekv.MachinePrefix+name) > 0 })
		b.waitUntil("its key is removed", 2*time.Minute, func() bool { return b.keyRevision(statekv.MachinePrefix+name) == 0 })
		b.history.RecordFaultsEnded()
		time.Sleep(3 * time.Minute)
		b.history.CheckFinalState()
		b.checkNoViolations()
	})
}

// A machine is drained, returned and its key removed; then a second delayed claim brings the
// key back under an owner that knows the machine from its last entry: as draining. The leader
// tells that owner that the machine is gone, so that its key does not stay until the leader
// has forgotten the machine.
func TestSecondDelayedClaimOfDrainedMachine(t *testing.T) {
	runScenarioWithBootTime(t, 66, 1, func(b *testbed) {
		b.submit("", arrayJob(b.nextJobID(), 2), 5*time.Second)
		name, shardID := "", ""
		b.waitUntil("a machine is owned", 30*time.Second, func() bool {
			for _, kv := range b.state.ListAll(statekv.MachinePrefix) {
				name = kv.Key[len(statekv.MachinePrefix):]
			}
			return name != ""
		})
		record := *shard.ParseMachineRecord(b.state.ListAll(statekv.MachinePrefix + name)[0])
		b.waitUntil("its key is removed", 3*time.Minute, func() bool { return b.keyRevision(statekv.MachinePrefix+name) == 0 })
		leader := b.roleHolder(statekv.LeaderKey)
		for _, kv := range b.state.ListAll(statekv.MachineShardPrefix) {
			if h := b.roleHolder(kv.Key); h != leader && h != "" {
				shardID = kv.Key[len(statekv.MachineShardPrefix):]
			}
		}
		if shardID == "" {
			b.t.Fatal("no controller but the leader has a shard: this shows nothing")
		}
		record.Shard = shardID
		if _, err := b.state.Txn(b.ctx, []statekv.Compare{{Key: statekv.MachinePrefix + name}}, []statekv.Op{{Set: statekv.MachinePrefix + name, Value: record}}); err != nil {
			b.t.Fatal(err)
		}
		b.waitUntil("its key is removed again", time.Minute, func() bool { return b.keyRevision(statekv.MachinePrefix+name) == 0 })
		b.checkNoViolations()
	})
}

// A registration has no answer, the request that ends its lease is lost too, and it is carried
// out when the same host's next session goes on already. That session must not be replaced by
// a key that nobody renews: all its roles would be lost.
func TestDelayedRegistrationDoesNotReplaceNextSession(t *testing.T) {
	runScenario(t, 1, func(b *testbed) {
		b.crash("host-0")
		time.Sleep(6 * time.Second)
		b.stateClient("host-0").SetFaults(0, 1)
		b.stateClient("host-0").SetTxnDelay(3 * time.Second)
		b.stateClient("host-0").SetDropRevokes(true)
		b.start("host-0")
		time.Sleep(time.Second)
		b.stateClient("host-0").SetFaults(0, 0)
		b.waitUntil("the next session is registered", 10*time.Second, func() bool { return b.keyRevision(statekv.SessionPrefix+"host-0") > 0 })
		began := b.keyRevision(statekv.SessionPrefix + "host-0")
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			if now := b.keyRevision(statekv.SessionPrefix + "host-0"); now != began {
				b.t.Fatalf("its key went from revision %d to %d", began, now)
			}
		}
		b.checkNoViolations()
	})
}

// The machine types are written down without an answer, written again, and then the first
// copy is carried out: it must not bring back what was offered then.
func TestDelayedMachineTypesDoNotReplaceNewerOnes(t *testing.T) {
	runScenario(t, 2, func(b *testbed) {
		b.waitUntil("types are kept", time.Minute, func() bool { return b.keyRevision(statekv.MachineTypesKey) > 0 })
		b.setStateFaults(0, 1)
		b.setTxnDelay(30 * time.Second)
		if _, err := b.state.Txn(b.ctx, nil, []statekv.Op{{Delete: statekv.MachineTypesKey}}); err != nil {
			b.t.Fatal(err)
		}
		time.Sleep(23 * time.Second)
		b.setStateFaults(0, 0)
		b.waitUntil("they are written again", 30*time.Second, func() bool { return b.keyRevision(statekv.MachineTypesKey) > 0 })
		kept := b.keyRevision(statekv.MachineTypesKey)
		time.Sleep(time.Minute)
		if now := b.keyRevision(statekv.MachineTypesKey); now != kept {
			b.t.Errorf("the types went from revision %d to %d", kept, now)
		}
		b.checkNoViolations()
	})
}

// The leader ends, and the acquisition of its role has no answer and is carried out late:
// whoever then has the role by the key has to do its work. Nobody rented machines and granted
// quota for as long as that session went on.
func TestLeaderByDelayedAcquisitionDoesItsWork(t *testing.T) {
	runScenario(t, 3, func(b *testbed) {
		first := b.roleHolder(statekv.LeaderKey)
		b.setStateFaults(0, 1)
		b.setTxnDelay(3 * time.Second)
		b.crash(first)
		b.waitUntil("another has the role", 20*time.Second, func() bool {
			h := b.roleHolder(statekv.LeaderKey)
			return h != first && h != ""
		})
		b.setStateFaults(0, 0)
		b.start(first)
		time.Sleep(15 * time.Second)
		s := arrayJob(b.nextJobID(), 4) // more than one machine
		s.Team = "full"                 // which needs a quota grant
		if !b.submit("", s, 10*time.Second) {
			b.t.Fatal("not accepted")
		}
		time.Sleep(2 * time.Minute)
		b.history.CheckFinalState()
		b.checkNoViolations()
	})
}

// The transaction of a submission, or of a cancellation, gets no answer and is carried out
// late: its user is answered within a second all the same, and once.
func TestDelayedSubmissionAndCancellationAreAnsweredSoon(t *testing.T) {
	runScenario(t, 4, func(b *testbed) {
		s := arrayJob(b.nextJobID(), 1)
		b.history.RecordSubmission(s)
		b.cloud.SetRunTimes(s.ID, time.Hour, 0)
		time.Sleep(15 * time.Second) // nothing else is written
		for _, step := range []struct{ verb, method, path, status string }{
			{"submit", "POST", "/submissions", job.Queued},
			{"cancel", "POST", "/submissions/" + s.ID + "/abort", job.Cancelled},
		} {
			b.stateClient("host-1").SetTxnDelay(4 * time.Second)
			b.stateClient("host-1").DelayNextTxns(2)
			if step.verb == "cancel" {
				b.history.RecordCancelRequest(s.ID)
			}
			asked, sent := b.history.StampRequest(), time.Now()
			code, status := b.callAsUser("host-1", step.method, step.path, submissionOf(s), 5*time.Second)
			took := time.Since(sent)
			b.history.RecordResponse(step.verb, s.ID, asked, code, status)
			if code/100 != 2 || status != step.status || took > time.Second {
				b.t.Errorf("%s: %d %s after %v", step.verb, code, status, took)
			}
			time.Sleep(20 * time.Second)
		}
		b.checkNoViolations()
	})
}
