package keeper

import (
	"strings"
	"time"

	"wisteriafield/internal/backend/engine"
	"wisteriafield/internal/config/document"
	"wisteriafield/internal/decision/admission"
)

// queueItem returns a request as the queue sees it.
func (k *Keeper) queueItem(req Request, now time.Time) admission.Item {
	words := strings.Fields(req.Prompt)
	item := admission.Item{
		ID:           req.Attempt,
		Organisation: req.Organisation,
		Weight:       req.Weight,
		Class:        req.Class,
		Tokens:       float64(req.MaxTokens - req.Accepted()),
		ModelKey:     ModelKey(req.Model, req.Version, req.Adapter),
		Prefix:       strings.Join(words[:min(len(words), prefixKeyWords)], " "),
		Avoid:        req.Avoid,
		ArrivedAt:    now,
		StartBy:      req.StartBy,
	}
	if v := k.deps.View(); v != nil && v.Policy.Queueing == document.ArrivalOrder {
		// One queue for all classes and organisations, in the order of arrival;
		// interactive work may use every slot.
		item.Class, item.Organisation = admission.Interactive, ""
	}
	return item
}

// engineRequest returns the request that is sent to an engine.
func engineRequest(req Request) engine.Request {
	var accepted []string
	for _, segment := range req.Segments {
		accepted = append(accepted, segment.Tokens...)
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
		Priority:   enginePriority(req.Class),
	}
}

// enginePriority returns the priority of a class at an engine; the first class
// has the highest.
func enginePriority(c admission.Class) int {
	for i, class := range admission.Classes {
		if class == c {
			return len(admission.Classes) - i
		}
	}
	return 0
}

// engineAddress returns the address of an engine, or "" if it is unknown.
func (k *Keeper) engineAddress(server string) string {
	view := k.deps.View()
	if view == nil {
		return ""
	}
	if e := view.Engine(server); e != nil {
		return e.Address
	}
	return ""
}
