package gateway

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"robinstack/internal/agentapi"
	"robinstack/internal/clusteragent"
	"robinstack/internal/job"
	"robinstack/internal/shard"
	"robinstack/internal/statekv"
	"robinstack/test/wireformat"
)

func TestWireForms(t *testing.T) {
	wireformat.CheckJSON[jobStatus](t, "job")
	wireformat.CheckJSON[Status](t, "status")
	var routes []string
	runWithGateway(t, func(fixture *gatewayFixture) {
		for _, route := range fixture.gateway.app.GetRoutes(true) {
			if route.Method != http.MethodHead {
				routes = append(routes, route.Method+" "+route.Path)
			}
		}
	})
	slices.Sort(routes)
	wireformat.CheckGolden(t, "routes", strings.Join(routes, "\n")+"\n")
}

// Responses to users and workers. Error texts are for people and may change.
func TestWireAnswers(t *testing.T) {
	const spec = `{"id":"wk-%d","job_class":"c","owner":%q,"shape":"sweep","rank":"normal","pieces":4,` +
		`"cpus":1,"gpus":0,"mem_gb":1,"bundle":"i","pull_gb":1,"host_kinds":["box"],"site":"a",` +
		`"one_zone":true,"spread":false,"loaners":true,` +
		`"guess_s":5,"snapshot_every_s":3,"snapshot_s":1,"due_s":9}`
	const report = `{"host":"vm-1","addr":"10.1.0.2:9000","host_kind":"box","site":"a","loaners":true,` +
		`"tenure":1,"serial":1,"baton":0,"recall_s":null,"pieces":[]}`
	var b strings.Builder
	runWithGateway(t, func(fixture *gatewayFixture) {
		components := fixture.components
		components.Agent = clusteragent.New(fixture.gateway.settings, fixture.state, components.Mirror, components.Session, nil, fixture.gateway.catalogue.Types)
		rev, err := fixture.state.Txn(fixture.ctx, nil, []statekv.Op{{Set: statekv.SessionPrefix + "host-1", Value: struct{}{}}})
		if err != nil {
			t.Fatal(err)
		}
		shardRecord := shard.Record{Holder: statekv.Holder{Host: "host-1", Incarnation: rev}}
		machine := shard.MachineRecord{Shard: "s", Address: "10.1.0.2:9000", Type: "box", Zone: "a", Spot: true}
		fixture.write(statekv.Op{Set: statekv.MachineShardPrefix + "s", Value: shardRecord},
			statekv.Op{Set: statekv.MachinePrefix + "vm-1", Value: machine})
		time.Sleep(time.Second)
		for _, request := range [][3]string{
			{"POST", "/submissions", fmt.Sprintf(spec, 1, "t")},
			{"POST", "/submissions", fmt.Sprintf(spec, 1, "t")},
			{"POST", "/submissions", fmt.Sprintf(spec, 2, "nobody")},
			{"POST", "/submissions", "{}"},
			{"GET", "/submissions/wk-1", ""},
			{"GET", "/submissions/wk-9", ""},
			{"POST", "/submissions/wk-1/abort", ""},
			{"POST", "/submissions/wk-9/abort", ""},
			{"GET", "/submissions/wk-1", ""},
			{"POST", "/v1/report", report},
			{"POST", "/v1/report", "{}"},
			{"GET", "/ready", ""},
		} {
			code, answer, _ := fixture.request(request[0], request[1], request[2])
			if _, ok := answer["error"]; ok {
				answer["error"] = "(a reason)"
			}
			fmt.Fprintf(&b, "%s\n  %d %s\n", strings.Join(request[:], " "), code, wireformat.IndentJSON(t, answer))
			if stored, err := fixture.state.Get(fixture.ctx, job.RecordKey("wk-1")); err == nil && code == http.StatusCreated {
				fmt.Fprintf(&b, "  stored %s\n", stored.Value)
			}
		}
	})
	wireformat.CheckGolden(t, "answers", b.String())
}

// Values on the status page: machine states and kinds of requests.
func TestWireStatusWords(t *testing.T) {
	var words []string
	for _, e := range []agentapi.MachineEntry{{}, {Settled: true}, {Settled: true, Silent: true}, {Settled: true, Notice: true},
		{Settled: true, Faulty: true}, {Settled: true, Draining: true}} {
		words = append(words, machineState(&e))
	}
	runWithGateway(t, func(fixture *gatewayFixture) {
		for _, request := range [][2]string{{"POST", "/v1/report"}, {"POST", "/submissions"},
			{"GET", "/submissions/wk-9"}, {"POST", "/submissions/wk-9/abort"}} {
			fixture.request(request[0], request[1], "{}")
		}
		var requests []string
		for _, latency := range fixture.gateway.latencies.summaries() {
			requests = append(requests, latency.Request)
		}
		words = append(words, slices.Sorted(slices.Values(requests))...)
	})
	wireformat.CheckGolden(t, "status-words", strings.Join(words, "\n")+"\n")
}
