package scaletest

import (
	"time"

	"github.com/shirou/gopsutil/v4/process"
)

// Usage is the resource use of a process as the operating system reports it.
type Usage struct {
	CPUSeconds   float64 `json:"cpu_s"`
	MeanCores    float64 `json:"cores_mean"` // since the end of the warm-up
	MaxCores     float64 `json:"cores_most"` // highest mean over one sample interval of about 1 s
	MaxMemoryMB  float64 `json:"memory_mb_most"`
	MaxOpenFiles int32   `json:"files_most"` // sockets included
	MaxThreads   int32   `json:"threads_most"`
}

// usageMeter measures the resource use of a process. If the process is restarted, the use of the
// new process is added to that of the former ones.
type usageMeter struct {
	pid                   int32
	process               *process.Process
	replacedCPUSeconds    float64 // of former processes
	cpuSeconds            float64 // of all processes, as of sampledAt
	sampledAt             time.Time
	cpuSecondsAtWarmupEnd float64
	warmupEndedAt         time.Time
	usage                 Usage
}

const bytesPerMB = 1 << 20

// sample samples the process with the given id. It does nothing if pid is 0, which stands for a
// process that is not running.
func (m *usageMeter) sample(pid int, now time.Time) {
	if pid == 0 {
		return
	}
	if m.process == nil || m.pid != int32(pid) {
		p, err := process.NewProcess(int32(pid))
		if err != nil {
			return
		}
		m.replacedCPUSeconds, m.pid, m.process = m.cpuSeconds, int32(pid), p
	}
	times, err := m.process.Times()
	if err != nil {
		return // the process has just exited
	}
	total := m.replacedCPUSeconds + times.User + times.System
	if !m.sampledAt.IsZero() {
		m.usage.MaxCores = max(m.usage.MaxCores, (total-m.cpuSeconds)/now.Sub(m.sampledAt).Seconds())
	}
	m.cpuSeconds, m.sampledAt, m.usage.CPUSeconds = total, now, total
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

// endWarmup starts the period over which the mean processor use is computed.
func (m *usageMeter) endWarmup(now time.Time) {
	m.cpuSecondsAtWarmupEnd, m.warmupEndedAt = m.cpuSeconds, now
}

// result returns the resource use measured so far.
func (m *usageMeter) result() Usage {
	u := m.usage
	if d := m.sampledAt.Sub(m.warmupEndedAt).Seconds(); d > 0 && !m.warmupEndedAt.IsZero() {
		u.MeanCores = (m.cpuSeconds - m.cpuSecondsAtWarmupEnd) / d
	}
	return u
}

// residentMB returns the resident memory of the process in megabytes, or 0 if it cannot be read.
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
