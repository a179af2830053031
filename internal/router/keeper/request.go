package keeper

import (
	"strings"
	"time"

	"wisteriafield/internal/backend/engine"
	"wisteriafield/internal/config/document"
	"wisteriafield/internal/decision/admission"
)

func (k *Keeper) item(req Request, now time.Time) admission.Item {
	words := strings.Fields(req.Prompt)
	it := admission.Item{
		ID:           req.Attempt,
		Organisation: req.Organisation,
		Weight:       req.Weight,
		Class:        req.Class,
		Tokens:       float64(req.MaxTokens - req.Accepted()),
		Needs:        ModelKey(req.Model, req.Version, req.Adapter),
		Prefix:       strings.Join(words[:min(len(words), prefixWords)], " "),
		Avoid:        req.Avoid,
		ArrivedAt:    now,
		StartBy:      req.StartBy,
	}
	if v := k.deps.View(); v != nil && v.Policy.Queueing == document.Arrival {
		// One line for all, in the order of arrival, on every slot.
		it.Class, it.Organisation = admission.Interactive, ""
	}
	return it
}

func engineRequest(req Request) engine.Request {
	var accepted []string
	for _, s := range req.Segments {
		accepted = append(accepted, s.Tokens...)
	}
	return engine.Request{
		Generation: req.Generation,
		Attempt:    req.Attempt,
		Model:      req.Model,
		Version:    req.Version,
		Adapter:    req.Adapter,
		Prompt:     req.Prompt,
		Accepted:   accepted,
		MaxTokens:  req.MaxTokens,
		Priority:   priorityOf(req.Class),
	}
}

func priorityOf(c admission.Class) int {
	for i, other := range admission.Classes {
		if other == c {
			return len(admission.Classes) - i
		}
	}
	return 0
}

func (k *Keeper) address(server string) string {
	view := k.deps.View()
	if view == nil {
		return ""
	}
	if e := view.Engine(server); e != nil {
		return e.Address
	}
	return ""
}
