package peer

import (
	"context"
)

// Caller reaches the services of all controllers.
type Caller interface {
	Call(ctx context.Context, host, method string, args, reply any) error
}
