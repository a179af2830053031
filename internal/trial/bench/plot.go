package bench

import (
	"fmt"
	"path/filepath"
	"slices"
	"sort"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// timeMeasures returns the measures that are plotted: those in milliseconds.
func (t *table) timeMeasures() []string {
	var all []string
	for _, m := range t.measures {
		if strings.HasSuffix(m, " ms") {
			all = append(all, m)
		}
	}
	return all
}

// plot draws the medians of the time measures, one group of bars for each measure.
func (t *table) plot(dir, name string) error {
	p := plot.New()
	p.Title.Text = name
	p.Y.Label.Text = "ms (median)"
	measures := t.timeMeasures()
	width := vg.Points(10)
	for i, c := range t.cases {
		values := make(plotter.Values, len(measures))
		for j, m := range measures {
			values[j] = median(t.values[c][m])
		}
		bars, err := plotter.NewBarChart(values, width)
		if err != nil {
			return fmt.Errorf("make bar chart: %w", err)
		}
		bars.Offset = width * vg.Length(float64(i)-float64(len(t.cases)-1)/2)
		bars.Color = palette[i%len(palette)]
		p.Add(bars)
		p.Legend.Add(c, bars)
	}
	p.Legend.Top = true
	p.NominalX(measures...)
	if err := p.Save(14*vg.Inch, 5*vg.Inch, filepath.Join(dir, name+".png")); err != nil {
		return fmt.Errorf("save plot: %w", err)
	}
	return nil
}

func median(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	v = slices.Clone(v)
	sort.Float64s(v)
	return v[len(v)/2]
}
