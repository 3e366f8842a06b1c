package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"robinstack/tools/scaletest"
)

// scaleFlags are the flags of the scale command.
type scaleFlags struct {
	logs, json, loadPlan string
	sweep, tables        bool
}

func scaleCommand() *cobra.Command {
	var flags scaleFlags
	cmd := &cobra.Command{
		Use:   "scale PROFILE.toml | --tables SWEEP.json",
		Short: "Run controllers against emulators at a given scale and measure them",
		Args:  cobra.MaximumNArgs(1),
		Long: "scale runs a profile on this machine: controllers as separate processes, emulators of the state " +
			"service and the cloud that enforce their limits, and one process with users and with workers that " +
			"run no real tasks. It prints the cost of each role and how jobs were served, and stops everything " +
			"that it started. It uses at most half of the machine's memory.",
		RunE: func(cmd *cobra.Command, args []string) error {
			if flags.loadPlan != "" {
				return runLoad(cmd.Context(), flags.loadPlan, cmd.InOrStdin(), cmd.OutOrStdout())
			}
			if len(args) == 0 {
				return fmt.Errorf("%w: the profile is missing", errUsage)
			}
			return markUsage(runScale(cmd.Context(), args[0], flags, cmd.OutOrStdout()))
		},
	}
	cmd.Flags().StringVar(&flags.logs, "logs", "",
		"directory for the processes' logs; by default they are deleted at exit")
	cmd.Flags().StringVar(&flags.json, "json", "", "file to write the measurements to, as JSON")
	cmd.Flags().BoolVar(&flags.sweep, "sweep", false, "run all sizes listed in the profile's sweep")
	cmd.Flags().BoolVar(&flags.tables, "tables", false,
		"print the tables of docs/CAPACITY.md from the --json file of a sweep")
	cmd.Flags().StringVar(&flags.loadPlan, scaletest.LoadProcessFlag, "",
		"load plan of the workers and users to run; for internal use by scale")
	_ = cmd.Flags().MarkHidden(scaletest.LoadProcessFlag) // it has just been added
	return cmd
}

// markUsage marks the errors that the operator can fix as errUsage: an invalid profile, and a run
// that does not fit this machine.
func markUsage(err error) error {
	if errors.Is(err, scaletest.ErrInvalidProfile) || errors.Is(err, scaletest.ErrInsufficientCapacity) {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	return err
}

func runScale(ctx context.Context, path string, flags scaleFlags, out io.Writer) error {
	if flags.tables {
		return printTables(path, out)
	}
	profile, err := scaletest.LoadProfile(path)
	if err != nil {
		return err
	}
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("locating the executable of this program: %w", err)
	}
	options := scaletest.Options{Program: program, LogDirectory: flags.logs, Output: out}
	if flags.sweep {
		return scaletest.RunSweep(ctx, profile, options, func(s *scaletest.SweepResult) error {
			return writeJSON(flags.json, s)
		})
	}
	result, err := scaletest.RunProfile(ctx, profile, options)
	if err != nil {
		return err
	}
	// Both outputs are tried, so that the results of a long run are kept if only one can be
	// written.
	if err := errors.Join(result.Print(out), writeJSON(flags.json, result)); err != nil {
		return err
	}
	if n := len(result.Load.Violations); n > 0 {
		return fmt.Errorf("%d rule violations during the run", n)
	}
	return nil
}

// printTables prints the tables of a sweep from its JSON result.
func printTables(path string, out io.Writer) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	var s scaletest.SweepResult
	if err := json.Unmarshal(raw, &s); err != nil {
		return fmt.Errorf("%w: %s is not the JSON result of a sweep: %w", errUsage, path, err)
	}
	return s.WriteTables(out)
}

// writeJSON writes a value to a file as JSON; an empty path writes nothing.
func writeJSON(path string, v any) error {
	if path == "" {
		return nil
	}
	raw, err := json.MarshalIndent(v, "", "  ")
	if err == nil {
		err = os.WriteFile(path, append(raw, '\n'), 0o644)
	}
	if err != nil {
		return fmt.Errorf("writing %s: %w", path, err)
	}
	return nil
}

// runLoad runs the workers and users of a load plan in this process.
func runLoad(ctx context.Context, path string, in io.Reader, out io.Writer) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("reading the load plan: %w", err)
	}
	var plan scaletest.LoadPlan
	if err := json.Unmarshal(raw, &plan); err != nil {
		return fmt.Errorf("decoding the load plan %s: %w", path, err)
	}
	return scaletest.RunLoadProcess(ctx, &plan, in, out)
}
