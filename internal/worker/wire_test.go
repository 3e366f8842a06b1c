package worker

import (
	"context"
	"strings"
	"testing"
	"time"

	"robinstack/test/wireformat"
)

func TestWireForms(t *testing.T) {
	wireformat.CheckJSON[Heartbeat](t, "report")
	wireformat.CheckJSON[HeartbeatResponse](t, "answer")
	wireformat.CheckGolden(t, "words", strings.Join([]string{TaskFetching, TaskAwaitingGang, TaskRunning, TaskCheckpointing, TaskExited,
		CauseDone, CauseStopped, CauseGangPeerLost, CauseGangIncomplete, CauseFailed, CauseNoCapacity, CauseOtherAttempt, CauseUnknownTask}, "\n")+"\n")
}

func TestWireRequests(t *testing.T) {
	const heartbeatJSON = `{"host":"vm-1","addr":"10.1.0.2:9000","host_kind":"g8","site":"a","loaners":true,` +
		`"tenure":1,"serial":88,"baton":41,"recall_s":null,` +
		`"pieces":[{"piece":"wk-3/0","try":1,"status":"ended","cause":"stopped","stored":true}]}`
	server := wireformat.NewRecordingServer(t, "200 "+heartbeatJSON, "409 "+heartbeatJSON, "400 {}")
	commands := []Command{StartCommand("wk-1/4", 2), StopCommand("wk-2/1", 1, 10*time.Second), StopCommand("wk-2/2", 1, 0), ForgetCommand("wk-3/0", 1)}
	for range 3 {
		heartbeat, executed, err := NewClient().Send(context.Background(), server.Address(), 41, 1, commands)
		server.Recordf("  %s executed %t, failed %t", wireformat.IndentJSON(t, heartbeat), executed, err != nil)
		commands = nil
	}
	wireformat.CheckGolden(t, "requests", server.Record())
}
