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

// Peer is an HTTP server for tests of clients: it notes each request and gives the
// answers that it was told, in turn.
type Peer struct {
	server *httptest.Server

	mu      sync.Mutex
	answers []string // each "STATUS BODY"
	notes   strings.Builder
}

// NewPeer returns a server that ends with the test.
func NewPeer(t testing.TB, answers ...string) *Peer {
	p := &Peer{answers: answers}
	p.server = httptest.NewServer(p)
	t.Cleanup(p.server.Close)
	return p
}

// Address is where the server listens, as host:port.
func (p *Peer) Address() string { return strings.TrimPrefix(p.server.URL, "http://") }

// Notef adds a line to the notes, for what the client made of an answer.
func (p *Peer) Notef(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(&p.notes, format+"\n", args...)
}

// Notes returns the requests and notes so far.
func (p *Peer) Notes() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notes.String()
}

// ServeHTTP notes a request and gives the next answer.
func (p *Peer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
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
	p.Notef("%s", strings.Join(words, " "))
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.answers) == 0 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	var status int
	code, answer, _ := strings.Cut(p.answers[0], " ")
	p.answers = p.answers[1:]
	if _, err := fmt.Sscan(code, &status); err != nil {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, answer) // a client that has gone fails its own test
}
