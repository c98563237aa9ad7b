package rules

import (
	"fmt"
	"maps"
	"regexp"
	"slices"
	"strings"

	"berylpass/config/class"
	"berylpass/config/route"
	"berylpass/config/snapshot"
)

// Bounds of what a route matches, in bytes.
const (
	maxHost   = 253
	maxPrefix = 1024
)

// HostAllowed, PrefixAllowed and MethodsAllowed say what a route matches on.
const (
	HostAllowed    = "a host name in lower case without port, or any"
	PrefixAllowed  = "a path that starts with /, without a closing /, empty, . or .. segments, ? or #"
	MethodsAllowed = "HTTP methods out of GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS, separated by commas, or all"
)

var (
	hostPattern    = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?(\.[a-z0-9]([a-z0-9-]*[a-z0-9])?)*$`)
	segmentPattern = regexp.MustCompile(`^[A-Za-z0-9._~!$&'()*+,;=:@%-]+$`)
	methods        = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)

// IsHost reports whether a route may name the host; empty stands for any.
func IsHost(host string) bool {
	return host == "" || len(host) <= maxHost && hostPattern.MatchString(host)
}

// IsPrefix reports whether a route may name the path prefix.
func IsPrefix(prefix string) bool {
	if prefix == "/" {
		return true
	}
	rest, ok := strings.CutPrefix(prefix, "/")
	if !ok || len(prefix) > maxPrefix {
		return false
	}
	for segment := range strings.SplitSeq(rest, "/") {
		if segment == "." || segment == ".." || !segmentPattern.MatchString(segment) {
			return false
		}
	}
	return true
}

// IsMethod reports whether a route may name the HTTP method.
func IsMethod(method string) bool { return slices.Contains(methods, method) }

func checkRoutes(s snapshot.Snapshot) []Violation {
	var found []Violation
	slots := map[[2]string][]route.Route{}
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		r := s.Routes[name]
		found = append(found, checkRoute(s, r)...)
		slot := [2]string{r.Host, r.Prefix}
		for _, other := range slots[slot] {
			if overlap(r, other) {
				found = append(found, Violation{Route, name, "prefix", "route " + other.Name + " serves the same host, prefix and method; allowed is one route"})
			}
		}
		slots[slot] = append(slots[slot], r)
	}
	return found
}

func checkRoute(s snapshot.Snapshot, r route.Route) []Violation {
	found := checkName(Route, r.Name)
	wrong := func(key, text string) { found = append(found, Violation{Route, r.Name, key, text}) }
	if _, ok := s.Services[r.Service]; !ok {
		wrong("service", fmt.Sprintf("there is no service %q; allowed is a service of this revision", r.Service))
	}
	if !IsHost(r.Host) {
		wrong("host", "the host is not allowed; allowed is "+HostAllowed)
	}
	if !IsPrefix(r.Prefix) {
		wrong("prefix", "the prefix is not allowed; allowed is "+PrefixAllowed)
	}
	if !uniqueMethods(r.Methods) {
		wrong("methods", "the methods are not allowed; allowed are "+MethodsAllowed+", each once")
	}
	if r.Class >= class.Count {
		wrong("class", "the class is unknown")
	}
	if r.Deadline < MinDeadline || r.Deadline > MaxDeadline {
		wrong("deadline", fmt.Sprintf("the deadline is not allowed; allowed are %s to %s", MinDeadline, MaxDeadline))
	}
	if !(r.Objective >= 0 && r.Objective <= MaxObjective) {
		wrong("objective", fmt.Sprintf("the objective is not allowed; allowed is a share from 0 to %g", MaxObjective))
	}
	return found
}

func uniqueMethods(list []string) bool {
	for i, m := range list {
		if !IsMethod(m) || slices.Contains(list[:i], m) {
			return false
		}
	}
	return true
}

func overlap(a, b route.Route) bool {
	if len(a.Methods) == 0 || len(b.Methods) == 0 {
		return true
	}
	return slices.ContainsFunc(a.Methods, b.MatchesMethod)
}
