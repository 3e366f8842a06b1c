package devcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// Response is what a controller says of a job.
type Response struct {
	Code    int
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
	Error   string `json:"error"`
}

// Client speaks to controllers as users do.
type Client struct{ http http.Client }

// NewClient returns a client.
func NewClient() *Client { return &Client{http.Client{Timeout: 5 * time.Second}} }

func (c *Client) call(ctx context.Context, method, url string, body any) (a Response, err error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return a, fmt.Errorf("encoding a request: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
	if err != nil {
		return a, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return a, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return a, err
	}
	a.Code = resp.StatusCode
	_ = json.Unmarshal(answer, &a)
	return a, nil
}

// NewSubmission is a job of the crew whose tasks take some seconds each, or run a command.
func NewSubmission(id, shape, command string, tasks int, gpus, seconds float64) map[string]any {
	image := "plain"
	if command != "" {
		image = "sh:" + command
	}
	return map[string]any{"id": id, "job_class": "try", "owner": "crew", "shape": shape, "rank": "normal", "pieces": tasks,
		"cpus": 1, "gpus": gpus, "mem_gb": 1, "bundle": image, "pull_gb": 0.1, "host_kinds": nil, "site": nil, "one_zone": false, "spread": false,
		"loaners": true, "guess_s": seconds, "snapshot_every_s": 0, "snapshot_s": 0, "due_s": nil}
}

// Submit submits a job.
func (c *Client) Submit(ctx context.Context, address string, submission any) (Response, error) {
	return c.call(ctx, http.MethodPost, "http://"+address+"/submissions", submission)
}

// Query asks for a job.
func (c *Client) Query(ctx context.Context, address, id string) (Response, error) {
	return c.call(ctx, http.MethodGet, "http://"+address+"/submissions/"+id, nil)
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, address, id string) (Response, error) {
	return c.call(ctx, http.MethodPost, "http://"+address+"/submissions/"+id+"/abort", nil)
}

// RunSampleJob submits a job of four small commands and tells how it goes until it is done.
func (f *Cluster) RunSampleJob(ctx context.Context, out io.Writer) error {
	client, id := NewClient(), fmt.Sprintf("wk-%d", time.Now().Unix())
	last := ""
	for accepted := false; ctx.Err() == nil; {
		if err := f.UnexpectedExit(); err != nil {
			return err
		}
		for _, address := range f.ControllerAddresses() {
			var a Response
			var err error
			if !accepted {
				a, err = client.Submit(ctx, address, NewSubmission(id, "sweep", "echo tried; sleep 1", 4, 1, 1))
				accepted = err == nil && (a.Code == http.StatusOK || a.Code == http.StatusCreated)
			} else {
				a, err = client.Query(ctx, address, id)
			}
			if err != nil || a.Status == "" {
				continue
			}
			if line := fmt.Sprintf("%s %s: %d of 4 tasks done, %d running", id, a.Status, a.Done, a.Running); line != last {
				fmt.Fprintln(out, line)
				last = line
			}
			if a.Status == "done" {
				return nil
			}
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
	return fmt.Errorf("the job was not done: %w", ctx.Err())
}
