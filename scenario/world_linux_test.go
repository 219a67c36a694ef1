package scenario

import (
	"os/exec"
	"syscall"
)

// A test binary that is killed or that panics at its timeout runs no clean-up.
func init() {
	beforeStart = func(cmd *exec.Cmd) { cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }
}
