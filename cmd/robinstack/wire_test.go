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

// Scripts and the platform depend on the names of these commands and on the names, types and
// defaults of their flags.
func TestWireCommands(t *testing.T) {
	var b strings.Builder
	var list func(c *cobra.Command)
	list = func(c *cobra.Command) {
		fmt.Fprintln(&b, c.CommandPath(), strings.TrimPrefix(c.Use, c.Name()))
		for usage := range strings.Lines(c.LocalFlags().FlagUsages()) {
			// Only the name, type and default are compared; the explanation between them is for
			// people.
			flag, explanation, _ := strings.Cut(strings.TrimSpace(usage), "   ")
			fmt.Fprintf(&b, "  %s %s\n", flag, defaultValue.FindString(explanation))
		}
		for _, inner := range c.Commands() {
			list(inner)
		}
	}
	list(rootCommand())
	wireformat.CheckGolden(t, "commands", b.String())
}
