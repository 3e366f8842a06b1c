package autoscaler

import (
	"context"
	"errors"
	"time"

	"robinstack/internal/cloud"
)

// callTimeout bounds one call that creates or deletes machines in the cloud.
const callTimeout = 5 * time.Second

// MaxMachinesPerDeletion is the largest number of machines that one call of ScaleIn may name.
const MaxMachinesPerDeletion = 100

// ScaleOut requests machines from the cloud and returns the names of the granted machines. It
// returns none and no error if the cloud has no capacity. After an error the outcome is unknown,
// and the caller must repeat the request under the same request ID.
func ScaleOut(ctx context.Context, api cloud.API, request cloud.ScaleOutRequest) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	granted, err := api.ScaleOut(ctx, request)
	if errors.Is(err, cloud.ErrNoCapacity) {
		return nil, nil
	}
	return granted, err
}

// ScaleIn deletes machines in the cloud. After it has succeeded, the machines and all tasks on them
// are gone.
func ScaleIn(ctx context.Context, api cloud.API, machines []string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return api.ScaleIn(ctx, machines)
}
