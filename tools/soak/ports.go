package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
)

// Ports of controllers are below the range from which the system takes the ports of outgoing
// connections: a controller that restarts must find its port free.
const (
	firstPort = 10_000
	portCount = 20_000
	// portsPerProcess spreads the processes that run at the same time over the range.
	portsPerProcess = 211
)

// portAllocator gives each run of this process ports of its own.
var portAllocator = struct {
	sync.Mutex
	next int
}{next: os.Getpid() * portsPerProcess % portCount}

// errNoFreePort means that no port is free.
var errNoFreePort = errors.New("no free port for a controller")

// allocateAddress returns a loopback address whose port is free, and that is not returned again soon.
func allocateAddress(ctx context.Context) (string, error) {
	portAllocator.Lock()
	defer portAllocator.Unlock()
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+portAllocator.next)
		portAllocator.next = (portAllocator.next + 1) % portCount
		var config net.ListenConfig
		listener, err := config.Listen(ctx, "tcp4", address)
		if err == nil {
			return address, listener.Close()
		}
	}
	return "", errNoFreePort
}
