package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"robinstack/internal/rollout"
	"robinstack/tools/console"
)

func rolloutCommand() *cobra.Command {
	root := &cobra.Command{
		Use:   "rollout",
		Short: "See and steer the replacement of the controllers by those of another version",
	}
	root.AddCommand(rolloutStatusCommand())
	for verb, short := range map[string]string{
		rollout.CommandHold:  "Keep the level as it is until raise is given",
		rollout.CommandRaise: "Let the level rise again, also to one that closes the way back",
		rollout.CommandLower: "Take the feature off that came on last, or the one named, " +
			"and stay there until raise is given",
	} {
		root.AddCommand(rolloutVerbCommand(verb, short))
	}
	return root
}

func rolloutStatusCommand() *cobra.Command {
	var asJSON bool
	status := &cobra.Command{
		Use:   "status ADDRESS",
		Short: "Show the fleet's level, what it waits for, and what each controller knows",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := callRollout(cmd, http.MethodGet, "http://"+args[0]+"/rollout.json")
			if err != nil {
				return err
			}
			if asJSON {
				_, err = cmd.OutOrStdout().Write(append(body, '\n'))
				return err
			}
			return printRollout(cmd.OutOrStdout(), body)
		},
	}
	status.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	return status
}

// rolloutVerbCommand gives a person's command to a controller.
func rolloutVerbCommand(verb, short string) *cobra.Command {
	var reason, feature string
	c := &cobra.Command{
		Use: verb + " ADDRESS", Short: short, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			query := url.Values{"why": {reason}, "feature": {feature}}.Encode()
			body, err := callRollout(cmd, http.MethodPost, "http://"+args[0]+"/rollout/"+verb+"?"+query)
			if err != nil {
				return err
			}
			return printRollout(cmd.OutOrStdout(), body)
		},
	}
	c.Flags().StringVar(&reason, "why", "", "the reason, for those who look at the status later")
	if verb == rollout.CommandLower {
		c.Flags().StringVar(&feature, "feature", "", "the feature to take off")
	}
	return c
}

const (
	// rolloutTimeout is how long a controller may take to answer.
	rolloutTimeout = 6 * time.Second
	// maxRolloutBytes bounds its answer.
	maxRolloutBytes = 1 << 20
)

// callRollout sends a request to a controller and returns the status that it answers. The
// error is what the controller says, if it refuses.
func callRollout(cmd *cobra.Command, method, address string) ([]byte, error) {
	request, err := http.NewRequestWithContext(cmd.Context(), method, address, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	client := http.Client{Timeout: rolloutTimeout}
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("asking the controller: %w", err)
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRolloutBytes))
	if err != nil {
		return nil, fmt.Errorf("reading the answer: %w", err)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return body, nil
	case http.StatusNotFound:
		return nil, errors.New("this controller's version does not know roll-outs: ask one that has been replaced")
	}
	var refusal struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(body, &refusal) != nil || refusal.Error == "" {
		refusal.Error = response.Status
	}
	return nil, errors.New(refusal.Error)
}

// printRollout tells how a rollout stands, for people, given a controller's answer.
func printRollout(out io.Writer, body []byte) error {
	var s rollout.Status
	if err := json.Unmarshal(body, &s); err != nil {
		return fmt.Errorf("reading the answer: %w", err)
	}
	var rows strings.Builder
	fmt.Fprintf(&rows, "level\t%d\t%v\n", s.ClusterVersion, s.Features)
	for _, row := range []struct{ name, value string }{
		{"held", s.HoldReason},
		{"waits for", s.RaiseBlockedBy},
		{"move", s.Migration},
		{"lowering", s.LowerBlockedBy},
	} {
		if row.value != "" {
			fmt.Fprintf(&rows, "%s\t%s\n", row.name, row.value)
		}
	}
	if s.Next != nil {
		irreversible := ""
		if s.Next.Irreversible {
			irreversible = " (closes the way back)"
		}
		fmt.Fprintf(&rows, "next\t%d adds %s: %s%s\n",
			s.Next.ClusterVersion, s.Next.Feature, s.Next.Description, irreversible)
	}
	for k := range s.Controllers {
		c := &s.Controllers[k]
		fmt.Fprintf(&rows, "%s\t%s\tfor %.0f s\n", c.Host, describeController(c), c.StateAgeS)
	}
	for _, u := range s.Undecodable {
		fmt.Fprintf(&rows, "unreadable\t%s\t%s\n", u.Key, u.Reason)
	}
	return console.WriteTable(out, rows.String(), 0)
}

func describeController(c *rollout.ControllerStatus) string {
	switch {
	case c.RejectedReason != "":
		return "refused: " + c.RejectedReason
	case c.Alive && c.MissingForNext != "":
		return "build " + c.Build + " lacks " + c.MissingForNext
	case c.Alive:
		return "build " + c.Build
	}
	return "away"
}
