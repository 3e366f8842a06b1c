package peer

import (
	"context"
	"log/slog"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// acceptRetryDelay is how long to wait after a connection could not be accepted.
const acceptRetryDelay = 100 * time.Millisecond

// Serve answers peers on ln until ctx ends, and returns once all connections have ended.
func Serve(ctx context.Context, ln net.Listener, server *rpc.Server) {
	var conns sync.WaitGroup
	defer conns.Wait()
	stop := context.AfterFunc(ctx, func() { _ = ln.Close() }) // it has served its time
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
			stop := context.AfterFunc(ctx, func() { _ = conn.Close() }) // has ServeConn return
			defer stop()
			server.ServeConn(conn)
		})
	}
}
