package jsonwalk_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"wisteriafield/internal/base/jsonwalk"
)

func ExampleEachField() {
	err := jsonwalk.EachField([]byte(`{"a": 1e999, "b": [[], {"c": null}], "a": "x"}`), func(name string, value []byte) error {
		fmt.Println(name, string(value))
		return nil
	})
	fmt.Println(err)
	// Output:
	// a 1e999
	// b [[], {"c": null}]
	// a "x"
	// <nil>
}

func TestDeepNestingIsNoError(t *testing.T) {
	g := NewWithT(t)
	deep := strings.Repeat("[", 1_000_000) + strings.Repeat("]", 1_000_000)
	var got []string
	err := jsonwalk.EachElement([]byte(" [1 ,"+deep+", 2]"), func(element []byte) error {
		got = append(got, string(element))
		return nil
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal([]string{"1", deep, "2"}))
}

func TestTextThatIsNoArrayIsAnError(t *testing.T) {
	g := NewWithT(t)
	for _, text := range []string{"", "null", "{}", "[1", "[1,]", "[1 2]", "[}", "[nul]"} {
		g.Expect(jsonwalk.EachElement([]byte(text), func([]byte) error { return nil })).NotTo(Succeed(), text)
	}
}

func FuzzEachElement(f *testing.F) {
	f.Add(`[1, [2, {"a": "]"}], null]`)
	f.Add(`[1e999,"\ud800"`)
	f.Fuzz(func(t *testing.T, text string) {
		var want []json.RawMessage
		if err := json.Unmarshal([]byte(text), &want); err != nil || want == nil {
			return
		}
		var got []json.RawMessage
		err := jsonwalk.EachElement([]byte(text), func(element []byte) error {
			got = append(got, element)
			return nil
		})
		if err != nil || fmt.Sprintf("%q", got) != fmt.Sprintf("%q", want) {
			t.Fatalf("%q is split into %q, not %q: %v", text, got, want, err)
		}
	})
}
