package generation_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"wisteriafield/internal/decision/generation"
)

func token(attempt string, position int) generation.Token {
	return generation.Token{Generation: "g", Attempt: attempt, Position: position, Text: fmt.Sprintf("%s%d", attempt, position)}
}

func newAnswer(t testing.TB) *generation.Answer {
	a, err := generation.New("g", nil)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return a
}

func TestAcceptTakesOnlyTheNextTokenOfTheOpenAttempt(t *testing.T) {
	foreign := token("a", 2)
	foreign.Generation = "other"
	for _, test := range []struct {
		name  string
		token generation.Token
		want  generation.Verdict
	}{
		{"next", token("a", 2), generation.Accepted},
		{"repeated", token("a", 1), generation.Duplicate},
		{"gap", token("a", 3), generation.Gap},
		{"another attempt", token("b", 2), generation.Stale},
		{"another generation", foreign, generation.WrongGeneration},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			a := newAnswer(t)
			g.Expect(a.Open("a")).To(Succeed())
			g.Expect(a.Accept(token("a", 1))).To(Equal(generation.Accepted))
			g.Expect(a.Accept(test.token)).To(Equal(test.want))
		})
	}
}

func TestAnAttemptIsClosedForGood(t *testing.T) {
	g := NewWithT(t)
	a := newAnswer(t)
	g.Expect(a.Open("a")).To(Succeed())
	a.Accept(token("a", 1))
	g.Expect(a.Open("b")).To(Succeed())
	g.Expect(a.Accept(token("a", 2))).To(Equal(generation.Stale))
	g.Expect(a.Open("a")).To(MatchError(generation.ErrAttemptUsed))
	g.Expect(a.Finish("a", "stop")).To(BeFalse())
	g.Expect(a.Finish("b", "stop")).To(BeTrue())
	g.Expect(a.Open("c")).To(MatchError(generation.ErrFinished))
}

func TestEventIDRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.StringMatching(`[a-z0-9-]{1,20}`)
		id := generation.EventID{
			Keeper: word.Draw(t, "keeper"), Generation: word.Draw(t, "generation"),
			Attempt: word.Draw(t, "attempt"), Position: rapid.IntRange(1, 1<<20).Draw(t, "position"),
		}
		parsed, err := generation.ParseEventID(id.String())
		if err != nil || parsed != id {
			t.Fatalf("%v, %v", parsed, err)
		}
	})
}

func FuzzParseEventID(f *testing.F) {
	f.Add("keeper/generation/attempt/1")
	f.Add("////-1")
	f.Fuzz(func(t *testing.T, s string) {
		id, err := generation.ParseEventID(s)
		if err == nil && (id.Position < 1 || id.Generation == "") {
			t.Fatalf("accepted %q", s)
		}
	})
}

// forks drives the steps of model/generation.pml: two entries and a keeper hold
// copies, attempts fork, and a caller moves between the entries. A step whose
// precondition does not hold skips, which makes rapid draw another one.
type forks struct {
	copies  map[string]*generation.Answer
	lines   map[string][]string // what each attempt generates, prefix included
	opened  int
	caller  []string // tokens that the caller has
	last    generation.Token
	entry   string
	refused bool
}

func (f *forks) copy(t *rapid.T) *generation.Answer {
	return f.copies[rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "copy")]
}

// Open closes what is open and opens a new attempt on the prefix.
func (f *forks) Open(t *rapid.T) {
	a := f.copy(t)
	f.opened++
	id := fmt.Sprintf("a%d", f.opened)
	if a.Open(id) == nil {
		f.lines[id] = a.Texts()
	}
}

// Generate makes an engine produce a token of any attempt, late ones too, and
// offers it to a copy.
func (f *forks) Generate(t *rapid.T) {
	if f.opened == 0 {
		t.Skip()
	}
	id := fmt.Sprintf("a%d", rapid.IntRange(1, f.opened).Draw(t, "attempt"))
	line, ok := f.lines[id]
	if !ok {
		t.Skip()
	}
	if rapid.Bool().Draw(t, "new") || len(line) == 0 {
		line = append(line, fmt.Sprintf("%s.%d", id, len(line)+1))
		f.lines[id] = line
	}
	position := rapid.IntRange(1, len(line)).Draw(t, "position")
	a := f.copy(t)
	before := a.Count()
	verdict := a.Accept(generation.Token{Generation: "g", Attempt: id, Position: position, Text: line[position-1]})
	if (verdict == generation.Accepted) != (a.Count() == before+1) {
		t.Fatalf("%s, but count went from %d to %d", verdict, before, a.Count())
	}
}

// Take copies one entry's answer to the other, as a second entry does.
func (f *forks) Take(t *rapid.T) {
	from, to := "e1", "e2"
	if rapid.Bool().Draw(t, "back") {
		from, to = to, from
	}
	a, err := generation.New("g", f.copies[from].Prefix())
	if err != nil {
		t.Fatal(err)
	}
	f.copies[to] = a
	if f.entry == to && len(f.caller) > 0 && !a.Contains(f.last.Attempt, f.last.Position) {
		f.refused = true
	}
}

// Read gives the caller the next token of its entry.
func (f *forks) Read(t *rapid.T) {
	a := f.copies[f.entry]
	if f.refused || a.Count() <= len(f.caller) {
		t.Skip()
	}
	f.last = a.At(len(f.caller) + 1)
	f.caller = append(f.caller, f.last.Text)
}

// Reconnect moves the caller, if the other entry holds its last token.
func (f *forks) Reconnect(t *rapid.T) {
	other := "e1"
	if f.entry == "e1" {
		other = "e2"
	}
	if f.refused || len(f.caller) > 0 && !f.copies[other].Contains(f.last.Attempt, f.last.Position) {
		t.Skip()
	}
	f.entry = other
}

// Check asserts that the caller's tokens are one lineage.
func (f *forks) Check(t *rapid.T) {
	if len(f.caller) == 0 {
		return
	}
	line := f.lines[f.last.Attempt]
	for i, text := range f.caller {
		if line[i] != text {
			t.Fatalf("token %d is %q, its lineage has %q", i+1, text, line[i])
		}
	}
}

func TestCallersNeverGetAMixedAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &forks{copies: make(map[string]*generation.Answer), lines: make(map[string][]string), entry: "e1"}
		for _, name := range []string{"e1", "e2"} {
			f.copies[name], _ = generation.New("g", nil)
		}
		t.Repeat(rapid.StateMachineActions(f))
	})
}

func ExampleAnswer_Contains() {
	a, _ := generation.New("g", nil)
	_ = a.Open("first")
	a.Accept(generation.Token{Generation: "g", Attempt: "first", Position: 1, Text: "Gentile "})
	_ = a.Open("second")
	a.Accept(generation.Token{Generation: "g", Attempt: "second", Position: 2, Text: "cliente"})
	fmt.Println(a.Contains("first", 1), a.Contains("first", 2), a.Contains("second", 2))
	// Output: true false true
}
