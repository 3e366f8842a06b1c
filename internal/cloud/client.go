// Package cloud holds the client of the cloud that provides machines, and the catalogue of machine
// types.
//
// The client owns its rate limiter and connections; a mutex guards the catalogue. JSON keys are
// those of the cloud's API. The package imports httpjson only.
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
	// machinesPerPage is the largest page that the API allows.
	machinesPerPage = 500
	// noCapacityReason is the error text by which the cloud states that it has no capacity for a
	// request. Any other error may be an outage.
	noCapacityReason = "no capacity"
)

// ErrNoCapacity means that the cloud has no capacity for the request at the moment.
var ErrNoCapacity = errors.New(noCapacityReason)

// API is the part of the cloud's API that the program uses.
type API interface {
	// MachineTypes returns the available types with their current prices.
	MachineTypes(ctx context.Context) ([]MachineType, error)
	// ScaleOut requests machines and returns the names of those provided, which may be fewer than
	// requested. The error is ErrNoCapacity if there is none. After any other error the outcome is
	// unknown: the cloud may have carried out the request, or may yet do so.
	ScaleOut(ctx context.Context, request ScaleOutRequest) ([]string, error)
	// ScaleIn deletes machines. After success the machines and all tasks on them are gone.
	ScaleIn(ctx context.Context, names []string) error
	// Machines returns all machines. The list may be some seconds out of date.
	Machines(ctx context.Context) ([]Machine, error)
}

// Client implements API over HTTP.
type Client struct {
	base    string
	http    *httpjson.Client
	limiter *rate.Limiter
}

// NewClient returns a client that sends at most requestsPerSecond requests a second.
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

// Machines implements API. It returns an error if any page cannot be read, because machines that
// are missing from an incomplete list would be taken for deleted.
func (c *Client) Machines(ctx context.Context) ([]Machine, error) {
	var machines []Machine
	lastName := ""
	for {
		var page struct {
			Machines  []Machine `json:"hosts"`
			Truncated bool      `json:"truncated"`
		}
		query := url.Values{"since": {lastName}, "page": {strconv.Itoa(machinesPerPage)}}
		if err := c.call(ctx, http.MethodGet, "/hosts?"+query.Encode(), nil, &page); err != nil {
			return nil, err
		}
		machines = append(machines, page.Machines...)
		if !page.Truncated || len(page.Machines) == 0 {
			return machines, nil
		}
		lastName = page.Machines[len(page.Machines)-1].Name
	}
}

// call sends one request within the rate limit and decodes the response into out unless out is nil.
func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return fmt.Errorf("cloud: waiting for the rate limit of this client: %w", err)
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

// hasNoCapacity reports whether the response states that the cloud has no capacity for the request.
func hasNoCapacity(response httpjson.Response) bool {
	if response.Status != http.StatusServiceUnavailable {
		return false
	}
	var body struct {
		Error string `json:"error"`
	}
	return response.Decode(&body) == nil && body.Error == noCapacityReason
}
