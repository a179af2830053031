package fleet_test

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/trial/fleet"
)

const (
	portProcesses = 8
	portsEach     = 400
	portsChildEnv = "WISTERIAFIELD_PRINT_PORTS"
)

// Guards against the address of a server that is down and that a server of another test's process
// takes, so that its answers pass for those of the first one.
func TestProcessesDoNotShareAddresses(t *testing.T) {
	if os.Getenv(portsChildEnv) != "" {
		for range portsEach {
			fmt.Println(fleet.FreeAddress())
		}
		_, _ = os.Stdin.Read(make([]byte, 1)) // until the test has all addresses
		return
	}
	g := NewWithT(t)
	users := make(map[string]int) // by address, the process that has it
	for i := range portProcesses {
		child := exec.Command(os.Args[0], "-test.run=^TestProcessesDoNotShareAddresses$")
		child.Env = append(os.Environ(), portsChildEnv+"=1")
		stdin, err := child.StdinPipe()
		g.Expect(err).NotTo(HaveOccurred())
		stdout, err := child.StdoutPipe()
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(child.Start()).To(Succeed())
		defer func() {
			_ = stdin.Close()
			_ = child.Wait()
		}()
		lines := bufio.NewScanner(stdout)
		for range portsEach {
			g.Expect(lines.Scan()).To(BeTrue(), "%v", lines.Err())
			other, taken := users[lines.Text()]
			g.Expect(taken).To(BeFalse(), "%s of process %d is at process %d, too", lines.Text(), other, i)
			users[lines.Text()] = i
		}
	}
	g.Expect(users).To(HaveLen(portProcesses * portsEach))
}
