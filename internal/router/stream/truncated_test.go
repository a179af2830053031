package stream_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/router/keeper"
	"wisteriafield/internal/router/stream"
	"wisteriafield/internal/trial/truncate"
)

func TestAKeepersStreamThatEndsAtAnyByteHasNoLastEvent(t *testing.T) {
	const last = `{"K":"Done","Reason":"stop"}`
	body := `{"K":"Started","A":"a"}` + "\n" + `{"K":"Token","A":"a","P":1,"T":"x"}` + "\n" + last + "\n"
	answers := truncate.Framings("200 OK", "", body)
	answers["connection"] = truncate.Unframed("200 OK", "", body)
	open := map[string]func(address string) (keeper.Stream, error){
		"start": func(address string) (keeper.Stream, error) {
			return stream.NewClient("").Start(address, keeper.Request{Generation: "g", Attempt: "a"})
		},
		"follow": func(address string) (keeper.Stream, error) {
			return stream.NewClient("").Follow(address, "g", "florist")
		},
	}
	for name, open := range open {
		for framing, answer := range answers {
			t.Run(name+", "+framing, func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				s := truncate.NewServer(t)
				s.Set(answer, truncate.Close)
				g.Expect(lastEvent(open(s.Address))).To(Equal(keeper.Done), "whole")
				s.EachPrefix(answer, func(prefix string, end truncate.End) {
					if len(prefix) < len(answer)-len("\n\r\n0;last=1\r\nSum: 1\r\n\r\n") {
						g.Expect(lastEvent(open(s.Address))).NotTo(Equal(keeper.Done), "%s after %q", end, prefix)
					}
				})
			})
		}
	}
}

// lastEvent returns the kind of the event that ends a stream, or none if it breaks off.
func lastEvent(events keeper.Stream, err error) keeper.EventKind {
	if err != nil {
		return ""
	}
	defer events.Close()
	for {
		event, err := events.Next()
		if err != nil || event.Kind == keeper.Done || event.Kind == keeper.Refused || event.Kind == keeper.Lost {
			return event.Kind
		}
	}
}
