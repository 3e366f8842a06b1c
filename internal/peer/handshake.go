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

// ErrUnknownMethod says that the peer does not know the method: the call was not carried out,
// and never will be by that process. It is another version; the caller falls back to what both
// know, or goes without.
var ErrUnknownMethod = errors.New("the peer does not know this method")

// Handshake is what two controllers say of themselves when they connect. Its fields are on the
// wire. What calls carry are gob streams: fields that one side does not know are left out by
// it, and those that it does not get are zero; so a field may be added to a message, and a
// method whose meaning changes gets another name.
type Handshake struct {
	Host  string
	Build string
	Calls []string // the methods that it answers; nil for a version without handshakes
}

// handshakeTimeout bounds a handshake. Its connection has just been made, so the peer answers
// or is cut off.
const handshakeTimeout = 700 * time.Millisecond

// Service is the net/rpc service that answers handshakes, registered as "Peer".
type Service struct{ handshake Handshake }

// NewService returns the service of a controller that answers the methods of these services, by
// the names they are registered with.
func NewService(host, build string, services map[string]any) *Service {
	calls := []string{}
	for name, service := range services {
		t := reflect.TypeOf(service)
		for k := range t.NumMethod() {
			// net/rpc's methods have a receiver, the arguments, the reply, and an error.
			if m := t.Method(k); m.Type.NumIn() == 3 && m.Type.NumOut() == 1 {
				calls = append(calls, name+"."+m.Name)
			}
		}
	}
	slices.Sort(calls)
	return &Service{handshake: Handshake{Host: host, Build: build, Calls: calls}}
}

// Hello answers a peer's handshake.
func (s *Service) Hello(_ Handshake, reply *Handshake) error {
	*reply = s.handshake
	return nil
}

// shakeHands asks a peer what it is. One of the time before there were handshakes says that it
// does not know them.
func shakeHands(ctx context.Context, client *rpc.Client, mine Handshake) (Handshake, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	var theirs Handshake
	call := client.Go("Peer.Hello", mine, &theirs, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return Handshake{}, fmt.Errorf("handshake: %w", ctx.Err())
	}
	if isUnknownMethod(call.Error) {
		return Handshake{}, nil
	}
	return theirs, call.Error
}

// isUnknownMethod reports whether a peer's net/rpc answered that there is no such service or
// method.
func isUnknownMethod(err error) bool {
	var answered rpc.ServerError
	return errors.As(err, &answered) && strings.HasPrefix(string(answered), "rpc: can't find")
}

// knows reports whether the peer answers a method, as far as it said.
func (h *Handshake) knows(method string) bool {
	return h.Calls == nil || slices.Contains(h.Calls, method)
}
