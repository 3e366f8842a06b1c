package peer

import (
	"context"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// acceptRetryDelay is the delay after a failed accept.
const acceptRetryDelay = 100 * time.Millisecond

// Serve answers the calls of peers on ln until ctx ends. It returns when all connections are
// closed.
func Serve(ctx context.Context, ln net.Listener, server *rpc.Server) {
	var conns sync.WaitGroup
	defer conns.Wait()
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() }) // makes Accept return
	defer stop()
	for {
		conn, err := ln.Accept()
		if err != nil && ctx.Err() != nil {
			return
		}
		if err != nil {
			slog.Warn("peer connection accept failed", "err", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		conns.Go(func() {
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // makes ServeConn return
			defer stop()
			server.ServeConn(conn)
		})
	}
}
