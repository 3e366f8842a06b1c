package devcluster

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"robinstack/emulator"
	"robinstack/internal/job"
	"robinstack/tools/console"
)

// Response is a controller's response to a request about a job: the HTTP status code, and the
// fields of the JSON body.
type Response struct {
	Code    int
	Status  string `json:"status"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
	Error   string `json:"error"`
}

// isAccepted reports whether the controller accepted the submission, with this request or with an
// earlier one.
func (r *Response) isAccepted() bool { return r.Code == http.StatusOK || r.Code == http.StatusCreated }

// isInvalid reports whether the controller rejected the submission as invalid, so that a retry is
// pointless.
func (r *Response) isInvalid() bool {
	return r.Code == http.StatusBadRequest || r.Code == http.StatusUnprocessableEntity
}

// Client sends requests to the controllers' HTTP API for users.
type Client struct{ http http.Client }

// userTimeout bounds each HTTP request of a user.
const userTimeout = 5 * time.Second

// NewClient returns a Client whose requests time out after userTimeout.
func NewClient() *Client { return &Client{http.Client{Timeout: userTimeout}} }

func (c *Client) sendRequest(ctx context.Context, method, url string, body any) (r Response, err error) {
	encoded, err := json.Marshal(body)
	if err != nil {
		return r, fmt.Errorf("encoding the body of %s %s: %w", method, url, err)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(encoded))
	if err != nil {
		return r, err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return r, err
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return r, err
	}
	r.Code = response.StatusCode
	_ = json.Unmarshal(responseBody, &r) // without a JSON body, only Code is set
	return r, nil
}

// ExampleSubmission is the JSON of a small job, for trying out the API with curl.
const ExampleSubmission = `{"id":"wk-1","job_class":"try","owner":"crew","shape":"sweep","rank":"normal",` +
	`"pieces":4,"cpus":1,"gpus":1,"mem_gb":1,"bundle":"sh:echo tried; sleep 3","pull_gb":0.1,"host_kinds":null,` +
	`"site":null,"one_zone":false,"spread":false,"loaners":true,"guess_s":3,"snapshot_every_s":0,"snapshot_s":0,` +
	`"due_s":null}`

// NewSubmission returns a submission of team crew. Its tasks run for about the given number of
// seconds, or run the shell command if it is not empty.
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

// Submit submits a job to the controller at address.
func (c *Client) Submit(ctx context.Context, address string, submission any) (Response, error) {
	return c.sendRequest(ctx, http.MethodPost, "http://"+address+"/submissions", submission)
}

// Query requests the status of a job.
func (c *Client) Query(ctx context.Context, address, id string) (Response, error) {
	return c.sendRequest(ctx, http.MethodGet, "http://"+address+"/submissions/"+id, nil)
}

// Cancel requests the cancellation of a job.
func (c *Client) Cancel(ctx context.Context, address, id string) (Response, error) {
	return c.sendRequest(ctx, http.MethodPost, "http://"+address+"/submissions/"+id+"/abort", nil)
}

// The job that RunSampleJob submits, and the interval at which it queries the status.
const (
	sampleTasks   = 4
	sampleCommand = "echo tried; sleep 1"
	samplePoll    = 200 * time.Millisecond
)

// sampleJob is the state of RunSampleJob: the job as far as the controllers have reported it.
type sampleJob struct {
	cluster  *Cluster
	client   *Client
	id       string
	accepted bool
	lastLine string // last status line that was printed
}

// RunSampleJob submits a job of four small commands and prints its progress until it is done.
func (c *Cluster) RunSampleJob(ctx context.Context, out io.Writer) error {
	s := &sampleJob{cluster: c, client: NewClient(), id: fmt.Sprintf("wk-%d", time.Now().Unix())}
	for ctx.Err() == nil {
		if err := c.UnexpectedExit(); err != nil {
			return err
		}
		if s.poll(ctx, out) {
			return nil
		}
		emulator.Sleep(ctx, samplePoll)
	}
	return fmt.Errorf("job %s did not finish: %w", s.id, ctx.Err())
}

// poll submits the job, or queries its status once it is accepted. It uses the first controller
// that responds with a status, and reports whether the job is done.
func (s *sampleJob) poll(ctx context.Context, out io.Writer) (done bool) {
	for _, address := range s.cluster.ControllerAddresses() {
		r, err := s.submitOrQuery(ctx, address)
		if err != nil || r.Status == "" {
			continue
		}
		line := fmt.Sprintf("%s %s: %d of %d tasks done, %d running", s.id, r.Status, r.Done, sampleTasks, r.Running)
		if line != s.lastLine {
			console.Printf(out, "%s\n", line)
			s.lastLine = line
		}
		return r.Status == job.Done
	}
	return false
}

func (s *sampleJob) submitOrQuery(ctx context.Context, address string) (Response, error) {
	if s.accepted {
		return s.client.Query(ctx, address, s.id)
	}
	r, err := s.client.Submit(ctx, address, NewSubmission(s.id, job.Array, sampleCommand, sampleTasks, 1, 1))
	s.accepted = err == nil && r.isAccepted()
	return r, err
}
