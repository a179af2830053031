package registry

import "wisteriafield/internal/decision/enginespeed"

// maxPeerSpeeds is how many of the newest speeds of an engine that peers have measured count.
const maxPeerSpeeds = 5

// Speed returns the speed of an engine as far as the answers to this router's attempts show it.
func (l *Load) Speed() enginespeed.Speed {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.speed.Speed()
}

// FleetSpeed returns the speed of an engine by the answers to the attempts of all routers that have
// reported it.
func (l *Load) FleetSpeed() enginespeed.Speed {
	l.mu.Lock()
	defer l.mu.Unlock()
	return enginespeed.Median(append([]enginespeed.Speed{l.speed.Speed()}, l.peerSpeeds...))
}

// RecordPeerSpeed records the speed of an engine that a peer has measured. A report without a token
// time says nothing; a prefill rate of 0 is not known.
func (l *Load) RecordPeerSpeed(s enginespeed.Speed) {
	if s.TokenTime <= 0 || !(s.PrefillTokensPerMs >= 0) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peerSpeeds = append(l.peerSpeeds, s)
	l.peerSpeeds = l.peerSpeeds[max(0, len(l.peerSpeeds)-maxPeerSpeeds):]
}
