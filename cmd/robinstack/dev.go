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

// devFlags are what the command is told.
type devFlags struct {
	options   devcluster.Options
	sampleJob bool
	rollouts  devcluster.RolloutPlan
}

func devCommand() *cobra.Command {
	var flags devFlags
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a whole service on this machine, with stand-ins for everything around it",
		Args:  cobra.NoArgs,
		Long: "dev starts a state service, a cloud and workers that run small commands, all stand-ins on loopback, " +
			"and controllers as processes of their own. Interrupt it to end all of it.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runDevCluster(cmd.Context(), cmd.OutOrStdout(), &flags)
		},
	}
	f, o, r := cmd.Flags(), &flags.options, &flags.rollouts
	f.IntVar(&o.Port, "port", 7400, "first of the ports")
	f.IntVar(&o.Controllers, "controllers", 3, "how many controllers")
	f.StringArrayVar(&o.Programs, "controller", nil,
		"program of one controller, in their order; repeat it for more. The others run this program")
	f.StringVar(&o.Policy, "policy", "", "policy file for the controllers that run this program")
	f.StringVar(&o.LogDirectory, "logs", "", "directory for the controllers' logs; without it they go when all ends")
	f.IntVar(&o.MaxMachines, "machines", 24, "how many machines the cloud has")
	f.Float64Var(&o.GPUs, "gpus", 8, "GPUs of each machine")
	f.IntVar(&r.RunningTasks, "running", 20, "tasks that are to run at a time, for --rolls")
	f.Float64Var(&r.MeanSeconds, "seconds", 1.3, "how long a task runs on average, for --rolls")
	f.Float64Var(&r.MeanTasks, "tasks", 3, "tasks a job has on average, for --rolls")
	f.DurationVar(&r.Warmup, "warmup", 0, "time before the first roll, for --rolls")
	f.DurationVar(&r.MaxPause, "pause", 1500*time.Millisecond,
		"longest time between the end of a controller's start and the next one's end, for --rolls")
	f.BoolVar(&flags.sampleJob, "try", false, "submit a job, see it done, and end")
	f.IntVar(&r.Rollouts, "rolls", 0, "roll the controllers so many times from --former to this program and back "+
		"under load, killing them at any moment, and tell what was lost")
	f.StringVar(&r.FormerProgram, "former", "", "program of the former version, for --rolls")
	return cmd
}

// startTimeout is how long the service may take to be ready, and the sample job to be done.
const startTimeout = 30 * time.Second

func runDevCluster(ctx context.Context, out io.Writer, flags *devFlags) error {
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("finding this program: %w", err)
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
	return waitForEnd(ctx, cluster)
}

// printUsage tells what to do with the service.
func printUsage(out io.Writer, c *devcluster.Cluster) {
	address := c.ControllerAddress(0)
	console.Printf(out, "controllers answer users at %v; their logs are in %s\n",
		c.ControllerAddresses(), c.LogDirectory())
	console.Printf(out, "submit a job of four commands:\n\n"+
		"    curl -d '%s' http://%s/submissions\n    curl http://%[2]s/submissions/wk-1\n\n",
		devcluster.ExampleSubmission, address)
	console.Printf(out, "see who holds what, and how a roll-out stands:\n\n"+
		"    %s status %s\n    %[1]s rollout status %[2]s\n\n", os.Args[0], address)
}

// exitPoll is how often it is looked whether a controller has ended by itself.
const exitPoll = 200 * time.Millisecond

// waitForEnd returns once ctx ends, or with the name of a controller that ended by itself.
func waitForEnd(ctx context.Context, c *devcluster.Cluster) error {
	for ctx.Err() == nil {
		if err := c.UnexpectedExit(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
		case <-time.After(exitPoll):
		}
	}
	return nil
}
