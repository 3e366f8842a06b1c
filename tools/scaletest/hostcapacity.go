package scaletest

import (
	"fmt"
	"math"

	"github.com/shirou/gopsutil/v4/mem"
)

// HostCapacity bounds what a run may use of the host that it runs on.
type HostCapacity struct {
	MemoryMB            float64
	Processes           int
	OpenFilesPerProcess int
}

// A run may use half of the host's memory and at most 200 processes.
const (
	hostMemoryShare = 0.5
	maxProcesses    = 200
)

// MeasureHostCapacity returns what a run may use of this host.
func MeasureHostCapacity() (HostCapacity, error) {
	memory, err := mem.VirtualMemory()
	if err != nil {
		return HostCapacity{}, fmt.Errorf("reading the size of the host's memory: %w", err)
	}
	return HostCapacity{
		MemoryMB:            hostMemoryShare * float64(memory.Total) / bytesPerMB,
		Processes:           maxProcesses,
		OpenFilesPerProcess: openFileLimit(),
	}, nil
}

// Minimum use of a run, for the estimate before it starts. Memory is also checked against the limit
// while the run goes on.
const (
	idleControllerMemoryMB       = 40.0  // of a controller with little load
	controllerMemoryMBPerMachine = 0.035 // each controller watches the entries of all machines
	simulatedWorkerMemoryMB      = 0.12  // its connections included
	openFilesPerWorker           = 6     // of the load process: listener, heartbeat and command connections
	otherOpenFiles               = 2000  // of the load process: simulated users and cloud
	otherProcesses               = 2     // the load process and this process
)

// CheckCapacity returns an ErrInsufficientCapacity that names the missing resource and its amounts
// if a rough estimate of the run's use exceeds the capacity of the host.
func (p *Profile) CheckCapacity(host HostCapacity) error {
	workers, controllers := float64(p.Machines()), float64(p.Controllers.Count)
	memory := controllers*math.Min(
		p.Controllers.MemoryMB, idleControllerMemoryMB+controllerMemoryMBPerMachine*workers,
	) + simulatedWorkerMemoryMB*workers
	openFiles := openFilesPerWorker*p.Machines() + otherOpenFiles
	processes := p.Controllers.Count + otherProcesses
	switch {
	case memory > host.MemoryMB:
		return fmt.Errorf("%w: about %.0f MB of memory are needed, %.0f MB are allowed (half of the host's memory)",
			ErrInsufficientCapacity, memory, host.MemoryMB)
	case processes > host.Processes:
		return fmt.Errorf("%w: %d processes are needed, %d are allowed",
			ErrInsufficientCapacity, processes, host.Processes)
	case openFiles > host.OpenFilesPerProcess:
		return fmt.Errorf("%w: about %d open files are needed in one process, %d are allowed",
			ErrInsufficientCapacity, openFiles, host.OpenFilesPerProcess)
	}
	return nil
}
