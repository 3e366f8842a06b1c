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
		Short: "Show and control a rolling upgrade of the controllers",
	}
	root.AddCommand(rolloutStatusCommand())
	for verb, short := range map[string]string{
		rollout.CommandHold:  "Hold the cluster version until the raise command",
		rollout.CommandRaise: "Allow the cluster version to be raised again, also to an irreversible one",
		rollout.CommandLower: "Disable the feature that was enabled last, or the given one, " +
			"and hold the cluster version until the raise command",
	} {
		root.AddCommand(rolloutVerbCommand(verb, short))
	}
	return root
}

func rolloutStatusCommand() *cobra.Command {
	var asJSON bool
	status := &cobra.Command{
		Use:   "status ADDRESS",
		Short: "Show the cluster version (level), what blocks raising it, and the build of each controller",
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

// rolloutVerbCommand returns the command that sends a rollout command to a controller.
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
	c.Flags().StringVar(&reason, "why", "", "reason to show in the roll-out status")
	if verb == rollout.CommandLower {
		c.Flags().StringVar(&feature, "feature", "", "feature to disable")
	}
	return c
}

const (
	// rolloutTimeout bounds a request to a controller.
	rolloutTimeout = 6 * time.Second
	// maxRolloutBytes bounds the controller's response.
	maxRolloutBytes = 1 << 20
)

// callRollout sends a request to a controller and returns the rollout status in its response. If
// the controller rejects the request, the error gives its reason.
func callRollout(cmd *cobra.Command, method, address string) ([]byte, error) {
	request, err := http.NewRequestWithContext(cmd.Context(), method, address, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errUsage, err)
	}
	client := http.Client{Timeout: rolloutTimeout}
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("calling the controller: %w", err)
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	body, err := io.ReadAll(io.LimitReader(response.Body, maxRolloutBytes))
	if err != nil {
		return nil, fmt.Errorf("reading the controller's response: %w", err)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return body, nil
	case http.StatusNotFound:
		return nil, errors.New("this controller's build has no roll-out commands: call an upgraded controller")
	}
	var rejection struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(body, &rejection) != nil || rejection.Error == "" {
		rejection.Error = response.Status
	}
	return nil, errors.New(rejection.Error)
}

// printRollout prints the rollout status in a controller's response as a table.
func printRollout(out io.Writer, body []byte) error {
	var s rollout.Status
	if err := json.Unmarshal(body, &s); err != nil {
		return fmt.Errorf("decoding the controller's response: %w", err)
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
