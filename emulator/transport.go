package emulator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
)

// heartbeatTransport sends a worker's heartbeats to controllers and returns their responses.
type heartbeatTransport interface {
	// send sends a heartbeat to the controller on a host. An error means that there was no
	// response.
	send(ctx context.Context, host string, body []byte) (code int, answer []byte, err error)
	close()
}

// handlerTransport calls the HTTP handlers of controllers in the same process.
type handlerTransport struct{ call ControllerCall }

func (t handlerTransport) close() {}

func (t handlerTransport) send(ctx context.Context, host string, body []byte) (int, []byte, error) {
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, heartbeatPath, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	response, err := t.call(host, request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }() // the body is in memory
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}
