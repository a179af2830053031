// Package stream carries the events of attempts between an entry and a keeper on
// different hosts, as lines of JSON over HTTP. Each attempt has its own connection,
// so that a connection that goes silent affects no other attempt.
package stream

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"wisteriafield/internal/router/keeper"
)

const maxBodyBytes = 64 << 20 // a body holds a prompt and the answer so far

// ReplicaSource is a part of this router that may have a replica of a generation.
type ReplicaSource interface {
	Follow(generation, organisation string) (keeper.Stream, error)
}

// Server serves a keeper and the replicas of this router to other routers.
type Server struct {
	keeper         *keeper.Keeper
	replicaSources []ReplicaSource
}

// NewServer returns a server for a keeper. It looks for a replica in the order of
// the sources.
func NewServer(k *keeper.Keeper, sources ...ReplicaSource) *Server {
	return &Server{keeper: k, replicaSources: sources}
}

// Register adds the routes to mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST "+attemptsPath, s.start)
	mux.HandleFunc("POST "+followPath, s.follow)
	mux.HandleFunc("POST "+cancelPath, s.cancel)
}

func (s *Server) start(w http.ResponseWriter, r *http.Request) {
	var body startBody
	if !decode(w, r, &body) {
		return
	}
	events, err := s.keeper.Start(body.request(time.Now()))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeEvents(w, r, events)
}

func (s *Server) follow(w http.ResponseWriter, r *http.Request) {
	var body followBody
	if !decode(w, r, &body) {
		return
	}
	for _, source := range s.replicaSources {
		if events, err := source.Follow(body.Generation, body.Organisation); err == nil {
			writeEvents(w, r, events)
			return
		}
	}
	w.WriteHeader(http.StatusNotFound)
}

func (s *Server) cancel(w http.ResponseWriter, r *http.Request) {
	var body cancelBody
	if !decode(w, r, &body) {
		return
	}
	s.keeper.Cancel(body.Attempt)
}

// writeEvents writes and flushes each event until the stream ends or the peer
// disconnects.
func writeEvents(w http.ResponseWriter, r *http.Request, events keeper.Stream) {
	defer events.Close()
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		select {
		case <-r.Context().Done():
			events.Close()
		case <-stop:
		}
	}()
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(http.StatusOK)
	controller := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	for {
		event, err := events.Next()
		if err != nil {
			return
		}
		if err := encoder.Encode(newEventLine(event)); err != nil {
			return
		}
		if err := controller.Flush(); err != nil {
			return
		}
	}
}

// decode reads a JSON body to its end. If it is malformed, incomplete or too long, it answers
// the request with an error and returns false.
func decode(w http.ResponseWriter, r *http.Request, target any) bool {
	body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
	err := json.NewDecoder(body).Decode(target)
	if err == nil {
		_, err = io.Copy(io.Discard, body)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
