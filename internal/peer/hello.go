package peer

import (
	"context"
	"errors"
	"fmt"
	"net/rpc"
	"reflect"
	"slices"
	"strings"
	"time"
)

// ErrUnknownMethod says that the peer does not know the call: it was not carried out,
// and never will be by that process. It is another version; the caller falls back to
// what both know, or goes without.
var ErrUnknownMethod = errors.New("the peer does not know this call")

// Handshake is what two controllers tell each other when they connect. What calls carry
// are gob streams: fields that one side does not know are left out by it, and those that
// it does not get are zero; so a field may be added to a call, and a call whose meaning
// changes gets another name.
type Handshake struct {
	Host  string
	Build string
	Calls []string // that it answers; nil for a version that does not greet
}

// helloTime bounds a greeting. Its connection has just been made, so the peer answers
// or is cut off.
const helloTime = 700 * time.Millisecond

// Service is the net/rpc service that greets.
type Service struct{ mine Handshake }

// NewService returns the service of a controller that answers the methods of these
// services.
func NewService(host, build string, services map[string]any) *Service {
	g := Handshake{Host: host, Build: build, Calls: []string{}}
	for name, service := range services {
		t := reflect.TypeOf(service)
		for k := range t.NumMethod() {
			if m := t.Method(k); m.Type.NumIn() == 3 && m.Type.NumOut() == 1 {
				g.Calls = append(g.Calls, name+"."+m.Name)
			}
		}
	}
	slices.Sort(g.Calls)
	return &Service{g}
}

// Hello answers a peer's greeting.
func (s *Service) Hello(_ Handshake, reply *Handshake) error {
	*reply = s.mine
	return nil
}

// greet asks a peer what it is. One of the time before there were greetings says that
// it does not know them.
func greet(client *rpc.Client, mine Handshake) (Handshake, error) {
	ctx, cancel := context.WithTimeout(context.Background(), helloTime)
	defer cancel()
	var theirs Handshake
	call := client.Go("Peer.Hello", mine, &theirs, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return theirs, fmt.Errorf("greeting: %w", ctx.Err())
	}
	if unknownCall(call.Error) {
		return Handshake{}, nil
	}
	return theirs, call.Error
}

// unknownCall reports whether a peer's net/rpc answered that there is no such service
// or method.
func unknownCall(err error) bool {
	var answered rpc.ServerError
	return errors.As(err, &answered) && strings.HasPrefix(string(answered), "rpc: can't find")
}

// knows reports whether the peer answers a call, as far as it said.
func (g *Handshake) knows(method string) bool {
	return g.Calls == nil || slices.Contains(g.Calls, method)
}
