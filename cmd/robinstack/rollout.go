package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"robinstack/internal/rollout"
	"robinstack/internal/statekv"
)

func rolloutCommand() *cobra.Command {
	root := &cobra.Command{Use: "rollout", Short: "See and steer the replacement of the controllers by those of another version"}
	var asJSON bool
	status := &cobra.Command{
		Use: "status ADDRESS", Short: "Show the fleet's level, what it waits for, and what each controller knows", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return rolloutCall(cmd, http.MethodGet, "http://"+args[0]+"/rollout.json", asJSON)
		},
	}
	status.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	root.AddCommand(status)
	for verb, short := range map[string]string{
		rollout.CommandHold:  "Keep the level as it is until raise is given",
		rollout.CommandRaise: "Let the level rise again, also to one that closes the way back",
		rollout.CommandLower: "Take the feature off that came on last, or the one named, and stay there until raise is given",
	} {
		var why, feature string
		c := &cobra.Command{
			Use: verb + " ADDRESS", Short: short, Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return rolloutCall(cmd, http.MethodPost, "http://"+args[0]+"/rollout/"+verb+"?"+url.Values{"why": {why}, "feature": {feature}}.Encode(), false)
			},
		}
		c.Flags().StringVar(&why, "why", "", "the reason, for those who look at the status later")
		if verb == rollout.CommandLower {
			c.Flags().StringVar(&feature, "feature", "", "the feature to take off")
		}
		root.AddCommand(c)
	}
	return root
}

// rolloutCall sends a request to a controller and prints the status that it answers.
func rolloutCall(cmd *cobra.Command, method, url string, asJSON bool) error {
	req, err := http.NewRequestWithContext(cmd.Context(), method, url, nil)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	client := http.Client{Timeout: 6 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("asking the controller: %w", err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return fmt.Errorf("reading the answer: %w", err)
	}
	if resp.StatusCode == http.StatusNotFound {
		return errors.New("this controller's version does not know roll-outs: ask one that has been replaced")
	}
	if resp.StatusCode != http.StatusOK {
		var failed struct {
			Error string `json:"error"`
		}
		if json.Unmarshal(body, &failed) != nil || failed.Error == "" {
			failed.Error = resp.Status
		}
		return errors.New(failed.Error)
	}
	if asJSON {
		_, err = cmd.OutOrStdout().Write(append(body, '\n'))
		return err
	}
	var s rollout.Status
	if err := json.Unmarshal(body, &s); err != nil {
		return fmt.Errorf("reading the answer: %w", err)
	}
	return printRollout(cmd.OutOrStdout(), &s)
}

func printRollout(w io.Writer, s *rollout.Status) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "level\t%d\t%v\n", s.ClusterVersion, s.Features)
	for _, line := range [][2]string{{"held", s.HoldReason}, {"waits for", s.RaiseBlockedBy}, {"move", s.Migration}, {"lowering", s.LowerBlockedBy}} {
		if line[1] != "" {
			fmt.Fprintf(t, "%s\t%s\n", line[0], line[1])
		}
	}
	if s.Next != nil {
		closes := ""
		if s.Next.Irreversible {
			closes = " (closes the way back)"
		}
		fmt.Fprintf(t, "next\t%d adds %s: %s%s\n", s.Next.ClusterVersion, s.Next.Feature, s.Next.Description, closes)
	}
	for _, n := range s.Controllers {
		state := "away"
		switch {
		case n.RejectedReason != "":
			state = "refused: " + n.RejectedReason
		case n.Alive && n.MissingForNext != "":
			state = "build " + n.Build + " lacks " + n.MissingForNext
		case n.Alive:
			state = "build " + n.Build
		}
		fmt.Fprintf(t, "%s\t%s\tfor %.0f s\n", n.Host, state, n.StateAgeS)
	}
	for _, b := range s.Undecodable {
		fmt.Fprintf(t, "unreadable\t%s\t%s\n", b.Key, b.Reason)
	}
	return t.Flush()
}

// checkAgainst tells whether this build reads what is stored: in a file of answers to
// GET /keys, or in the state service at an address.
func checkAgainst(ctx context.Context, w io.Writer, what string) error {
	var r *rollout.CompatibilityReport
	f, err := os.Open(what)
	if err == nil {
		defer f.Close()
		r, err = rollout.CheckDump(f)
	} else if _, _, split := net.SplitHostPort(what); split == nil {
		r, err = rollout.CheckStore(ctx, statekv.NewClient(what, 20, 1, 1))
	}
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if err := r.Print(w); err != nil {
		return err
	}
	if !r.Compatible() {
		return errors.New("this build does not read all that is stored")
	}
	return nil
}
