package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Reply is the response of a service, or the refusal of a router.
type Reply struct {
	Status int
	Body   string
	Code   string // error code of a refusal; empty for the response of a service
}

// Call sends a request to a service through a router.
func (c *Caller) Call(ctx context.Context, router, key, idempotencyKey, method, path, body string) (Reply, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+router+"/services"+path, strings.NewReader(body))
	if err != nil {
		return Reply{}, fmt.Errorf("build request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	if idempotencyKey != "" {
		req.Header.Set("Idempotency-Key", idempotencyKey)
	}
	res, err := c.HTTP.Do(req)
	if err != nil {
		return Reply{}, fmt.Errorf("call: %w", err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return Reply{}, fmt.Errorf("read: %w", err)
	}
	r := Reply{Status: res.StatusCode, Body: string(text)}
	var refusal struct {
		Error *wireError `json:"error"`
	}
	if json.Unmarshal(text, &refusal) == nil && refusal.Error != nil {
		r.Code = refusal.Error.Code
	}
	return r, nil
}
