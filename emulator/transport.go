package emulator

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
)

// heartbeatTransport carries a worker's heartbeats to controllers and brings their answers.
type heartbeatTransport interface {
	// send sends a heartbeat; the error says that no answer came.
	send(ctx context.Context, host string, body []byte) (code int, answer []byte, err error)
	close()
}

// handlerTransport reaches controllers of the same process by their HTTP handlers.
type handlerTransport struct{ call ControllerCall }

func (t handlerTransport) close() {}

func (t handlerTransport) send(ctx context.Context, host string, body []byte) (int, []byte, error) {
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, heartbeatPath, bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	response, err := t.call(host, request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }() // in memory
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}
