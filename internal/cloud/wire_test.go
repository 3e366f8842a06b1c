package cloud

import (
	"context"
	"errors"
	"testing"

	"robinstack/test/wireformat"
)

func TestWireForms(t *testing.T) {
	wireformat.CheckJSON[[]MachineType](t, "machine-types")
	wireformat.CheckJSON[Machine](t, "machine")
	wireformat.CheckJSON[ScaleOutRequest](t, "rental")
}

func TestWireRequests(t *testing.T) {
	server := wireformat.NewRecordingServer(t,
		`200 {"host_kinds":[{"label":"g8","cpus":96,"gpus":8,"mem_gb":768,"local_gb":200,"pull_gb_per_s":1.0,`+
			`"hourly":12.0,"low_price":4.5,"startup_s":45,"sites":["a","b"]}]}`,
		`200 {"hosts":["vm-1","vm-2"]}`, `503 {"error":"no capacity"}`, `503 {"error":"trouble"}`, `200 {}`,
		`200 {"hosts":[{"id":"vm-1","addr":"10.1.0.2:9000","host_kind":"g8","site":"a","loaners":true,`+
			`"status":"running","age_s":61.5}],"truncated":true}`,
		`200 {"hosts":[{"id":"vm-2"}],"truncated":false}`)
	client := NewClient(server.Address(), 1000)
	ctx := context.Background()
	recordResult := func(v any, err error) {
		server.Recordf("  %s failed %t, no capacity %t", wireformat.IndentJSON(t, v), err != nil, errors.Is(err, ErrNoCapacity))
	}
	recordResult(client.MachineTypes(ctx))
	for range 3 {
		recordResult(client.ScaleOut(ctx, ScaleOutRequest{RequestID: "r-17", Type: "g8", Zone: "a", Spot: true, Count: 12}))
	}
	recordResult(nil, client.ScaleIn(ctx, []string{"vm-1", "vm-2"}))
	recordResult(client.Machines(ctx))
	wireformat.CheckGolden(t, "requests", server.Record())
}
