// Command robinstack is the controller of a cluster scheduler, together with the tools to run,
// observe and measure it. It parses flags and arguments and calls other packages, which hold all
// state. It may import any package except emulator.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"robinstack/internal/config"
	"robinstack/internal/controller"
	"robinstack/internal/policy"
	"robinstack/internal/rollout"
	"robinstack/tools/console"
)

// errUsage marks errors in arguments, flags and the files that the operator names.
var errUsage = errors.New("invalid settings")

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := rootCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "robinstack:", err)
		if errors.Is(err, errUsage) {
			os.Exit(exitUsage)
		}
		os.Exit(exitFailure)
	}
}

func rootCommand() *cobra.Command {
	var settingsPath, policyPath string
	root := &cobra.Command{
		Use:   "robinstack --config FILE",
		Short: "Schedule jobs on cloud machines",
		Long: "robinstack runs one controller until it is interrupted. The settings come from the platform's " +
			"settings file, and further settings of the operators from a policy file.",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := newController(settingsPath, policyPath)
			if err != nil {
				return err
			}
			return c.Run(cmd.Context())
		},
	}
	root.Flags().StringVar(&settingsPath, "config", "", "the platform's settings file (JSON)")
	root.Flags().StringVar(&policyPath, "policy", "", "the operators' policy file")
	root.AddCommand(checkCommand(), statusCommand(), auditCommand(), rolloutCommand(), devCommand(), scaleCommand(),
		soakCommand(), versionCommand())
	return root
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { console.Printf(cmd.OutOrStdout(), "%s\n", rollout.BuildVersion) },
	}
}

// CPU time is scarcer than memory. The garbage collector of Go therefore runs rarely while memory
// is available, and as often as needed near the memory limit. The limit is six tenths of the memory
// that the settings allot to the controller.
const (
	memoryLimitTenths = 6
	gcPercent         = 400
)

// newController returns a controller that does not run yet, and configures logging and memory use
// of this process.
func newController(settingsPath, policyPath string) (*controller.Controller, error) {
	if settingsPath == "" {
		return nil, fmt.Errorf("%w: --config is missing", errUsage)
	}
	settings, err := config.Load(settingsPath)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	operatorPolicy, err := loadPolicy(policyPath)
	if err != nil {
		return nil, err
	}
	configureLogging()
	if settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(settings.MemoryBytes * memoryLimitTenths / 10)
		debug.SetGCPercent(gcPercent)
	}
	return controller.New(settings, operatorPolicy), nil
}

// loadPolicy reads the operators' policy file; an empty path selects the default policy.
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

// configureLogging sends the log to standard error, at the level in LOG_LEVEL: error, debug, or
// info for any other value.
func configureLogging() {
	level := slog.LevelInfo
	switch strings.ToLower(os.Getenv("LOG_LEVEL")) {
	case "error":
		level = slog.LevelError
	case "debug":
		level = slog.LevelDebug
	}
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
}
