package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"robinstack/tools/console"
	"robinstack/tools/devcluster"
)

// devFlags are the flags of the dev command.
type devFlags struct {
	options   devcluster.Options
	sampleJob bool
	rollouts  devcluster.RolloutPlan
}

func devCommand() *cobra.Command {
	var flags devFlags
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a local cluster with emulators of the services that controllers need",
		Args:  cobra.NoArgs,
		Long: "dev starts emulators of the state service, the cloud and workers that run small commands, all on " +
			"loopback, and controllers as separate processes. Interrupt it to stop the whole cluster.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runDevCluster(cmd.Context(), cmd.OutOrStdout(), &flags)
		},
	}
	f, o, r := cmd.Flags(), &flags.options, &flags.rollouts
	f.IntVar(&o.Port, "port", 7400, "first of the consecutive ports to use")
	f.IntVar(&o.Controllers, "controllers", 3, "number of controllers")
	f.StringArrayVar(&o.Programs, "controller", nil,
		"program of a controller; repeat the flag for the next ones in order. The others run this program")
	f.StringVar(&o.Policy, "policy", "", "policy file for the controllers that run this program")
	f.StringVar(&o.LogDirectory, "logs", "", "directory for the controllers' logs; by default they are deleted at exit")
	f.IntVar(&o.MaxMachines, "machines", 24, "number of machines that the cloud has")
	f.Float64Var(&o.GPUs, "gpus", 8, "GPUs of each machine")
	f.IntVar(&r.RunningTasks, "running", 20, "target number of tasks running at a time, for --rolls")
	f.Float64Var(&r.MeanTaskSeconds, "seconds", 1.3, "mean run time of a task in seconds, for --rolls")
	f.Float64Var(&r.MeanTasksPerJob, "tasks", 3, "mean number of tasks of a job, for --rolls")
	f.DurationVar(&r.Warmup, "warmup", 0, "time before the first replacement of the controllers, for --rolls")
	f.DurationVar(&r.MaxPause, "pause", 1500*time.Millisecond,
		"maximum pause after a controller has started, before the next one is killed, for --rolls")
	f.BoolVar(&flags.sampleJob, "try", false, "submit a sample job, wait until it is done, and exit")
	f.IntVar(&r.Rollouts, "rolls", 0, "how many times to upgrade the controllers from --former to this program "+
		"and back, under load, killing them at any moment; reports what was lost")
	f.StringVar(&r.PreviousProgram, "former", "", "program of the previous version, for --rolls")
	return cmd
}

// startTimeout bounds the time until the cluster is ready and, with --try, until the sample job is
// done.
const startTimeout = 30 * time.Second

func runDevCluster(ctx context.Context, out io.Writer, flags *devFlags) error {
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("locating the executable of this program: %w", err)
	}
	flags.options.Program = program
	cluster, err := devcluster.Start(ctx, flags.options)
	if err != nil {
		return err
	}
	defer cluster.Stop()
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := cluster.WaitUntilReady(startCtx); err != nil {
		return err
	}
	switch {
	case flags.rollouts.Rollouts > 0:
		return cluster.RunRollouts(ctx, out, flags.rollouts)
	case flags.sampleJob:
		return cluster.RunSampleJob(startCtx, out)
	}
	printUsage(out, cluster)
	return waitForExit(ctx, cluster)
}

// printUsage prints example commands for the running cluster.
func printUsage(out io.Writer, c *devcluster.Cluster) {
	address := c.ControllerAddress(0)
	console.Printf(out, "controllers answer users at %v; their logs are in %s\n",
		c.ControllerAddresses(), c.LogDirectory())
	console.Printf(out, "submit a job of four commands:\n\n"+
		"    curl -d '%s' http://%s/submissions\n    curl http://%[2]s/submissions/wk-1\n\n",
		devcluster.ExampleSubmission, address)
	console.Printf(out, "show the status of the cluster and of a roll-out:\n\n"+
		"    %s status %s\n    %[1]s rollout status %[2]s\n\n", os.Args[0], address)
}

// exitPollInterval is the interval at which the controllers are checked for unexpected exits.
const exitPollInterval = 200 * time.Millisecond

// waitForExit returns nil once ctx is cancelled, or an error once a controller has exited
// unexpectedly.
func waitForExit(ctx context.Context, c *devcluster.Cluster) error {
	for ctx.Err() == nil {
		if err := c.UnexpectedExit(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(exitPollInterval):
		}
	}
	return nil
}
