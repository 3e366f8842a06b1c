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
		Short: "Check a settings file and a policy file, or whether this build reads what is stored",
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
		"a dump of the state service (its answers to GET /keys), or its address: would this build read it?")
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

// A check reads the state service at this rate, as one that is no controller, and writes
// nothing.
const (
	checkRequestsPerSecond = 20
	checkChangesPerSecond  = 1
	checkControllers       = 1
)

// checkCompatibility tells whether this build reads what is stored: in a file of answers to
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
		return errors.New("this build does not read all that is stored")
	}
	return nil
}

func readStored(cmd *cobra.Command, source string) (*rollout.CompatibilityReport, error) {
	dump, err := os.Open(source)
	if err == nil {
		defer func() { _ = dump.Close() }() // it was read only
		return rollout.CheckDump(dump)
	}
	if _, _, notAnAddress := net.SplitHostPort(source); notAnAddress != nil {
		return nil, err
	}
	client := statekv.NewClient(source, checkRequestsPerSecond, checkChangesPerSecond, checkControllers)
	return rollout.CheckStore(cmd.Context(), client)
}
