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

// scaleFlags are what the command is told.
type scaleFlags struct {
	logs, json, loadPlan string
	sweep, tables        bool
}

func scaleCommand() *cobra.Command {
	var flags scaleFlags
	cmd := &cobra.Command{
		Use:   "scale PROFILE.toml | --tables SWEEP.json",
		Short: "Run controllers as processes at a size against stand-ins, and measure",
		Args:  cobra.MaximumNArgs(1),
		Long: "scale runs what a profile states on this machine: controllers as processes of their own, " +
			"stand-ins for the state service and the cloud that keep their limits, one process of workers " +
			"that do no work, and users. It prints what each role costs and how work fared, and ends all " +
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
		"directory for the processes' logs; without it they go when all ends")
	cmd.Flags().StringVar(&flags.json, "json", "", "file to write what was measured to, as JSON")
	cmd.Flags().BoolVar(&flags.sweep, "sweep", false, "run all sizes that the profile's sweep lists")
	cmd.Flags().BoolVar(&flags.tables, "tables", false,
		"print the tables of docs/CAPACITY.md from what a sweep wrote with --json")
	cmd.Flags().StringVar(&flags.loadPlan, scaletest.LoadProcessFlag, "",
		"plan of the workers and users to run; scale itself uses it")
	_ = cmd.Flags().MarkHidden(scaletest.LoadProcessFlag) // it has just been added
	return cmd
}

// markUsage marks what the operator has to change.
func markUsage(err error) error {
	if errors.Is(err, scaletest.ErrProfile) || errors.Is(err, scaletest.ErrDoesNotFit) {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	return err
}

func runScale(ctx context.Context, path string, flags scaleFlags, out io.Writer) error {
	if flags.tables {
		return printTables(path, out)
	}
	profile, err := scaletest.Load(path)
	if err != nil {
		return err
	}
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("finding this program: %w", err)
	}
	options := scaletest.Options{Program: program, Logs: flags.logs, Out: out}
	if flags.sweep {
		return scaletest.RunSweep(ctx, profile, options, func(s *scaletest.SweepResult) error {
			return writeJSON(flags.json, s)
		})
	}
	result, err := scaletest.RunProfile(ctx, profile, options)
	if err != nil {
		return err
	}
	// Both are tried: the figures of a long run are kept where one of them can be written.
	if err := errors.Join(result.Print(out), writeJSON(flags.json, result)); err != nil {
		return err
	}
	if n := len(result.Load.Violations); n > 0 {
		return fmt.Errorf("%d rules were broken", n)
	}
	return nil
}

// printTables prints the tables of a sweep that was written as JSON.
func printTables(path string, out io.Writer) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	var s scaletest.SweepResult
	if err := json.Unmarshal(raw, &s); err != nil {
		return fmt.Errorf("%w: %s is not what a sweep wrote: %w", errUsage, path, err)
	}
	return s.WriteTables(out)
}

// writeJSON writes a value to a file; "" for none.
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

// runLoad is the process of the workers and users of a plan.
func runLoad(ctx context.Context, path string, in io.Reader, out io.Writer) error {
	raw, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("reading the plan: %w", err)
	}
	var plan scaletest.LoadPlan
	if err := json.Unmarshal(raw, &plan); err != nil {
		return fmt.Errorf("reading the plan: %w", err)
	}
	return scaletest.RunLoad(ctx, &plan, in, out)
}
