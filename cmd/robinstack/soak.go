package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"robinstack/tools/console"
	"robinstack/tools/soak"
)

// soakFlags are the flags of the soak command.
type soakFlags struct {
	options     soak.Options
	seed        uint64
	seeds, jobs int
}

func soakCommand() *cobra.Command {
	var flags soakFlags
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run whole controllers under random faults and check every rule",
		Args:  cobra.NoArgs,
		Long: "soak runs controllers as processes against emulators of the state service, the cloud, workers and " +
			"users, injects faults drawn from a seed (kills, pauses, cut links, late and lost messages, an " +
			"unreliable state service, machines that hang or fail) and checks from outside that no rule is broken, " +
			"no process ends by itself and no invariant is violated at run time. It exits with 1 if a run fails, " +
			"and prints the faults and a merged timeline. Interrupted, it stops all that it started.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runSoak(cmd.Context(), cmd.OutOrStdout(), &flags)
		},
	}
	f, o := cmd.Flags(), &flags.options
	f.Uint64Var(&flags.seed, "seed", 1, "first seed; the schedule of faults follows from the seed")
	f.IntVar(&flags.seeds, "seeds", 1, "number of consecutive seeds")
	f.IntVar(&flags.jobs, "jobs", 1, "number of runs at the same time")
	f.DurationVar(&o.Duration, "duration", time.Minute, "time under load and faults, for each seed")
	f.IntVar(&o.Controllers, "controllers", 3, "number of controllers")
	f.IntVar(&o.Machines, "machines", 40, "number of workers at the beginning")
	f.BoolVar(&o.RepeatCalls, "repeat-calls", false, "copies of answered calls between controllers arrive, too")
	f.Float64Var(&o.Cores, "cores", 0, "share of a processor core that each controller may use; 0: not limited")
	f.StringVar(&o.LogDirectory, "logs", "", "directory for the logs; by default only those of failed runs are kept")
	f.StringVar(&o.LogLevel, "level", "info", "level of the controllers' logs: error, info or debug")
	f.StringVar(&o.Program, "program", "", "program of the controllers; by default this one")
	return cmd
}

// maxSoakSeeds and maxSoakJobs bound the options of the soak command.
const (
	maxSoakSeeds = 10_000
	maxSoakJobs  = 16
)

// check returns an error that names the first flag that is out of range.
func (flags *soakFlags) check() error {
	if flags.seeds < 1 || flags.seeds > maxSoakSeeds {
		return fmt.Errorf("%w: --seeds is %d, must be 1 to %d", errUsage, flags.seeds, maxSoakSeeds)
	}
	if flags.jobs < 1 || flags.jobs > maxSoakJobs {
		return fmt.Errorf("%w: --jobs is %d, must be 1 to %d", errUsage, flags.jobs, maxSoakJobs)
	}
	if err := flags.options.Check(); err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	return nil
}

// errSoakFailed means that a run found violations.
var errSoakFailed = errors.New("rules were broken")

func runSoak(ctx context.Context, out io.Writer, flags *soakFlags) error {
	if err := flags.check(); err != nil {
		return err
	}
	if flags.options.Program == "" {
		program, err := os.Executable()
		if err != nil {
			return fmt.Errorf("locating the executable of this program: %w", err)
		}
		flags.options.Program = program
	}
	if _, err := os.Stat(flags.options.Program); err != nil {
		return fmt.Errorf("%w: --program: %w", errUsage, err)
	}
	reports, err := runSeeds(ctx, out, flags)
	if err := errors.Join(err, soak.PrintTable(out, reports)); err != nil {
		return err
	}
	failed := 0
	for _, r := range reports {
		if r.Failed() {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%w in %d of %d runs", errSoakFailed, failed, len(reports))
	}
	return nil
}

// runSeeds runs all seeds, several at a time, and prints the reports of those that fail. It returns
// the reports of the runs that were carried out, in the order of the seeds.
func runSeeds(ctx context.Context, out io.Writer, flags *soakFlags) ([]*soak.Report, error) {
	var (
		mu       sync.Mutex // guards the variables below and out
		reports  = make([]*soak.Report, flags.seeds)
		errs     []error
		next     int
		runs     sync.WaitGroup
		takeSeed = func() int {
			mu.Lock()
			defer mu.Unlock()
			next++
			return next - 1
		}
	)
	for range flags.jobs {
		runs.Go(func() {
			for i := takeSeed(); i < flags.seeds && ctx.Err() == nil; i = takeSeed() {
				report, err := soak.Run(ctx, &flags.options, flags.seed+uint64(i))
				mu.Lock()
				reports[i] = report
				if err != nil {
					errs = append(errs, fmt.Errorf("seed %d: %w", flags.seed+uint64(i), err))
				} else if report.Failed() {
					report.Print(out)
				} else {
					console.Printf(out, "seed %d: no violation\n", report.Seed)
				}
				mu.Unlock()
			}
		})
	}
	runs.Wait()
	var carriedOut []*soak.Report
	for _, r := range reports {
		if r != nil {
			carriedOut = append(carriedOut, r)
		}
	}
	return carriedOut, errors.Join(errs...)
}
