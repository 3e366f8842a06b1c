package controller

import (
	"context"
	"fmt"
	"net"
	"net/rpc"

	"robinstack/internal/config"
	"robinstack/internal/peer"
)

// tcpNetwork implements Network over TCP.
type tcpNetwork struct {
	*peer.Network
	address string // on which this controller listens for the other controllers
	server  *rpc.Server
}

func newTCPNetwork(settings *config.Settings, server *rpc.Server, handshake *peer.Service) tcpNetwork {
	addresses := map[string]string{}
	for _, p := range settings.Peers {
		addresses[p.Host] = p.Address
	}
	return tcpNetwork{
		Network: peer.New(settings.Host, addresses, server, handshake),
		address: settings.PeerListenAddress,
		server:  server,
	}
}

// Listen implements Network.
func (n tcpNetwork) Listen() (func(ctx context.Context), error) {
	// The address is numeric, so opening the socket does not block and needs no cancellable
	// context.
	listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp4", n.address)
	if err != nil {
		return nil, fmt.Errorf("listening for peers: %w", err)
	}
	return func(ctx context.Context) { peer.Serve(ctx, listener, n.server) }, nil
}
