package cli

import (
	"bytes"
	"fmt"
	"sort"

	"github.com/sirupsen/logrus"
)

// prefixFormatter formats a log line with the part of the program as its prefix.
type prefixFormatter struct{}

// Format returns "time level part: message key=value".
func (prefixFormatter) Format(e *logrus.Entry) ([]byte, error) {
	var b bytes.Buffer
	part, _ := e.Data["part"].(string)
	fmt.Fprintf(&b, "%s %-5.5s %s: %s", e.Time.UTC().Format("2006-01-02T15:04:05.000Z"), e.Level, part, e.Message)
	keys := make([]string, 0, len(e.Data))
	for key := range e.Data {
		if key != "part" {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		fmt.Fprintf(&b, " %s=%v", key, e.Data[key])
	}
	b.WriteByte('\n')
	return b.Bytes(), nil
}
