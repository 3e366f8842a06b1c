package devcluster

import "syscall"

// Pause stops the process of controller k without its noticing, while its clocks run on. It reports
// whether the process was running.
func (c *Controllers) Pause(k int) bool { return c.signal(k, syscall.SIGSTOP) }

// Resume lets the process of controller k go on after Pause.
func (c *Controllers) Resume(k int) bool { return c.signal(k, syscall.SIGCONT) }

func (c *Controllers) signal(k int, signal syscall.Signal) bool {
	pid := c.PID(k)
	return pid != 0 && syscall.Kill(pid, signal) == nil
}
