// Package cloud is the client of the cloud that rents out machines.
package cloud

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"golang.org/x/time/rate"

	"robinstack/internal/httpjson"
)

// ErrNoCapacity says that the cloud has no such machine at the moment.
var ErrNoCapacity = errors.New("no capacity")

// MachineType describes a kind of machine.
type MachineType struct {
	Name          string   `json:"label"`
	CPUs          float64  `json:"cpus"`
	GPUs          float64  `json:"gpus"`
	MemoryGB      float64  `json:"mem_gb"`
	CacheGB       float64  `json:"local_gb"`
	FetchGBPerS   float64  `json:"pull_gb_per_s"`
	OnDemandPrice float64  `json:"hourly"`
	SpotPrice     float64  `json:"low_price"`
	ProvisioningS float64  `json:"startup_s"`
	Zones         []string `json:"sites"`
}

// ProvisioningTime is the usual boot time.
func (t MachineType) ProvisioningTime() time.Duration {
	return time.Duration(t.ProvisioningS * float64(time.Second))
}

// HourlyPrice is the current price of an ordinary or a spot machine.
func (t MachineType) HourlyPrice(spot bool) float64 {
	if spot {
		return t.SpotPrice
	}
	return t.OnDemandPrice
}

// Machine is a rented machine as the cloud lists it.
type Machine struct {
	Name    string  `json:"id"`
	Address string  `json:"addr"`
	Type    string  `json:"host_kind"`
	Zone    string  `json:"site"`
	Spot    bool    `json:"loaners"`
	Status  string  `json:"status"`
	AgeS    float64 `json:"age_s"`
}

// ScaleOutRequest asks for machines.
type ScaleOutRequest struct {
	RequestID string `json:"hire"`
	Type      string `json:"host_kind"`
	Zone      string `json:"site"`
	Spot      bool   `json:"loaners"`
	Count     int    `json:"how_many"`
}

// API is the cloud as the rest of the program uses it.
type API interface {
	MachineTypes(ctx context.Context) ([]MachineType, error)
	ScaleOut(ctx context.Context, r ScaleOutRequest) ([]string, error)
	ScaleIn(ctx context.Context, names []string) error
	Machines(ctx context.Context) ([]Machine, error)
}

// Client is the API over HTTP.
type Client struct {
	base  string
	http  *httpjson.Client
	limit *rate.Limiter
}

// NewClient returns a client that sends at most rps requests a second.
func NewClient(address string, rps float64) *Client {
	return &Client{base: "http://" + address, http: httpjson.New(4*time.Second, 8, 20*time.Second), limit: rate.NewLimiter(rate.Limit(rps), int(max(1, rps)))}
}

func (c *Client) call(ctx context.Context, method, path string, in, out any) error {
	if err := c.limit.Wait(ctx); err != nil {
		return fmt.Errorf("cloud: own limit: %w", err)
	}
	r, err := c.http.Do(ctx, method, c.base+path, in, 0)
	if err != nil {
		return fmt.Errorf("cloud: %w", err)
	}
	if r.Status != http.StatusOK {
		var e struct {
			Error string `json:"error"`
		}
		if r.Status == http.StatusServiceUnavailable && r.Decode(&e) == nil && e.Error == "no capacity" {
			return ErrNoCapacity
		}
		return fmt.Errorf("cloud: %s %s: status %d", method, path, r.Status)
	}
	if out == nil {
		return nil
	}
	return r.Decode(out)
}

// MachineTypes returns the types on offer with their current prices.
func (c *Client) MachineTypes(ctx context.Context) ([]MachineType, error) {
	var out struct {
		Types []MachineType `json:"host_kinds"`
	}
	err := c.call(ctx, http.MethodGet, "/machine_types", nil, &out)
	return out.Types, err
}

// ScaleOut asks for machines and returns the names of those rented.
func (c *Client) ScaleOut(ctx context.Context, r ScaleOutRequest) ([]string, error) {
	var out struct {
		Names []string `json:"hosts"`
	}
	err := c.call(ctx, http.MethodPost, "/hosts", r, &out)
	return out.Names, err
}

// ScaleIn returns machines; once it succeeded they and all on them are gone.
func (c *Client) ScaleIn(ctx context.Context, names []string) error {
	return c.call(ctx, http.MethodPost, "/hosts/delete", map[string][]string{"hosts": names}, nil)
}

// Machines lists all rented machines, as of some seconds ago.
func (c *Client) Machines(ctx context.Context) ([]Machine, error) {
	var all []Machine
	for since := ""; ; {
		var out struct {
			Machines []Machine `json:"hosts"`
			More     bool      `json:"truncated"`
		}
		if err := c.call(ctx, http.MethodGet, "/hosts?"+url.Values{"since": {since}, "page": {"500"}}.Encode(), nil, &out); err != nil {
			return nil, err
		}
		all = append(all, out.Machines...)
		if !out.More || len(out.Machines) == 0 {
			return all, nil
		}
		since = out.Machines[len(out.Machines)-1].Name
	}
}
