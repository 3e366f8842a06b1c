package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"

	"github.com/spf13/cobra"

	"robinstack/internal/config"
	"robinstack/internal/rollout"
	"robinstack/internal/statekv"
	"robinstack/tools/console"
)

func checkCommand() *cobra.Command {
	var policyPath, against string
	check := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a settings file and a policy file, or whether this build can read the stored data",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if against != "" {
				if err := checkCompatibility(cmd, against); err != nil || len(args) == 0 {
					return err
				}
			}
			if len(args) == 0 {
				return fmt.Errorf("%w: neither FILE nor --against is given", errUsage)
			}
			return checkSettings(cmd.OutOrStdout(), args[0], policyPath)
		},
	}
	check.Flags().StringVar(&against, "against", "",
		"check that this build can read a state service's data: its address, or a file of its responses to GET /keys")
	check.Flags().StringVar(&policyPath, "policy", "", "the operators' policy file")
	return check
}

// checkSettings checks a settings file, and a policy file unless its path is "".
func checkSettings(out io.Writer, settingsPath, policyPath string) error {
	s, err := config.Load(settingsPath)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if _, err := loadPolicy(policyPath); err != nil {
		return err
	}
	console.Printf(out, "%s is valid: %s, %d peers, %d teams\n", settingsPath, s.Host, len(s.Peers), len(s.Teams))
	return nil
}

// Limits of the requests that a check sends to the state service. A check runs beside the
// controllers and writes nothing.
const (
	checkRequestsPerSecond = 20
	checkWritesPerSecond   = 1
	checkControllers       = 1
)

// checkCompatibility reports whether this build can read the stored data: in a file of responses to
// GET /keys, or in the state service at an address.
func checkCompatibility(cmd *cobra.Command, source string) error {
	report, err := readStored(cmd, source)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if err := report.Print(cmd.OutOrStdout()); err != nil {
		return err
	}
	if !report.Compatible() {
		return errors.New("this build is not compatible with the stored data")
	}
	return nil
}

func readStored(cmd *cobra.Command, source string) (*rollout.CompatibilityReport, error) {
	dump, err := os.Open(source)
	if err == nil {
		defer func() { _ = dump.Close() }() // opened for reading only
		return rollout.CheckDump(dump)
	}
	if _, _, notAnAddress := net.SplitHostPort(source); notAnAddress != nil {
		return nil, err
	}
	client := statekv.NewClient(source, checkRequestsPerSecond, checkWritesPerSecond, checkControllers)
	return rollout.CheckStore(cmd.Context(), client)
}
