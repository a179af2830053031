package engine_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/backend/engine"
	"wisteriafield/internal/trial/truncate"
)

// An answer that can't be understood is no refusal either: the engine may run the attempt.
func TestAnEnginesAnswerWithAnInvalidStatusLineSaysNothing(t *testing.T) {
	ctx := context.Background()
	client := engine.New("credential")
	for name, call := range map[string]func(address string) error{
		"generate": func(address string) error {
			stream, err := client.Generate(ctx, address, engine.Request{Generation: "g", Attempt: "a"})
			if err == nil {
				stream.Close()
			}
			return err
		},
		"cancel": func(address string) error { return client.Cancel(ctx, address, "g", "a") },
		"progress": func(address string) error {
			_, err := client.AttemptProgress(ctx, address, "g", "a")
			return err
		},
		"load": func(address string) error {
			_, err := client.Load(ctx, address)
			return err
		},
		"state": func(address string) error {
			_, err := client.State(ctx, address)
			return err
		},
		"order": func(address string) error { return client.SendOrder(ctx, address, engine.Order{Fencing: 7}) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			s := truncate.NewServer(t)
			for _, line := range append(truncate.InvalidStatusLines(), truncate.MalformedStatusLines()...) {
				s.Set(truncate.Sized(line, "", "{}"), truncate.Close)
				g.Expect(call(s.Address)).To(And(HaveOccurred(), Not(MatchError(engine.ErrRefused))), line)
			}
		})
	}
}
