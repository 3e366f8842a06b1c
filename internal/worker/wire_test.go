package worker

import (
	"context"
	"strings"
	"testing"
	"time"

	"robinstack/test/wireformat"
)

func TestWireForms(t *testing.T) {
	wireformat.JSON[Report](t, "report")
	wireformat.JSON[Answer](t, "answer")
	wireformat.Golden(t, "words", strings.Join([]string{Fetching, Gathering, Running, Saving, Ended,
		Done, Stopped, PeersGone, Incomplete, Failed, NoRoom, Busy, NoSuch}, "\n")+"\n")
}

func TestWireRequests(t *testing.T) {
	const report = `{"host":"vm-1","addr":"10.1.0.2:9000","host_kind":"g8","site":"a","loaners":true,` +
		`"tenure":1,"serial":88,"baton":41,"recall_s":null,` +
		`"pieces":[{"piece":"wk-3/0","try":1,"status":"ended","cause":"stopped","stored":true}]}`
	p := wireformat.NewPeer(t, "200 "+report, "409 "+report, "400 {}")
	orders := []Order{Start("wk-1/4", 2), Stop("wk-2/1", 1, 10*time.Second), Stop("wk-2/2", 1, 0), Forget("wk-3/0", 1)}
	for range 3 {
		answer, executed, err := NewClient().Command(context.Background(), p.Address(), 41, 1, orders)
		p.Notef("  %s executed %t, failed %t", wireformat.Indent(t, answer), executed, err != nil)
		orders = nil
	}
	wireformat.Golden(t, "requests", p.Notes())
}
