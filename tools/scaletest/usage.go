package scaletest

import (
	"time"

	"github.com/shirou/gopsutil/v4/process"
)

// Usage is what a process used, by the system's own accounts.
type Usage struct {
	CPUSeconds   float64 `json:"cpu_s"`
	MeanCores    float64 `json:"cores_mean"` // from the warm-up's end on
	MaxCores     float64 `json:"cores_most"` // in one second
	MaxMemoryMB  float64 `json:"memory_mb_most"`
	MaxOpenFiles int32   `json:"files_most"` // sockets among them
	MaxThreads   int32   `json:"threads_most"`
}

// usageMeter follows what a process uses. A process that was replaced goes on under its
// meter.
type usageMeter struct {
	pid       int32
	process   *process.Process
	cpuBefore float64 // CPU seconds of the processes that were replaced
	cpu       float64 // CPU seconds in all, as of sampledAt
	sampledAt time.Time
	warmCPU   float64 // CPU seconds at the warm-up's end
	warmAt    time.Time
	usage     Usage
}

const bytesPerMB = 1 << 20

// sample takes a sample of the process that has this id now; 0: none runs.
func (m *usageMeter) sample(pid int, now time.Time) {
	if pid == 0 {
		return
	}
	if m.process == nil || m.pid != int32(pid) {
		p, err := process.NewProcess(int32(pid))
		if err != nil {
			return
		}
		m.cpuBefore, m.pid, m.process = m.cpu, int32(pid), p
	}
	times, err := m.process.Times()
	if err != nil {
		return // it has just ended
	}
	total := m.cpuBefore + times.User + times.System
	if !m.sampledAt.IsZero() {
		m.usage.MaxCores = max(m.usage.MaxCores, (total-m.cpu)/now.Sub(m.sampledAt).Seconds())
	}
	m.cpu, m.sampledAt, m.usage.CPUSeconds = total, now, total
	if memory, err := m.process.MemoryInfo(); err == nil {
		m.usage.MaxMemoryMB = max(m.usage.MaxMemoryMB, float64(memory.RSS)/bytesPerMB)
	}
	if files, err := m.process.NumFDs(); err == nil {
		m.usage.MaxOpenFiles = max(m.usage.MaxOpenFiles, files)
	}
	if threads, err := m.process.NumThreads(); err == nil {
		m.usage.MaxThreads = max(m.usage.MaxThreads, threads)
	}
}

// endWarmup has the mean count from now on.
func (m *usageMeter) endWarmup(now time.Time) { m.warmCPU, m.warmAt = m.cpu, now }

// result is what was used so far.
func (m *usageMeter) result() Usage {
	u := m.usage
	if d := m.sampledAt.Sub(m.warmAt).Seconds(); d > 0 && !m.warmAt.IsZero() {
		u.MeanCores = (m.cpu - m.warmCPU) / d
	}
	return u
}

// residentMB is the memory that the process has now, in megabytes.
func (m *usageMeter) residentMB() float64 {
	if m.process == nil {
		return 0
	}
	memory, err := m.process.MemoryInfo()
	if err != nil {
		return 0
	}
	return float64(memory.RSS) / bytesPerMB
}
