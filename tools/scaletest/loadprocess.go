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

// LoadProcessFlag is the name of the flag that makes the scale command run as the load process of a
// plan file.
const LoadProcessFlag = "workers-of"

// loadProcess is the parent's handle of the load process, which simulates the workers, the cloud
// and the users. mu guards progress.
type loadProcess struct {
	cmd    *exec.Cmd
	stdin  io.WriteCloser
	result chan *LoadResult // closed at the end of the process's output

	mu       sync.Mutex
	progress Progress // latest progress received
}

// loadProcessConfig holds the parameters of startLoadProcess.
type loadProcessConfig struct {
	program       string
	plan          LoadPlan
	planDirectory string // receives the plan file
	logDirectory  string // receives the log of the process
}

// startLoadProcess writes the plan file, starts the load process, and reads its output in the
// background.
func startLoadProcess(ctx context.Context, c loadProcessConfig) (*loadProcess, error) {
	raw, err := json.Marshal(c.plan)
	if err != nil {
		return nil, fmt.Errorf("encoding the load plan: %w", err)
	}
	planFile := filepath.Join(c.planDirectory, "plan.json")
	if err := os.WriteFile(planFile, raw, ownerOnlyMode); err != nil {
		return nil, fmt.Errorf("writing the load plan: %w", err)
	}
	log, err := os.Create(filepath.Join(c.logDirectory, "workers.log"))
	if err != nil {
		return nil, fmt.Errorf("creating the log of the load process: %w", err)
	}
	defer func() { _ = log.Close() }() // the child process holds its own descriptor
	p := &loadProcess{result: make(chan *LoadResult, 1)}
	p.cmd = exec.CommandContext(ctx, c.program, "scale", "--"+LoadProcessFlag, planFile)
	p.cmd.Stderr, p.cmd.SysProcAttr = log, devcluster.ChildProcessAttributes()
	if p.stdin, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting the load process: %w", err)
	}
	go p.readOutput(stdout)
	return p, nil
}

// maxOutputLineBytes bounds one line of output of the load process. The whole result is one line.
const maxOutputLineBytes = 64 * bytesPerMB

// outputLine is one line of JSON that the load process writes: either a progress report or the
// result.
type outputLine struct {
	Progress *Progress   `json:"progress,omitempty"`
	Result   *LoadResult `json:"result,omitempty"`
}

// readOutput reads the output of the process to its end, and then closes result. Lines that are not
// JSON are ignored.
func (p *loadProcess) readOutput(out io.Reader) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, maxOutputLineBytes)
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

// sendLine writes a line to the process. The first line starts the load, the second one stops it
// and requests the result; the text of the lines is not read.
func (p *loadProcess) sendLine(line string) error {
	_, err := fmt.Fprintln(p.stdin, line)
	return err
}

func (p *loadProcess) pid() int { return p.cmd.Process.Pid }

// kill kills the process and waits until it has exited.
func (p *loadProcess) kill() {
	_ = p.cmd.Process.Kill() // the process may have exited already
	_ = p.cmd.Wait()         // the error only reports that the process was killed
}
