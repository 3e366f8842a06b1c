package emulator

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
)

// transport carries a worker's report to a controller and brings its answer.
type transport interface {
	report(host string, body []byte) (code int, answer []byte, err error)
	close()
}

// handlerTransport reaches controllers of the same process by their HTTP handlers.
type handlerTransport struct {
	ask func(host string, r *http.Request) (*http.Response, error)
}

func (t handlerTransport) close() {}

func (t handlerTransport) report(host string, body []byte) (int, []byte, error) {
	request := httptest.NewRequest(http.MethodPost, "/v1/report", bytes.NewReader(body))
	request.Header.Set("Content-Type", "application/json")
	response, err := t.ask(host, request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}
