package autoscaler

import (
	"context"
	"errors"
	"time"

	"robinstack/internal/cloud"
)

// callTimeout is how long a call that changes the cloud's machines may take.
const callTimeout = 5 * time.Second

// MaxMachinesPerDeletion is how many machines one call of ScaleIn may name.
const MaxMachinesPerDeletion = 100

// ScaleOut asks the cloud for machines and returns the names of those granted: none where it
// has no capacity. After an error nobody knows what became of the request, and it must be
// repeated under its ID.
func ScaleOut(ctx context.Context, api cloud.API, request cloud.ScaleOutRequest) ([]string, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	granted, err := api.ScaleOut(ctx, request)
	if errors.Is(err, cloud.ErrNoCapacity) {
		return nil, nil
	}
	return granted, err
}

// ScaleIn deletes machines; once it succeeded they and all on them are gone.
func ScaleIn(ctx context.Context, api cloud.API, machines []string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return api.ScaleIn(ctx, machines)
}
