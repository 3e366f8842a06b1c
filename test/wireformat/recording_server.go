package wireformat

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
)

// RecordingServer is an HTTP server for tests of clients. It records each request and sends the
// given responses in order.
type RecordingServer struct {
	server *httptest.Server

	mu        sync.Mutex
	responses []string // each is "STATUS BODY"
	record    strings.Builder
}

// NewRecordingServer starts a server that is closed when the test ends.
func NewRecordingServer(t testing.TB, responses ...string) *RecordingServer {
	s := &RecordingServer{responses: responses}
	s.server = httptest.NewServer(s)
	t.Cleanup(s.server.Close)
	return s
}

// Address returns the host:port at which the server listens.
func (s *RecordingServer) Address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// Recordf appends a line to the record, for example the client's interpretation of a response.
func (s *RecordingServer) Recordf(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(&s.record, format+"\n", args...)
}

// Record returns the requests and lines recorded so far.
func (s *RecordingServer) Record() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record.String()
}

// ServeHTTP records a request and sends the next response. Without a response left it sends status
// 500.
func (s *RecordingServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	query := r.URL.Query()
	var parameters []string
	for name := range query {
		parameters = append(parameters, name+"="+query.Get(name))
	}
	slices.Sort(parameters)
	words := append([]string{r.Method, r.URL.Path}, parameters...)
	if len(body) > 0 {
		words = append(words, r.Header.Get("Content-Type"), string(body))
	}
	s.Recordf("%s", strings.Join(words, " "))
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.responses) == 0 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	var status int
	code, response, _ := strings.Cut(s.responses[0], " ")
	s.responses = s.responses[1:]
	if _, err := fmt.Sscan(code, &status); err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, response) // a client that disconnects early fails its own test
}
