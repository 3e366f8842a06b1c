package devcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"robinstack/internal/job"
	"robinstack/tools/console"
)

// Response is what a controller says of a job.
type Response struct {
	Code    int
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
	Error   string `json:"error"`
}

// isAccepted reports whether a submission was accepted, now or before.
func (r *Response) isAccepted() bool { return r.Code == http.StatusOK || r.Code == http.StatusCreated }

// isInvalid reports whether a submission was refused for good.
func (r *Response) isInvalid() bool {
	return r.Code == http.StatusBadRequest || r.Code == http.StatusUnprocessableEntity
}

// Client speaks to controllers as users do.
type Client struct{ http http.Client }

// userTimeout is how long a user waits for an answer.
const userTimeout = 5 * time.Second

// NewClient returns a client.
func NewClient() *Client { return &Client{http.Client{Timeout: userTimeout}} }

func (c *Client) call(ctx context.Context, method, url string, body any) (r Response, err error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return r, fmt.Errorf("encoding a request: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(raw))
	if err != nil {
		return r, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return r, err
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	answer, err := io.ReadAll(response.Body)
	if err != nil {
		return r, err
	}
	r.Code = response.StatusCode
	_ = json.Unmarshal(answer, &r) // an answer without a body of ours has its code alone
	return r, nil
}

// ExampleSubmission is a submission to try by hand.
const ExampleSubmission = `{"id":"wk-1","job_class":"try","owner":"crew","shape":"sweep","rank":"normal",` +
	`"pieces":4,"cpus":1,"gpus":1,"mem_gb":1,"bundle":"sh:echo tried; sleep 3","pull_gb":0.1,"host_kinds":null,` +
	`"site":null,"one_zone":false,"spread":false,"loaners":true,"guess_s":3,"snapshot_every_s":0,"snapshot_s":0,` +
	`"due_s":null}`

// NewSubmission is a job of the team crew whose tasks take some seconds each, or run a
// command ("": none).
func NewSubmission(id, shape, command string, tasks int, gpus, seconds float64) map[string]any {
	image := "plain"
	if command != "" {
		image = "sh:" + command
	}
	return map[string]any{
		"id": id, "job_class": "try", "owner": "crew", "shape": shape, "rank": "normal", "pieces": tasks,
		"cpus": 1, "gpus": gpus, "mem_gb": 1, "bundle": image, "pull_gb": 0.1,
		"host_kinds": nil, "site": nil, "one_zone": false, "spread": false, "loaners": true,
		"guess_s": seconds, "snapshot_every_s": 0, "snapshot_s": 0, "due_s": nil,
	}
}

// Submit submits a job.
func (c *Client) Submit(ctx context.Context, address string, submission any) (Response, error) {
	return c.call(ctx, http.MethodPost, "http://"+address+"/submissions", submission)
}

// Query asks about a job.
func (c *Client) Query(ctx context.Context, address, id string) (Response, error) {
	return c.call(ctx, http.MethodGet, "http://"+address+"/submissions/"+id, nil)
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, address, id string) (Response, error) {
	return c.call(ctx, http.MethodPost, "http://"+address+"/submissions/"+id+"/abort", nil)
}

// The sample job.
const (
	sampleTasks   = 4
	sampleCommand = "echo tried; sleep 1"
	samplePoll    = 200 * time.Millisecond
)

// sampleJob is the job of RunSampleJob, as its user knows it.
type sampleJob struct {
	cluster  *Cluster
	client   *Client
	id       string
	accepted bool
	line     string // that was written last
}

// RunSampleJob submits a job of four small commands and writes how it goes until it is done.
func (c *Cluster) RunSampleJob(ctx context.Context, out io.Writer) error {
	s := &sampleJob{cluster: c, client: NewClient(), id: fmt.Sprintf("wk-%d", time.Now().Unix())}
	for ctx.Err() == nil {
		if err := c.UnexpectedExit(); err != nil {
			return err
		}
		if s.poll(ctx, out) {
			return nil
		}
		sleep(ctx, samplePoll)
	}
	return fmt.Errorf("the job was not done: %w", ctx.Err())
}

// poll submits the job, or asks about it, at the first controller that answers, and reports
// whether it is done.
func (s *sampleJob) poll(ctx context.Context, out io.Writer) (done bool) {
	for _, address := range s.cluster.ControllerAddresses() {
		r, err := s.exchange(ctx, address)
		if err != nil || r.Status == "" {
			continue
		}
		line := fmt.Sprintf("%s %s: %d of %d tasks done, %d running", s.id, r.Status, r.Done, sampleTasks, r.Running)
		if line != s.line {
			console.Printf(out, "%s\n", line)
			s.line = line
		}
		return r.Status == job.Done
	}
	return false
}

func (s *sampleJob) exchange(ctx context.Context, address string) (Response, error) {
	if s.accepted {
		return s.client.Query(ctx, address, s.id)
	}
	r, err := s.client.Submit(ctx, address, NewSubmission(s.id, job.Array, sampleCommand, sampleTasks, 1, 1))
	s.accepted = err == nil && r.isAccepted()
	return r, err
}
