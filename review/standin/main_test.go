// Package standin plays the platform, the workers and the users for the cases of the review, and
// starts the controllers as separate processes. It writes a record and exits with 1 if the rule of
// the case was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the
// environment it leaves out the disruption.
//
// The package has test files only, because it is no part of what the project ships: build.sh builds
// it as a test program. Without -case, that program has nothing to do.
package standin

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// Exit codes.
const (
	ruleHeld = iota
	ruleBroken
	couldNotRun
)

// runLimit ends a case that takes too long.
const runLimit = 118 * time.Second

// scenario plays one case. It returns errBroken if the rule was broken.
type scenario func(ctx context.Context, c *cluster, trouble bool) error

var errBroken = errors.New("the rule was broken")

var scenarios = map[string]scenario{
	"refused": refusedOwner,
	"crash":   crashWithSplitJob,
	"spread":  spreadGang,
	"onezone": oneZoneArrays,
}

func TestMain(m *testing.M) {
	name := flag.String("case", "", "name of the case")
	directory := flag.String("dir", "", "folder of the case, which gets the record")
	program := flag.String("program", "target/robinstack", "program of the controllers")
	flag.Parse()
	if *name == "" {
		os.Exit(m.Run())
	}
	os.Exit(run(*name, *directory, *program))
}

func run(name, directory, program string) int {
	play := scenarios[name]
	if play == nil {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return couldNotRun
	}
	r, err := newRecord(filepath.Join(directory, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	r.add("case %s, with the disruption: %t", name, trouble)
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	c, err := startCluster(ctx, r, program)
	defer c.stop()
	if err == nil {
		err = play(ctx, c, trouble)
	}
	switch {
	case err == nil:
		r.add("result: the rule held")
		return ruleHeld
	case errors.Is(err, errBroken):
		r.add("result: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return ruleBroken
	}
	r.add("result: the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return couldNotRun
}
