package cli

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A SIGHUP or SIGUSR1 before the settings were read ended the process.
func TestASignalDuringTheStartDoesNotEndTheProcess(t *testing.T) {
	for name, c := range map[string]struct {
		execute func(path string) error
		signal  syscall.Signal
	}{
		"edge SIGHUP":    {func(path string) error { return (&edgeCommand{Settings: path}).Execute(nil) }, syscall.SIGHUP},
		"edge SIGUSR1":   {func(path string) error { return (&edgeCommand{Settings: path}).Execute(nil) }, syscall.SIGUSR1},
		"router SIGUSR1": {func(path string) error { return (&routerCommand{Settings: path}).Execute(nil) }, syscall.SIGUSR1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			path := filepath.Join(t.TempDir(), "settings")
			g.Expect(syscall.Mkfifo(path, 0o600)).To(Succeed())
			done := make(chan error, 1)
			go func() { done <- c.execute(path) }()
			settings, err := os.OpenFile(path, os.O_WRONLY, 0) // waits until the command reads
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(syscall.Kill(os.Getpid(), c.signal)).To(Succeed())
			time.Sleep(100 * time.Millisecond) // a process that does not handle the signal has ended by then
			_, err = settings.WriteString("not [ valid = settings")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(settings.Close()).To(Succeed())
			g.Eventually(done).WithTimeout(5 * time.Second).Should(Receive(HaveOccurred()))
		})
	}
}
