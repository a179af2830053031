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

func TestAcceptAppendsOnlyTheNextTokenOfTheOpenAttempt(t *testing.T) {
	otherGeneration := token("a", 2)
	otherGeneration.Generation = "other"
	for _, test := range []struct {
		name  string
		token generation.Token
		want  generation.Verdict
	}{
		{"next", token("a", 2), generation.Accepted},
		{"repeated", token("a", 1), generation.Duplicate},
		{"gap", token("a", 3), generation.Gap},
		{"another attempt", token("b", 2), generation.Stale},
		{"another generation", otherGeneration, generation.WrongGeneration},
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

func TestAClosedAttemptStaysClosed(t *testing.T) {
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

// forkModel drives the steps of model/generation.pml: two entries and a keeper
// hold replicas of an answer, attempts fork, and a caller moves between the
// entries. A step whose precondition does not hold skips, which makes rapid draw
// another one.
type forkModel struct {
	replicas  map[string]*generation.Answer
	generated map[string][]string // tokens of each attempt, prefix included
	opened    int                 // attempts opened so far
	received  []string            // tokens that the caller received
	last      generation.Token    // the last token that the caller received
	entry     string              // to which the caller is connected
	refused   bool                // the caller's last token is not in its entry's replica
}

// drawReplica draws one of the two replicas.
func (m *forkModel) drawReplica(t *rapid.T) *generation.Answer {
	return m.replicas[rapid.SampledFrom([]string{"e1", "e2"}).Draw(t, "copy")]
}

// Open opens a new attempt at a replica, which continues the replica's prefix.
func (m *forkModel) Open(t *rapid.T) {
	a := m.drawReplica(t)
	m.opened++
	id := fmt.Sprintf("a%d", m.opened)
	if a.Open(id) == nil {
		m.generated[id] = a.Texts()
	}
}

// Generate makes an engine produce a token of any attempt, closed attempts
// included, and passes it to a replica.
func (m *forkModel) Generate(t *rapid.T) {
	if m.opened == 0 {
		t.Skip()
	}
	id := fmt.Sprintf("a%d", rapid.IntRange(1, m.opened).Draw(t, "attempt"))
	tokens, ok := m.generated[id]
	if !ok {
		t.Skip()
	}
	if rapid.Bool().Draw(t, "new") || len(tokens) == 0 {
		tokens = append(tokens, fmt.Sprintf("%s.%d", id, len(tokens)+1))
		m.generated[id] = tokens
	}
	position := rapid.IntRange(1, len(tokens)).Draw(t, "position")
	a := m.drawReplica(t)
	before := a.Count()
	verdict := a.Accept(generation.Token{Generation: "g", Attempt: id, Position: position, Text: tokens[position-1]})
	if (verdict == generation.Accepted) != (a.Count() == before+1) {
		t.Fatalf("verdict is %s, but the count went from %d to %d", verdict, before, a.Count())
	}
}

// Replicate copies the answer of one entry to the other, as a second entry does.
func (m *forkModel) Replicate(t *rapid.T) {
	from, to := "e1", "e2"
	if rapid.Bool().Draw(t, "back") {
		from, to = to, from
	}
	a, err := generation.New("g", m.replicas[from].Prefix())
	if err != nil {
		t.Fatal(err)
	}
	m.replicas[to] = a
	if m.entry == to && len(m.received) > 0 && !a.Contains(m.last.Attempt, m.last.Position) {
		m.refused = true
	}
}

// Read sends the caller the next token of its entry.
func (m *forkModel) Read(t *rapid.T) {
	a := m.replicas[m.entry]
	if m.refused || a.Count() <= len(m.received) {
		t.Skip()
	}
	m.last = a.At(len(m.received) + 1)
	m.received = append(m.received, m.last.Text)
}

// Reconnect moves the caller to the other entry if that entry's replica contains
// the caller's last token.
func (m *forkModel) Reconnect(t *rapid.T) {
	other := "e1"
	if m.entry == "e1" {
		other = "e2"
	}
	if m.refused || len(m.received) > 0 && !m.replicas[other].Contains(m.last.Attempt, m.last.Position) {
		t.Skip()
	}
	m.entry = other
}

// Check asserts that all tokens of the caller are of one lineage: the tokens of
// the last token's attempt and the prefix that this attempt continues.
func (m *forkModel) Check(t *rapid.T) {
	if len(m.received) == 0 {
		return
	}
	tokens := m.generated[m.last.Attempt]
	for i, text := range m.received {
		if tokens[i] != text {
			t.Fatalf("token %d is %q, but its lineage has %q", i+1, text, tokens[i])
		}
	}
}

func TestCallersNeverGetAMixedAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &forkModel{replicas: make(map[string]*generation.Answer), generated: make(map[string][]string), entry: "e1"}
		for _, name := range []string{"e1", "e2"} {
			m.replicas[name], _ = generation.New("g", nil)
		}
		t.Repeat(rapid.StateMachineActions(m))
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
