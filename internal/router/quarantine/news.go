package quarantine

import (
	"time"

	"wisteriafield/internal/decision/quarantine"
)

const (
	// maxNewsCrashes bounds the crashes in News.
	maxNewsCrashes = 16
	// maxNewsAge bounds the ages in News; nothing as old counts.
	maxNewsAge = 24 * time.Hour
)

// News is what routers tell each other about whole requests. It has ages, not times, since
// the clocks of hosts differ.
type News struct {
	Crashes    []CrashNews      `json:",omitempty"`
	SurvivedMs map[string]int64 `json:",omitempty"` // by request
	Blocked    []string         `json:",omitempty"`
}

// CrashNews is a crash in News.
type CrashNews struct {
	Server    string
	Request   string
	AgeMs     int64
	Abandoned bool `json:",omitempty"` // nobody waited for the answer
}

// News returns what peers are told, also those that have just started.
func (g *Guard) News(now time.Time) News {
	report := g.table.Report(maxNewsCrashes, true, now)
	news := News{Blocked: report.Blocked}
	for _, c := range report.Crashes {
		news.Crashes = append(news.Crashes, CrashNews{c.Server, c.Request, now.Sub(c.At).Milliseconds(), c.Abandoned})
	}
	if len(report.Survived) > 0 {
		news.SurvivedMs = make(map[string]int64, len(report.Survived))
	}
	for request, at := range report.Survived {
		news.SurvivedMs[request] = now.Sub(at).Milliseconds()
	}
	return news
}

// MergeNews records what a peer told, and reports whether other peers should know at once.
func (g *Guard) MergeNews(news News, peer string, now time.Time) (urgent bool) {
	report := quarantine.Report{Survived: make(map[string]time.Time, len(news.SurvivedMs)), Blocked: news.Blocked}
	for _, c := range news.Crashes {
		report.Crashes = append(report.Crashes, quarantine.Crash{
			Suspects: quarantine.Suspects{Request: c.Request}, Server: c.Server, At: ago(c.AgeMs, now), Abandoned: c.Abandoned,
		})
	}
	for request, age := range news.SurvivedMs {
		report.Survived[request] = ago(age, now)
	}
	return g.Merge(report, peer, now)
}

// ago returns the time that is ms milliseconds before now, at most maxNewsAge.
func ago(ms int64, now time.Time) time.Time {
	return now.Add(-time.Duration(max(0, min(ms, maxNewsAge.Milliseconds()))) * time.Millisecond)
}
