// Command robinstack is a cluster scheduler's controller.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"robinstack/internal/config"
	"robinstack/internal/controller"
	"robinstack/internal/policy"
	"robinstack/internal/rollout"
)

// errUsage marks errors in what the operator gave.
var errUsage = errors.New("invalid settings")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "robinstack:", err)
		if errors.Is(err, errUsage) {
			os.Exit(2)
		}
		os.Exit(1)
	}
}

func command() *cobra.Command {
	var settingsPath, policyPath string
	root := &cobra.Command{
		Use:           "robinstack --config FILE",
		Short:         "Schedules jobs on rented machines",
		Long:          "robinstack runs one controller of the service, until it is ended. Settings come from the platform's file, and what operators set beyond it from a policy file.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if settingsPath == "" {
				return fmt.Errorf("%w: --config is missing", errUsage)
			}
			settings, err := config.Load(settingsPath)
			if err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			pol, err := loadPolicy(policyPath)
			if err != nil {
				return err
			}
			startLog()
			if settings.MemoryBytes > 0 {
				// Processor time is scarcer than memory: collect seldom while
				// there is room, and as often as needed near the limit.
				debug.SetMemoryLimit(settings.MemoryBytes * 6 / 10)
				debug.SetGCPercent(400)
			}
			return controller.New(settings, pol).Run(cmd.Context())
		},
	}
	root.Flags().StringVar(&settingsPath, "config", "", "the platform's settings file (JSON)")
	root.Flags().StringVar(&policyPath, "policy", "", "the operators' policy file")
	root.AddCommand(checkCommand(), statusCommand(), auditCommand(), rolloutCommand(), devCommand(), scaleCommand(), &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), rollout.BuildVersion) },
	})
	return root
}

func loadPolicy(path string) (*policy.Policy, error) {
	if path == "" {
		return policy.Default(), nil
	}
	p, err := policy.Load(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	return p, nil
}

func checkCommand() *cobra.Command {
	var policyPath, against string
	check := &cobra.Command{
		Use: "check FILE", Short: "Check a settings file and a policy file, or whether this build reads what is stored", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if against != "" {
				if err := checkAgainst(cmd.Context(), cmd.OutOrStdout(), against); err != nil || len(args) == 0 {
					return err
				}
			}
			if len(args) == 0 {
				return fmt.Errorf("%w: neither FILE nor --against is given", errUsage)
			}
			s, err := config.Load(args[0])
			if err != nil {
				return fmt.Errorf("%w: %w", errUsage, err)
			}
			if _, err := loadPolicy(policyPath); err != nil {
				return err
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%s is valid: %s, %d peers, %d teams\n", args[0], s.Host, len(s.Peers), len(s.Teams))
			return nil
		},
	}
	check.Flags().StringVar(&against, "against", "", "a dump of the state service (its answers to GET /keys), or its address: would this build read it?")
	check.Flags().StringVar(&policyPath, "policy", "", "the operators' policy file")
	return check
}

func statusCommand() *cobra.Command {
	var machines string
	status := &cobra.Command{
		Use: "status ADDRESS", Short: "Show who holds what, as JSON", Args: cobra.ExactArgs(1),
		Long: "status prints the status page of the controller that listens on ADDRESS (host:port): totals, and machines one by one on request.",
		RunE: func(cmd *cobra.Command, args []string) error {
			client := http.Client{Timeout: 5 * time.Second}
			resp, err := client.Get("http://" + args[0] + "/status.json?" + url.Values{"machines": {machines}}.Encode())
			if err != nil {
				return fmt.Errorf("reading the status: %w", err)
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return fmt.Errorf("reading the status: %s", resp.Status)
			}
			_, err = io.Copy(cmd.OutOrStdout(), resp.Body)
			return err
		},
	}
	status.Flags().StringVar(&machines, "machines", "", `list machines with their tasks: "all", or the name of one`)
	return status
}

func startLog() {
	level := slog.LevelInfo
	switch strings.ToLower(os.Getenv("LOG_LEVEL")) {
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
}
