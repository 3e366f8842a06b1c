package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"

	"github.com/gofiber/fiber/v2"
)

// intOr is the number that s is, or fallback if it is none.
func intOr(s string, fallback int) int {
	if n, err := strconv.Atoi(s); err == nil {
		return n
	}
	return fallback
}

// respond writes an answer with a JSON body.
func respond(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // a client that has gone needs no answer
}

// WarmUpHTTPServer has the HTTP server of the gateway begin the goroutine that keeps the
// time of day from its first request on: it must not be in the fake time of a test. For
// TestMain.
func WarmUpHTTPServer() {
	app := fiber.New(fiber.Config{DisableStartupMessage: true})
	request := httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/", http.NoBody)
	resp, err := app.Test(request)
	if err == nil {
		_ = resp.Body.Close() // in memory
	}
}
