// Package cloud is the client of the cloud that provides machines, and the catalogue of machine
// types that the process knows.
//
// It owns the client's rate limit and connections, and the catalogue, which a mutex guards. JSON
// keys are those of the cloud's API. It imports only httpjson.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/time/rate"

	"robinstack/internal/httpjson"
)

const (
	requestTimeout        = 4 * time.Second
	maxConnections        = 8
	idleConnectionTimeout = 20 * time.Second
	// machinesPerPage is the most that the API allows.
	machinesPerPage = 500
	// noCapacityReason is the error by which the cloud says that it has no such machine; any other
	// may mean an outage.
	noCapacityReason = "no capacity"
)

// ErrNoCapacity says that the cloud has no such machine at the moment.
var ErrNoCapacity = errors.New(noCapacityReason)

// API is the cloud as the rest of the program uses it.
type API interface {
	// MachineTypes returns the types on offer with their current prices.
	MachineTypes(ctx context.Context) ([]MachineType, error)
	// ScaleOut asks for machines and returns the names of those provided, which may be fewer. Its
	// error is ErrNoCapacity where there are none; after any other the request may have been, or
	// may yet be, carried out.
	ScaleOut(ctx context.Context, request ScaleOutRequest) ([]string, error)
	// ScaleIn deletes machines; once it succeeded they and all on them are gone.
	ScaleIn(ctx context.Context, names []string) error
	// Machines lists all machines, as of some seconds ago.
	Machines(ctx context.Context) ([]Machine, error)
}

// Client is the API over HTTP.
type Client struct {
	base    string
	http    *httpjson.Client
	limiter *rate.Limiter
}

// NewClient returns a client that sends at most requestsPerSecond.
func NewClient(address string, requestsPerSecond float64) *Client {
	burst := int(max(1, requestsPerSecond))
	return &Client{
		base:    "http://" + address,
		http:    httpjson.New(requestTimeout, maxConnections, idleConnectionTimeout),
		limiter: rate.NewLimiter(rate.Limit(requestsPerSecond), burst),
	}
}

// MachineTypes implements API.
func (c *Client) MachineTypes(ctx context.Context) ([]MachineType, error) {
	var response struct {
		Types []MachineType `json:"host_kinds"`
	}
	err := c.call(ctx, http.MethodGet, "/machine_types", nil, &response)
	return response.Types, err
}

// ScaleOut implements API.
func (c *Client) ScaleOut(ctx context.Context, request ScaleOutRequest) ([]string, error) {
	var response struct {
		Names []string `json:"hosts"`
	}
	err := c.call(ctx, http.MethodPost, "/hosts", request, &response)
	return response.Names, err
}

// ScaleIn implements API.
func (c *Client) ScaleIn(ctx context.Context, names []string) error {
	return c.call(ctx, http.MethodPost, "/hosts/delete", map[string][]string{"hosts": names}, nil)
}

// Machines implements API. A list that breaks off is an error: machines that it does not show
// would be taken for gone.
func (c *Client) Machines(ctx context.Context) ([]Machine, error) {
	var machines []Machine
	since := ""
	for {
		var page struct {
			Machines  []Machine `json:"hosts"`
			Truncated bool      `json:"truncated"`
		}
		query := url.Values{"since": {since}, "page": {strconv.Itoa(machinesPerPage)}}
		if err := c.call(ctx, http.MethodGet, "/hosts?"+query.Encode(), nil, &page); err != nil {
			return nil, err
		}
		machines = append(machines, page.Machines...)
		if !page.Truncated || len(page.Machines) == 0 {
			return machines, nil
		}
		since = page.Machines[len(page.Machines)-1].Name
	}
}

// call sends one request within the rate limit and decodes its answer into out, if out is not nil.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("cloud: own limit: %w", err)
	}
	response, err := c.http.Do(ctx, method, c.base+path, in, 0)
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	if hasNoCapacity(response) {
		return ErrNoCapacity
	}
	if response.Status != http.StatusOK {
		return fmt.Errorf("cloud: %s %s: status %d", method, path, response.Status)
	}
	if out == nil {
		return nil
	}
	return response.Decode(out)
}

// hasNoCapacity reports whether the cloud says in so many words that it has no such machine.
func hasNoCapacity(response httpjson.Response) bool {
	if response.Status != http.StatusServiceUnavailable {
		return false
	}
	var body struct {
		Error string `json:"error"`
	}
	return response.Decode(&body) == nil && body.Error == noCapacityReason
}
