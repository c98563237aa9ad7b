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

// Largest lengths of a route's host and path prefix, in bytes.
const (
	maxHost   = 253
	maxPrefix = 1024
)

// HostAllowed, PrefixAllowed and MethodsAllowed say which hosts, path prefixes and methods a
// route may have.
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

// IsHost reports whether a route may have the host; the empty host stands for any.
func IsHost(host string) bool {
	return host == "" || len(host) <= maxHost && hostPattern.MatchString(host)
}

// IsPrefix reports whether a route may have the path prefix.
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

// IsMethod reports whether a route may have the HTTP method.
func IsMethod(method string) bool { return slices.Contains(methods, method) }

// checkRoutes checks each route, and that no two routes match the same requests.
func checkRoutes(s snapshot.Snapshot) []Violation {
	var found []Violation
	byMatch := map[[2]string][]route.Route{}
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		r := s.Routes[name]
		found = append(found, checkRoute(s, r)...)
		match := [2]string{r.Host, r.Prefix}
		for _, other := range byMatch[match] {
			if methodsOverlap(r, other) {
				found = append(found, Violation{Route, name, "prefix", "route " + other.Name + " serves the same host, prefix and method; allowed is one route"})
			}
		}
		byMatch[match] = append(byMatch[match], r)
	}
	return found
}

// checkRoute checks one route by itself.
func checkRoute(s snapshot.Snapshot, r route.Route) []Violation {
	found := checkName(Route, r.Name)
	report := func(key, text string) { found = append(found, Violation{Route, r.Name, key, text}) }
	if _, ok := s.Services[r.Service]; !ok {
		report("service", fmt.Sprintf("there is no service %q; allowed is a service of this revision", r.Service))
	}
	if !IsHost(r.Host) {
		report("host", "the host is not allowed; allowed is "+HostAllowed)
	}
	if !IsPrefix(r.Prefix) {
		report("prefix", "the prefix is not allowed; allowed is "+PrefixAllowed)
	}
	if !uniqueMethods(r.Methods) {
		report("methods", "the methods are not allowed; allowed are "+MethodsAllowed+", each once")
	}
	if r.Class >= class.Count {
		report("class", "the class is unknown")
	}
	if r.Deadline < MinDeadline || r.Deadline > MaxDeadline {
		report("deadline", fmt.Sprintf("the deadline is not allowed; allowed are %s to %s", MinDeadline, MaxDeadline))
	}
	if !(r.Objective >= 0 && r.Objective <= MaxObjective) {
		report("objective", fmt.Sprintf("the objective is not allowed; allowed is a share from 0 to %g", MaxObjective))
	}
	return found
}

// uniqueMethods reports whether every method of list is allowed and listed once.
func uniqueMethods(list []string) bool {
	for i, m := range list {
		if !IsMethod(m) || slices.Contains(list[:i], m) {
			return false
		}
	}
	return true
}

// methodsOverlap reports whether both routes serve some method.
func methodsOverlap(a, b route.Route) bool {
	if len(a.Methods) == 0 || len(b.Methods) == 0 {
		return true
	}
	return slices.ContainsFunc(a.Methods, b.MatchesMethod)
}
