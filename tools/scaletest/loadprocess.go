package scaletest

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"

	"robinstack/tools/devcluster"
)

// LoadProcessFlag is the flag under which this program runs the workers and users of a plan.
const LoadProcessFlag = "workers-of"

// loadProcess is the process of the workers and users, as the one that started it sees it.
// Its mutex guards progress.
type loadProcess struct {
	cmd    *exec.Cmd
	stdin  io.WriteCloser
	result chan *LoadResult // closed when the process has said all

	mu       sync.Mutex
	progress Progress // the latest
}

// loadProcessConfig says how to start the process.
type loadProcessConfig struct {
	program   string
	plan      LoadPlan
	directory string // for the plan
	logs      string // directory for its log
}

// startLoadProcess starts the process of the workers and users.
func startLoadProcess(ctx context.Context, c loadProcessConfig) (*loadProcess, error) {
	raw, err := json.Marshal(c.plan)
	if err != nil {
		return nil, fmt.Errorf("writing the plan: %w", err)
	}
	planFile := filepath.Join(c.directory, "plan.json")
	if err := os.WriteFile(planFile, raw, ownerOnly); err != nil {
		return nil, fmt.Errorf("writing the plan: %w", err)
	}
	log, err := os.Create(filepath.Join(c.logs, "workers.log"))
	if err != nil {
		return nil, fmt.Errorf("a log for the workers: %w", err)
	}
	defer func() { _ = log.Close() }() // the process has its own
	p := &loadProcess{result: make(chan *LoadResult, 1)}
	p.cmd = exec.CommandContext(ctx, c.program, "scale", "--"+LoadProcessFlag, planFile)
	p.cmd.Stderr, p.cmd.SysProcAttr = log, devcluster.ChildAttributes()
	if p.stdin, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting the workers: %w", err)
	}
	go p.read(stdout)
	return p, nil
}

// maxOutputBytes bounds a line of the process: its results are one.
const maxOutputBytes = 64 * bytesPerMB

// outputLine is a line that the process of the workers and users writes.
type outputLine struct {
	Progress *Progress   `json:"progress,omitempty"`
	Result   *LoadResult `json:"result,omitempty"`
}

// read reads what the process says until it ends.
func (p *loadProcess) read(out io.Reader) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, maxOutputBytes)
	for lines.Scan() {
		var line outputLine
		if json.Unmarshal(lines.Bytes(), &line) != nil {
			continue
		}
		if line.Progress != nil {
			p.setProgress(*line.Progress)
		}
		if line.Result != nil {
			p.result <- line.Result
		}
	}
	close(p.result)
}

func (p *loadProcess) setProgress(progress Progress) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.progress = progress
}

func (p *loadProcess) latestProgress() Progress {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.progress
}

// signal sends the process a line: the first has it begin, the second stop and sum up.
func (p *loadProcess) signal(line string) error {
	_, err := fmt.Fprintln(p.stdin, line)
	return err
}

func (p *loadProcess) pid() int { return p.cmd.Process.Pid }

// kill ends the process, and returns once it has ended.
func (p *loadProcess) kill() {
	_ = p.cmd.Process.Kill() // it may have ended
	_ = p.cmd.Wait()         // that it was killed
}
