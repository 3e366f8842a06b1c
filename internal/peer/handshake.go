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

// ErrUnknownMethod means that the peer does not implement the method: the call was not carried out,
// and that process will never carry it out. The peer runs another build. The caller has to use a
// method that both builds implement, or do without the call.
var ErrUnknownMethod = errors.New("peer does not implement this method")

// Handshake is what two controllers tell each other when they connect. Its fields are sent over the
// wire. The arguments and replies of calls are gob streams: a receiver ignores fields that it does
// not know, and fields that the sender does not send are zero. So a field may be added to a
// message, but a method whose meaning changes needs a new name.
type Handshake struct {
	Host  string
	Build string
	Calls []string // methods that the controller answers; nil for a build without handshakes
}

// handshakeTimeout bounds a handshake. The connection has just been made, so a peer that takes
// longer to answer is cut off or hangs.
const handshakeTimeout = 700 * time.Millisecond

// Service is the net/rpc service that answers handshakes, registered as "Peer".
type Service struct{ handshake Handshake }

// NewService returns the handshake service of a controller. services maps the name under which a
// net/rpc service is registered to the service; the handshake announces the methods of all of them.
func NewService(host, build string, services map[string]any) *Service {
	calls := []string{}
	for name, service := range services {
		t := reflect.TypeOf(service)
		for k := range t.NumMethod() {
			// A net/rpc method has a receiver, an argument and a reply, and returns an error.
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

// exchangeHandshakes sends local to a peer and returns the peer's handshake. The handshake of a
// peer without the method Peer.Hello, whose build is older than handshakes, is empty.
func exchangeHandshakes(ctx context.Context, client *rpc.Client, local Handshake) (Handshake, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	var remote Handshake
	call := client.Go("Peer.Hello", local, &remote, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		return Handshake{}, fmt.Errorf("handshake: %w", ctx.Err())
	}
	if isUnknownMethod(call.Error) {
		return Handshake{}, nil
	}
	return remote, call.Error
}

// isUnknownMethod reports whether err is the answer of a peer's net/rpc server to a service or
// method that it does not have.
func isUnknownMethod(err error) bool {
	var serverError rpc.ServerError
	return errors.As(err, &serverError) && strings.HasPrefix(string(serverError), "rpc: can't find")
}

// supports reports whether the peer announced the method. A peer without handshakes is assumed to
// support every method.
func (h *Handshake) supports(method string) bool {
	return h.Calls == nil || slices.Contains(h.Calls, method)
}
