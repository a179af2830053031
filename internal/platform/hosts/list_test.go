package hosts_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/platform/hosts"
)

// newList returns a list of a platform that answers with what write writes.
func newList(t *testing.T, write func(w io.Writer)) *hosts.List {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { write(w) }))
	t.Cleanup(s.Close)
	return hosts.New(hosts.Config{Address: s.Listener.Addr().String()})
}

// The answer was read into memory for as long as it went on.
func TestAnAnswerWithoutEndIsAnError(t *testing.T) {
	g := NewWithT(t)
	var written atomic.Int64
	list := newList(t, func(w io.Writer) {
		_, err := io.WriteString(w, `{"Revision":3,"Hosts":[`)
		for err == nil && written.Load() < 256<<20 {
			_, err = w.Write(bytes.Repeat([]byte(" "), 1<<20))
			written.Add(1 << 20)
		}
	})
	startedAt := time.Now()
	g.Expect(list.Fetch(context.Background(), time.Millisecond)).NotTo(Succeed())
	g.Expect(time.Since(startedAt)).To(BeNumerically("<", 10*time.Second))
	g.Expect(written.Load()).To(BeNumerically("<", 64<<20))
}

// The list was not followed any more because of one odd host in it.
func TestOneOddHostCostsNoOtherHost(t *testing.T) {
	nested := strings.Repeat("[", 1_000_000) + strings.Repeat("]", 1_000_000)
	for _, odd := range []string{
		`null`, `7`, `{}`, `{"Name":7}`, `{"Name":"m","Revision":1e999}`, `{"Name":"m","Revision":1.5}`, `{"Name":"m","Domain":[]}`,
		nested, `{"Name":"m","Domain":` + nested + `}`, `{"Name":"m","Later":` + nested + `}`,
	} {
		g := NewWithT(t)
		list := newList(t, func(w io.Writer) {
			_, _ = fmt.Fprintf(w, `{"Revision":7,"Hosts":[{"Name":"a","State":"Live"},%s,{"Name":"z","State":"Live"}]}`, odd)
		})
		g.Expect(list.Fetch(context.Background(), time.Millisecond)).To(Succeed(), "%.100s", odd)
		g.Expect(list.All()).To(And(HaveLen(2), HaveKey("a"), HaveKey("z")))
	}
	g := NewWithT(t)
	g.Expect(newList(t, func(w io.Writer) { _, _ = io.WriteString(w, `{"Revision":7,"Hosts":null}`) }).Fetch(context.Background(), time.Millisecond)).To(Succeed())
}
