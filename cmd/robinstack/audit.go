package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"robinstack/internal/config"
	"robinstack/tools/audit"
	"robinstack/tools/console"
)

// auditFlags are the flags of the audit command.
type auditFlags struct {
	charged   float64
	json      bool
	deadlines bool
	task      string // follow this task instead; "": none
	settings  string // settings file with the objectives; "" prints the costs instead
}

func auditCommand() *cobra.Command {
	var flags auditFlags
	cmd := &cobra.Command{
		Use: "audit LOG...", Short: "Break down the cost of the machines by use", Args: cobra.MinimumNArgs(1),
		Long: "audit reads the logs of all controllers (- for standard input) and breaks down the cost of the " +
			"machines by how their time was used. Malformed lines are reported and skipped.",
		RunE: func(cmd *cobra.Command, args []string) error {
			if flags.task != "" {
				return followTask(args, cmd.InOrStdin(), cmd.OutOrStdout(), flags.task)
			}
			log, err := readLogs(args, cmd.InOrStdin())
			if err != nil {
				return err
			}
			printProblems(cmd.ErrOrStderr(), log.Problems)
			if flags.settings != "" {
				return printServiceLevels(cmd.OutOrStdout(), log, &flags)
			}
			return printBill(cmd.OutOrStdout(), log, &flags)
		},
	}
	cmd.Flags().Float64Var(&flags.charged, "charged", 0,
		"amount that the cloud charged, to compare with the sum of the breakdown")
	cmd.Flags().StringVar(&flags.task, "task", "", "instead of costs, print in order of time what the logs of all "+
		"controllers say of this task, of its machines, and of who led and owned meanwhile")
	cmd.Flags().BoolVar(&flags.json, "json", false, "print as JSON")
	cmd.Flags().StringVar(&flags.settings, "served", "", "the platform's settings file: instead of costs, print for "+
		"each class and team how many jobs were started, and done within their objectives")
	cmd.Flags().BoolVar(&flags.deadlines, "orders", false,
		"also compute how many deadlines another queue order could have met")
	return cmd
}

// maxShownProblems bounds how many malformed log lines are printed.
const maxShownProblems = 10

func printProblems(out io.Writer, problems []audit.Problem) {
	for k, p := range problems {
		if k == maxShownProblems {
			console.Printf(out, "and %d more lines\n", len(problems)-k)
			return
		}
		console.Printf(out, "%v\n", p)
	}
}

// noDataError reports that a log has no data of the kind that the command needs.
func noDataError(log *audit.Log, subject string) error {
	return fmt.Errorf("%w: no %s in %d controller log lines (%d others, %d malformed): is LOG_LEVEL info or debug?",
		errUsage, subject, log.Lines, log.Unrecognized, len(log.Problems))
}

// printBill prints the cost breakdown and, with --orders, the outcomes of the deadlines.
func printBill(out io.Writer, log *audit.Log, flags *auditFlags) error {
	bill := log.Bill()
	if bill.Machines == 0 {
		return noDataError(log, "machine with a price")
	}
	if flags.json {
		return json.NewEncoder(out).Encode(bill)
	}
	if err := bill.Print(out, flags.charged); err != nil || !flags.deadlines {
		return err
	}
	return audit.PrintDeadlineOutcomes(out, log.DeadlineOutcomes())
}

// printServiceLevels prints how many jobs met the users' objectives in the settings file.
func printServiceLevels(out io.Writer, log *audit.Log, flags *auditFlags) error {
	settings, err := config.Load(flags.settings)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	classes, teams := log.ServiceLevels(func(class string, deadline time.Duration) time.Duration {
		var deadlineS *float64
		if s := deadline.Seconds(); deadline > 0 {
			deadlineS = &s
		}
		if targets := settings.CompletionTargets(class, deadlineS); len(targets) > 0 {
			return targets[0]
		}
		return 0
	})
	if len(classes) == 0 {
		return noDataError(log, "accepted job")
	}
	if flags.json {
		return json.NewEncoder(out).Encode(map[string][]audit.ServiceLevel{"classes": classes, "teams": teams})
	}
	return audit.PrintServiceLevels(out, classes, teams)
}

// readLogs reads the files as one log; "-" is standard input.
func readLogs(paths []string, stdin io.Reader) (*audit.Log, error) {
	logs, closeLogs, err := openLogs(paths, stdin)
	defer closeLogs()
	if err != nil {
		return nil, err
	}
	var readers []io.Reader
	for _, log := range logs {
		readers = append(readers, log)
	}
	return audit.Read(io.MultiReader(readers...))
}

// openLogs opens logs; - stands for standard input. The caller must call closeLogs, also after an
// error.
func openLogs(paths []string, stdin io.Reader) (logs []audit.NamedLog, closeLogs func(), err error) {
	var files []*os.File
	closeLogs = func() {
		for _, f := range files {
			_ = f.Close() // opened for reading only
		}
	}
	for _, p := range paths {
		if p == "-" {
			logs = append(logs, audit.NamedLog{Name: p, Reader: stdin})
			continue
		}
		f, err := os.Open(p)
		if err != nil {
			return nil, closeLogs, fmt.Errorf("%w: opening a controller log: %w", errUsage, err)
		}
		files = append(files, f)
		logs = append(logs, audit.NamedLog{Name: filepath.Base(p), Reader: f})
	}
	return logs, closeLogs, nil
}

// followTask prints what the logs say of a task.
func followTask(paths []string, stdin io.Reader, out io.Writer, task string) error {
	logs, closeLogs, err := openLogs(paths, stdin)
	defer closeLogs()
	if err != nil {
		return err
	}
	lines, err := audit.Follow(logs, task)
	if err != nil {
		return fmt.Errorf("%w: --task: %w", errUsage, err)
	}
	if len(lines) == 0 {
		return fmt.Errorf("%w: no line names %s: is LOG_LEVEL info or debug?", errUsage, task)
	}
	for _, line := range lines {
		console.Printf(out, "%s %s %s\n", line.At.UTC().Format("15:04:05.000"), line.Log, line.Text)
	}
	return nil
}
