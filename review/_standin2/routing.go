package main

import (
	"errors"
	"net/http"
	"strings"
	"time"
)

const tries = 20

// newPrefix adds a route to the configuration and sends requests whose path the prefix of that route doesn't begin.
func newPrefix(p *play) (bool, error) {
	routes := object{"r-rounds": routeTo("rounds", "/rounds/", "unsafe", 1500*time.Millisecond)}
	if err := p.begin(configurationOf(7, routes, "rounds", "fieldwork"), 50*time.Millisecond, kretowisko, "rounds", "rounds", "fieldwork", "fieldwork"); err != nil {
		return false, err
	}
	if p.trouble {
		routes = object{"r-rounds": routes["r-rounds"], "r-archive": routeTo("fieldwork", "/rounds/archive/", "unsafe", 1500*time.Millisecond)}
		if err := p.fleet.store.configure(configurationOf(9, routes, "rounds", "fieldwork")); err != nil {
			return false, err
		}
	}
	time.Sleep(5 * time.Second)
	served := 0
	for n := range tries {
		for _, target := range []string{"/rounds/archive", "/rounds/archive%2F2025", "/rounds/today"} {
			if s := send(p.record, p.fleet.daemons[n%len(p.fleet.daemons)], http.MethodPost, target); s.status == http.StatusOK {
				served++
			}
		}
	}
	if served == 0 {
		return false, errors.New("no request was served")
	}
	wrong := p.runs.list(func(r run) bool { return r.service != "rounds" && strings.HasPrefix(r.target, "/rounds/") })
	for _, r := range wrong {
		p.record.line("check", "ROUTE: %s %s was run by %s of %s", r.id, r.target, r.worker, r.service)
	}
	return len(wrong) > 0, nil
}
