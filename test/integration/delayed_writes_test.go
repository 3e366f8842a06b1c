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

// Guards against losing track of tasks on a machine whose claim was written late or by a crashed
// controller. New machines boot within two seconds and get tasks at once, while many transactions
// are delayed or their responses lost, and the holder of a role crashes.
func TestFastBootsWithDelayedWrites(t *testing.T) {
	for _, responsesOnly := range []bool{false, true} {
		for _, f := range failovers(roles) {
			t.Run(fmt.Sprint("applied without a response: ", responsesOnly, ", ", f), func(t *testing.T) {
				t.Parallel()
				runScenarioWithBootTime(t, 63, 1, func(b *testbed) {
					b.setLoseResponsesOnly(responsesOnly)
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
					b.waitUntil("two tasks are running", 2*time.Minute, func() bool {
						return b.tasksOnMachines(jobs) >= 2
					})
					machinesAtCrash := 0
					b.cloud.ForEachMachine(func(string, *emulator.SimulatedMachine) { machinesAtCrash++ })
					running := ""
					for _, s := range jobs {
						if running == "" && b.history.TasksOnMachines(s.ID) > 0 {
							running = s.ID
						}
					}
					sessions := b.sessionRevisionSum()
					restart := b.crashRole(f, running)
					for range 3 {
						go b.submit("", arrayJob(b.nextJobID(), 2), 10*time.Second)
					}
					// Waits long enough that restarted controllers meet the faults too.
					time.Sleep(max(25*time.Second, f.downtime+15*time.Second))
					unanswered := 0
					for _, h := range b.hosts {
						unanswered += b.stateClient(h).UnansweredTxns()
					}
					if b.t.Logf("%d transactions got no response", unanswered); unanswered < 5 {
						b.t.Error("scenario hardly exercised: want at least 5 transactions without a response")
					}
					if f.downtime < downtimeBeyondLease && b.sessionRevisionSum() == sessions {
						b.t.Error("scenario not exercised: no session changed")
					}
					if machinesAtCrash == 0 {
						b.t.Error("scenario not exercised: no machine was up when the holder of the role crashed")
					}
					b.setStateFaults(0, 0)
					machinesLater := 0
					b.cloud.ForEachMachine(func(string, *emulator.SimulatedMachine) { machinesLater++ })
					b.t.Logf("%d machines at the crash, %d later", machinesAtCrash, machinesLater)
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

// Guards against the key of a machine that no longer exists. A machine is deleted and its key
// removed; then a delayed claim of it, whose response was lost, is applied and creates the key
// again. The key must be found and removed, and nothing may wait for the machine.
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
		// All transactions are delayed for a while, the claim of this machine among them.
		b.setStateFaults(0, 1)
		time.Sleep(8 * time.Second)
		b.setStateFaults(0, 0)
		_ = b.cloud.ScaleIn(b.ctx, []string{name})
		b.waitUntil("the key of the machine exists", 40*time.Second, func() bool {
			return b.keyRevision(statekv.MachinePrefix+name) > 0
		})
		b.waitUntil("the key of the machine is removed", 2*time.Minute, func() bool {
			return b.keyRevision(statekv.MachinePrefix+name) == 0
		})
		b.history.RecordFaultsEnded()
		time.Sleep(3 * time.Minute)
		b.history.CheckFinalState()
		b.checkNoViolations()
	})
}

// A machine is drained and deleted and its key removed. Then a second delayed claim creates the key
// again. The owner of this key knows the machine as draining from its former entry. The leader must
// tell the owner that the machine no longer exists; otherwise the key would stay until the leader
// itself has forgotten the machine.
func TestSecondDelayedClaimOfDrainedMachine(t *testing.T) {
	runScenarioWithBootTime(t, 66, 1, func(b *testbed) {
		b.submit("", arrayJob(b.nextJobID(), 2), 5*time.Second)
		name, otherShard := "", ""
		b.waitUntil("a machine has an owner", 30*time.Second, func() bool {
			for _, kv := range b.state.ListAll(statekv.MachinePrefix) {
				name = kv.Key[len(statekv.MachinePrefix):]
			}
			return name != ""
		})
		record := *shard.ParseMachineRecord(b.state.ListAll(statekv.MachinePrefix + name)[0])
		b.waitUntil("the key of the machine is removed", 3*time.Minute, func() bool {
			return b.keyRevision(statekv.MachinePrefix+name) == 0
		})
		leader := b.roleHolder(statekv.LeaderKey)
		for _, kv := range b.state.ListAll(statekv.MachineShardPrefix) {
			if h := b.roleHolder(kv.Key); h != leader && h != "" {
				otherShard = kv.Key[len(statekv.MachineShardPrefix):]
			}
		}
		if otherShard == "" {
			b.t.Fatal("scenario not exercised: no controller except the leader owns a machine shard")
		}
		record.Shard = otherShard
		if _, err := b.state.Txn(
			b.ctx,
			[]statekv.Compare{{Key: statekv.MachinePrefix + name}},
			[]statekv.Op{{Set: statekv.MachinePrefix + name, Value: record}},
		); err != nil {
			b.t.Fatal(err)
		}
		b.waitUntil("the key of the machine is removed again", time.Minute, func() bool {
			return b.keyRevision(statekv.MachinePrefix+name) == 0
		})
		b.checkNoViolations()
	})
}

// The registration of a session gets no response, the revocation of its lease is lost too, and the
// registration is applied when the next session of the same host is already registered. It must not
// replace the key of the next session by one whose lease nobody renews: the host would lose all its
// roles.
func TestDelayedRegistrationDoesNotReplaceNextSession(t *testing.T) {
	runScenario(t, 1, func(b *testbed) {
		b.crash("host-0")
		time.Sleep(6 * time.Second)
		b.stateClient("host-0").SetLatencyAndTxnDelays(0, 1)
		b.stateClient("host-0").SetTxnDelay(3 * time.Second)
		b.stateClient("host-0").SetDropRevokes(true)
		b.start("host-0")
		time.Sleep(time.Second)
		b.stateClient("host-0").SetLatencyAndTxnDelays(0, 0)
		b.waitUntil("the next session is registered", 10*time.Second, func() bool {
			return b.keyRevision(statekv.SessionPrefix+"host-0") > 0
		})
		began := b.keyRevision(statekv.SessionPrefix + "host-0")
		for range 20 {
			time.Sleep(500 * time.Millisecond)
			if now := b.keyRevision(statekv.SessionPrefix + "host-0"); now != began {
				b.t.Fatalf("revision of the session key: got %d, want %d", now, began)
			}
		}
		b.checkNoViolations()
	})
}

// A write of the machine types gets no response and is repeated; then the first write is applied.
// It must not overwrite the newer machine types with older ones.
func TestDelayedMachineTypesDoNotOverwriteNewerOnes(t *testing.T) {
	runScenario(t, 2, func(b *testbed) {
		b.waitUntil("the machine types are stored", time.Minute, func() bool {
			return b.keyRevision(statekv.MachineTypesKey) > 0
		})
		b.setStateFaults(0, 1)
		b.setTxnDelay(30 * time.Second)
		if _, err := b.state.Txn(b.ctx, nil, []statekv.Op{{Delete: statekv.MachineTypesKey}}); err != nil {
			b.t.Fatal(err)
		}
		time.Sleep(23 * time.Second)
		b.setStateFaults(0, 0)
		b.waitUntil("the machine types are stored again", 30*time.Second, func() bool {
			return b.keyRevision(statekv.MachineTypesKey) > 0
		})
		kept := b.keyRevision(statekv.MachineTypesKey)
		time.Sleep(time.Minute)
		if now := b.keyRevision(statekv.MachineTypesKey); now != kept {
			b.t.Errorf("revision of the machine types: got %d, want %d", now, kept)
		}
		b.checkNoViolations()
	})
}

// The leader crashes, and the transaction by which its successor acquires the role gets no response
// and is applied late. The controller named by the leader key must then act as leader. Otherwise no
// machine is provisioned and no quota granted for as long as its session lives.
func TestLeaderElectedByDelayedTransactionActsAsLeader(t *testing.T) {
	runScenario(t, 3, func(b *testbed) {
		first := b.roleHolder(statekv.LeaderKey)
		b.setStateFaults(0, 1)
		b.setTxnDelay(3 * time.Second)
		b.crash(first)
		b.waitUntil("another controller is the leader", 20*time.Second, func() bool {
			h := b.roleHolder(statekv.LeaderKey)
			return h != first && h != ""
		})
		b.setStateFaults(0, 0)
		b.start(first)
		time.Sleep(15 * time.Second)
		s := arrayJob(b.nextJobID(), 4) // needs more than one machine
		s.Team = "full"                 // needs a quota grant
		if !b.submit("", s, 10*time.Second) {
			b.t.Fatal("the job was not accepted")
		}
		time.Sleep(2 * time.Minute)
		b.history.CheckFinalState()
		b.checkNoViolations()
	})
}

// The transaction of a submission or cancellation gets no response and is applied late. The user
// must nevertheless get the result within a second.
func TestDelayedSubmissionAndCancellationAreAnsweredWithinOneSecond(t *testing.T) {
	runScenario(t, 4, func(b *testbed) {
		s := arrayJob(b.nextJobID(), 1)
		b.history.RecordSubmission(s)
		b.cloud.SetRunTimes(s.ID, time.Hour, 0)
		time.Sleep(15 * time.Second) // until no other writes are in progress
		for _, step := range []struct{ verb, method, path, status string }{
			{"submit", "POST", "/submissions", job.Queued},
			{"cancel", "POST", "/submissions/" + s.ID + "/abort", job.Cancelled},
		} {
			b.stateClient("host-1").SetTxnDelay(4 * time.Second)
			b.stateClient("host-1").DelayNextTxns(2)
			if step.verb == "cancel" {
				b.history.RecordCancelRequest(s.ID)
			}
			requestedAt, sent := b.history.NextRequestTime(), time.Now()
			code, status := b.callAsUser("host-1", step.method, step.path, submissionOf(s), 5*time.Second)
			took := time.Since(sent)
			b.history.RecordResponse(step.verb, s.ID, requestedAt, code, status)
			if code/100 != 2 || status != step.status || took > time.Second {
				b.t.Errorf("%s: got code %d and status %q after %v, want success within 1s",
					step.verb, code, status, took)
			}
			time.Sleep(20 * time.Second)
		}
		b.checkNoViolations()
	})
}
