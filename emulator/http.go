package emulator

import (
	"net/http"
	"net/http/httptest"

	"github.com/gofiber/fiber/v2"
)

// WarmUpHTTPServer has the HTTP server begin the goroutine that keeps the time of day from its first
// request on: it must not be in the fake time of a story. For TestMain.
func WarmUpHTTPServer() {
	resp, err := fiber.New(fiber.Config{DisableStartupMessage: true}).Test(httptest.NewRequest(http.MethodGet, "/", nil))
	if err == nil {
		resp.Body.Close()
	}
}
