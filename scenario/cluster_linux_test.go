package scenario

import (
	"os/exec"
	"syscall"
)

// The kernel kills the started processes together with the test binary, which runs no
// cleanup functions if it is killed or panics at its timeout.
func init() {
	beforeStart = func(cmd *exec.Cmd) { cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} }
}
