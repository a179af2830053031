package bench

import (
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// table collects the values of measures by case, one value for each repetition.
type table struct {
	cases    []string
	measures []string
	values   map[string]map[string][]float64
}

func newTable() *table { return &table{values: make(map[string]map[string][]float64)} }

func (t *table) add(name, measure string, v float64) {
	if t.values[name] == nil {
		t.values[name] = make(map[string][]float64)
		t.cases = append(t.cases, name)
	}
	if !slices.Contains(t.measures, measure) {
		t.measures = append(t.measures, measure)
	}
	t.values[name][measure] = append(t.values[name][measure], v)
}

// addTimes adds percentiles of times, in milliseconds.
func (t *table) addTimes(name, measure string, times []time.Duration, percentiles ...float64) {
	h := hdrhistogram.New(1, time.Hour.Microseconds(), 3)
	for _, d := range times {
		_ = h.RecordValue(max(d.Microseconds(), 1))
	}
	for _, p := range percentiles {
		t.add(name, fmt.Sprintf("%s p%g ms", measure, p), float64(h.ValueAtQuantile(p))/1000)
	}
}

// print writes the median, minimum and maximum over the repetitions.
func (t *table) print(out io.Writer, title string) {
	fmt.Fprintf(out, "\n%s (median of %d, min to max)\n", title, t.repeats())
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for _, name := range t.cases {
		for _, m := range t.measures {
			v := slices.Clone(t.values[name][m])
			if len(v) == 0 {
				continue
			}
			sort.Float64s(v)
			fmt.Fprintf(w, "%s\t%s\t%.4g\t(%.4g to %.4g)\n", name, m, v[len(v)/2], v[0], v[len(v)-1])
		}
	}
	_ = w.Flush()
}

// repeats returns the largest number of repetitions of a measure.
func (t *table) repeats() int {
	n := 0
	for _, measures := range t.values {
		for _, v := range measures {
			n = max(n, len(v))
		}
	}
	return n
}

// save writes the raw values as a CSV file.
func (t *table) save(dir, name string) error {
	f, err := os.Create(filepath.Join(dir, name+".csv"))
	if err != nil {
		return fmt.Errorf("create CSV file: %w", err)
	}
	defer f.Close()
	w := csv.NewWriter(f)
	_ = w.Write([]string{"Case", "Measure", "Repeat", "Value"})
	for _, c := range t.cases {
		for _, m := range t.measures {
			for i, v := range t.values[c][m] {
				_ = w.Write([]string{c, m, fmt.Sprint(i + 1), fmt.Sprint(v)})
			}
		}
	}
	w.Flush()
	return w.Error()
}
