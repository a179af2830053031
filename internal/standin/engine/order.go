package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// order is the body of POST /v1/order: the desired state of the engine.
type order struct {
	Fencing  int64
	Models   map[string]string
	Adapters map[string][]string
	Role     string
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	if e.cfg.Credential != "" && r.Header.Get("Authorization") != "Bearer "+e.cfg.Credential {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	var o order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if e.cfg.Fencing && o.Fencing < e.fencing {
		e.mu.Unlock()
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	e.fencing = o.Fencing
	missing := make(map[string]string)
	for model, version := range o.Models {
		if e.models[model] != version {
			missing[model] = version
		}
	}
	e.mu.Unlock()
	for model, version := range missing {
		if err := e.fetchWeights(model, version); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.Fencing && o.Fencing < e.fencing {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	e.models, e.adapters, e.role = o.Models, o.Adapters, o.Role
	w.WriteHeader(http.StatusOK)
}

// fetchWeights loads the weights of a model from the weight store, if there is one.
func (e *Engine) fetchWeights(model, version string) error {
	if e.cfg.WeightStore == "" {
		return nil
	}
	client := http.Client{Timeout: time.Minute}
	res, err := client.Get("http://" + e.cfg.WeightStore + "/v1/weights/" + model + "/" + version)
	if err != nil {
		return fmt.Errorf("load weights: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("load weights: status %d", res.StatusCode)
	}
	return nil
}

// engineFaults holds the fields of a fault order that only engines support.
type engineFaults struct {
	Slow    float64
	Leaving *bool
}

func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	var raw json.RawMessage
	if err := json.NewDecoder(r.Body).Decode(&raw); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var f engineFaults
	if err := json.Unmarshal(raw, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.Slow > 0 {
		e.SetSlowdown(f.Slow)
	}
	if f.Leaving != nil {
		e.SetLeaving(*f.Leaving)
	}
	e.Faults.HandleOrder(w, raw)
}
