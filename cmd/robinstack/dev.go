package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"robinstack/tools/devcluster"
)

func devCommand() *cobra.Command {
	var o devcluster.Options
	var try bool
	var load devcluster.RolloutPlan
	cmd := &cobra.Command{
		Use: "dev", Short: "Run a whole service on this machine, with stand-ins for everything around it", Args: cobra.NoArgs,
		Long: "dev starts a state service, a cloud and workers that run small commands, all stand-ins on loopback, and controllers as processes of their own. Interrupt it to end all of it.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, out := cmd.Context(), cmd.OutOrStdout()
			program, err := os.Executable()
			if err != nil {
				return fmt.Errorf("finding this program: %w", err)
			}
			o.Program = program
			f, err := devcluster.Start(ctx, o)
			if err != nil {
				return err
			}
			defer f.Stop()
			rctx, cancel := context.WithTimeout(ctx, 30*time.Second)
			defer cancel()
			if err := f.WaitUntilReady(rctx); err != nil {
				return err
			}
			switch {
			case load.Rollouts > 0:
				return f.RunRollouts(ctx, out, load)
			case try:
				return f.RunSampleJob(rctx, out)
			}
			fmt.Fprintf(out, "controllers answer users at %v; their logs are in %s\n", f.ControllerAddresses(), f.LogDirectory())
			fmt.Fprintf(out, "submit a job of four commands:\n\n    curl -d '%s' http://%s/submissions\n    curl http://%[2]s/submissions/wk-1\n\n", devcluster.ExampleSubmission, f.ControllerAddress(0))
			fmt.Fprintf(out, "see who holds what, and how a roll-out stands:\n\n    %s status %s\n    %[1]s rollout status %[2]s\n\n", os.Args[0], f.ControllerAddress(0))
			for ctx.Err() == nil {
				if err := f.UnexpectedExit(); err != nil {
					return err
				}
				select {
				case <-ctx.Done():
				case <-time.After(200 * time.Millisecond):
				}
			}
			return nil
		},
	}
	cmd.Flags().IntVar(&o.Port, "port", 7400, "first of the ports")
	cmd.Flags().IntVar(&o.Controllers, "controllers", 3, "how many controllers")
	cmd.Flags().StringArrayVar(&o.Programs, "controller", nil, "program of one controller, in their order; repeat it for more. The others run this program")
	cmd.Flags().StringVar(&o.Policy, "policy", "", "policy file for the controllers that run this program")
	cmd.Flags().StringVar(&o.LogDirectory, "logs", "", "directory for the controllers' logs; without it they go when all ends")
	cmd.Flags().IntVar(&o.MaxMachines, "machines", 24, "how many machines the cloud has")
	cmd.Flags().Float64Var(&o.GPUs, "gpus", 8, "GPUs of each machine")
	cmd.Flags().IntVar(&load.RunningTasks, "running", 20, "tasks that are to run at a time, for --rolls")
	cmd.Flags().Float64Var(&load.MeanSeconds, "seconds", 1.3, "how long a task runs on average, for --rolls")
	cmd.Flags().Float64Var(&load.MeanTasks, "tasks", 3, "tasks a job has on average, for --rolls")
	cmd.Flags().DurationVar(&load.Warmup, "warmup", 0, "time before the first roll, for --rolls")
	cmd.Flags().DurationVar(&load.MaxPause, "pause", 1500*time.Millisecond, "longest time between the end of a controller's start and the next one's end, for --rolls")
	cmd.Flags().BoolVar(&try, "try", false, "submit a job, see it done, and end")
	cmd.Flags().IntVar(&load.Rollouts, "rolls", 0, "roll the controllers so many times from --former to this program and back under load, killing them at any moment, and tell what was lost")
	cmd.Flags().StringVar(&load.FormerProgram, "former", "", "program of the former version, for --rolls")
	return cmd
}
