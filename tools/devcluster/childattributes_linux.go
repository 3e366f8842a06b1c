package devcluster

import "syscall"

// ChildAttributes keeps a process apart from the terminal's interrupt, which ends the
// cluster in its own order, and has it end with this program, however that ends.
func ChildAttributes() *syscall.SysProcAttr {
	return &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
}
