package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/spf13/cobra"
)

// statusTimeout bounds the request for a status page.
const statusTimeout = 5 * time.Second

func statusCommand() *cobra.Command {
	var machines string
	status := &cobra.Command{
		Use: "status ADDRESS", Short: "Print the status page of a controller as JSON", Args: cobra.ExactArgs(1),
		Long: "status prints the status page of the controller that listens on ADDRESS (host:port): totals, " +
			"and single machines on request.",
		RunE: func(cmd *cobra.Command, args []string) error {
			return printStatus(cmd.Context(), cmd.OutOrStdout(), args[0], machines)
		},
	}
	status.Flags().StringVar(&machines, "machines", "", `list machines with their tasks: "all", or one machine's name`)
	return status
}

func printStatus(ctx context.Context, out io.Writer, address, machines string) error {
	pageURL := "http://" + address + "/status.json?" + url.Values{"machines": {machines}}.Encode()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, pageURL, nil)
	if err != nil {
		return fmt.Errorf("reading the status page: %w", err)
	}
	client := http.Client{Timeout: statusTimeout}
	response, err := client.Do(request)
	if err != nil {
		return fmt.Errorf("reading the status page: %w", err)
	}
	defer func() { _ = response.Body.Close() }() // the body has been read
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("reading the status page: %s answered %s", address, response.Status)
	}
	_, err = io.Copy(out, response.Body)
	return err
}
