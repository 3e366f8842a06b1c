package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"robinstack/internal/config"
	"robinstack/tools/audit"
)

// mostProblems is how many unusable lines of a log are shown.
const mostProblems = 10

func auditCommand() *cobra.Command {
	var charged float64
	var asJSON, orders bool
	var served string
	cmd := &cobra.Command{
		Use: "audit LOG...", Short: "Split what the machines cost by what they did", Args: cobra.MinimumNArgs(1),
		Long: "audit reads the logs of all controllers (- for standard input) and splits the money spent on machines by what they did with their time. Lines that are cut are named, and the rest is used.",
		RunE: func(cmd *cobra.Command, args []string) error {
			in, closeAll, err := openAll(args, cmd.InOrStdin())
			if err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			defer closeAll()
			l, err := audit.Read(in)
			if err != nil {
				return err
			}
			for k, p := range l.Problems {
				if k == mostProblems {
					fmt.Fprintf(cmd.ErrOrStderr(), "and %d more lines\n", len(l.Problems)-k)
					break
				}
				fmt.Fprintln(cmd.ErrOrStderr(), p)
			}
			if served != "" {
				return printServed(cmd.OutOrStdout(), l, served, asJSON)
			}
			bill := l.Bill()
			if bill.Machines == 0 {
				return fmt.Errorf("%w: no machine with a price in %d lines of controllers (%d others, %d cut): is LOG_LEVEL info or debug?", errUsage, l.Lines, l.Unrecognized, len(l.Problems))
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(bill)
			}
			if err := bill.Print(cmd.OutOrStdout(), charged); err != nil || !orders {
				return err
			}
			return audit.PrintDeadlineOutcomes(cmd.OutOrStdout(), l.DeadlineOutcomes())
		},
	}
	cmd.Flags().Float64Var(&charged, "charged", 0, "what the cloud charged, to set against the sum of the parts")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	cmd.Flags().StringVar(&served, "served", "", "the platform's settings file: tell for each class and team how many jobs were started and done by its aims instead")
	cmd.Flags().BoolVar(&orders, "orders", false, "also work out how many deadlines another order could have kept")
	return cmd
}

// printServed tells who was served, by the users' aims in a settings file.
func printServed(w io.Writer, l *audit.Log, path string, asJSON bool) error {
	settings, err := config.Load(path)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	classes, teams := l.ServiceLevels(func(class string, due time.Duration) time.Duration {
		var deadline *float64
		if s := due.Seconds(); due > 0 {
			deadline = &s
		}
		if limits := settings.CompletionTargets(class, deadline); len(limits) > 0 {
			return limits[0]
		}
		return 0
	})
	if len(classes) == 0 {
		return fmt.Errorf("%w: no accepted job in %d lines of controllers (%d others, %d cut): is LOG_LEVEL info or debug?", errUsage, l.Lines, l.Unrecognized, len(l.Problems))
	}
	if asJSON {
		return json.NewEncoder(w).Encode(map[string][]audit.ServiceLevel{"classes": classes, "teams": teams})
	}
	return audit.PrintServiceLevels(w, classes, teams)
}

// openAll returns the files as one stream.
func openAll(paths []string, stdin io.Reader) (io.Reader, func(), error) {
	var readers []io.Reader
	var files []*os.File
	closeAll := func() {
		for _, f := range files {
			f.Close()
		}
	}
	for _, p := range paths {
		if p == "-" {
			readers = append(readers, stdin)
			continue
		}
		f, err := os.Open(p)
		if err != nil {
			closeAll()
			return nil, nil, fmt.Errorf("opening a log: %w", err)
		}
		files = append(files, f)
		readers = append(readers, f)
	}
	return io.MultiReader(readers...), closeAll, nil
}
