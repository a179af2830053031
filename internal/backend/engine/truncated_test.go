package engine_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/engine"
	"wisteriafield/internal/trial/truncate"
)

func TestAnEnginesAnswerThatEndsAtAnyByteIsNoSuccess(t *testing.T) {
	ctx := context.Background()
	client := engine.New("credential")
	for name, c := range map[string]struct {
		body string
		call func(address string) error
	}{
		"cancel": {`{}`, func(address string) error { return client.Cancel(ctx, address, "g", "a") }},
		"progress": {`{"Position":7,"Waiting":false}`, func(address string) error {
			_, err := client.AttemptProgress(ctx, address, "g", "a")
			return err
		}},
		"load": {`{"Running":1,"Slots":12}`, func(address string) error {
			_, err := client.Load(ctx, address)
			return err
		}},
		"state": {`{"Role":"r","Fencing":71}`, func(address string) error {
			_, err := client.State(ctx, address)
			return err
		}},
		"order": {`{}`, func(address string) error { return client.SendOrder(ctx, address, engine.Order{Fencing: 7}) }},
	} {
		for framing, answer := range truncate.Framings("200 OK", "Content-Type: application/json\r\n", c.body) {
			t.Run(name+", "+framing, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				s := truncate.NewServer(t)
				s.Set(answer, truncate.Close)
				g.Expect(c.call(s.Address)).To(Succeed(), "whole")
				s.EachPrefix(answer, func(prefix string, end truncate.End) {
					g.Expect(c.call(s.Address)).NotTo(Succeed(), "%s after %q", end, prefix)
				})
			})
		}
	}
}

func TestARefusalThatEndsEarlyIsNoRefusal(t *testing.T) {
	ctx := context.Background()
	client := engine.New("credential")
	for status, call := range map[string]func(address string) error{
		"404 Not Found": func(address string) error {
			_, err := client.AttemptProgress(ctx, address, "g", "a")
			return err
		},
		"412 Precondition Failed": func(address string) error { return client.SendOrder(ctx, address, engine.Order{Fencing: 7}) },
	} {
		for framing, answer := range truncate.Framings(status, "", "refused") {
			t.Run(status+", "+framing, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				s := truncate.NewServer(t)
				refusals := Or(MatchError(engine.ErrUnknownAttempt), MatchError(engine.ErrFenced))
				s.Set(answer, truncate.Close)
				g.Expect(call(s.Address)).To(refusals, "whole")
				s.EachPrefix(answer, func(prefix string, end truncate.End) {
					g.Expect(call(s.Address)).To(And(HaveOccurred(), Not(refusals)), "%s after %q", end, prefix)
				})
			})
		}
	}
}

// The last line says that the answer is complete.
func TestAStreamThatEndsAtAnyByteHasNoLastLine(t *testing.T) {
	const last = `{"Position":9,"Done":"stop"}`
	body := `{"Position":8,"Text":"a"}` + "\n" + last + "\n"
	for framing, answer := range truncate.Framings("200 OK", "", body) {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := truncate.NewServer(t)
			s.Set(answer, truncate.Close)
			g.Expect(readToLastLine(s.Address)).To(Succeed(), "whole")
			s.EachPrefix(answer, func(prefix string, end truncate.End) {
				if len(prefix) < len(answer)-len("\n\r\n0;last=1\r\nSum: 1\r\n\r\n") {
					g.Expect(readToLastLine(s.Address)).NotTo(Succeed(), "%s after %q", end, prefix)
				}
			})
		})
	}
}

func readToLastLine(address string) error {
	stream, err := engine.New("").Generate(context.Background(), address, engine.Request{Generation: "g", Attempt: "a"})
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		line, err := stream.Next()
		if err != nil || line.Done != "" {
			return err
		}
	}
}
