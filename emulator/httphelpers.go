package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"

	"github.com/gofiber/fiber/v2"
)

// parseIntOr returns s as an integer, or fallback if s is not one.
func parseIntOr(s string, fallback int) int {
	if n, err := strconv.Atoi(s); err == nil {
		return n
	}
	return fallback
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the client is gone
}

// WarmUpHTTPServer makes the HTTP server library of the gateway start its background goroutine,
// which caches the current time and starts with the first request. The goroutine must not start
// inside a test with fake time, so TestMain calls this function.
func WarmUpHTTPServer() {
	app := fiber.New(fiber.Config{DisableStartupMessage: true})
	request := httptest.NewRequestWithContext(context.Background(), http.MethodGet, "/", http.NoBody)
	resp, err := app.Test(request)
	if err == nil {
		_ = resp.Body.Close() // the body is in memory
	}
}
