package main

import (
	"fmt"
	"regexp"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"robinstack/test/wireformat"
)

var defaultValue = regexp.MustCompile(`\(default .*\)$`)

// Scripts and the platform call these commands with these flags.
func TestWireCommands(t *testing.T) {
	var b strings.Builder
	var list func(c *cobra.Command)
	list = func(c *cobra.Command) {
		fmt.Fprintln(&b, c.CommandPath(), strings.TrimPrefix(c.Use, c.Name()))
		for usage := range strings.Lines(c.LocalFlags().FlagUsages()) {
			// Its name and kind, and the default; what is between is for people.
			flag, explanation, _ := strings.Cut(strings.TrimSpace(usage), "   ")
			fmt.Fprintf(&b, "  %s %s\n", flag, defaultValue.FindString(explanation))
		}
		for _, inner := range c.Commands() {
			list(inner)
		}
	}
	list(rootCommand())
	wireformat.Golden(t, "commands", b.String())
}
