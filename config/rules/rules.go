// Package rules checks that a whole configuration is consistent and within bounds.
//
// A release note is checked against them before it is signed, and a daemon checks
// them again before it takes a revision, whoever signed it.
//
// # Usage
//
//	for _, v := range rules.Check(s) {
//		fmt.Println(v.Kind, v.Name, v.Key, v.Text)
//	}
package rules

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"berylpass/config/datacentre"
	"berylpass/config/field"
	"berylpass/config/key"
	"berylpass/config/organisation"
	"berylpass/config/service"
	"berylpass/config/snapshot"
)

// Bounds of a configuration. Rates are in requests per second.
const (
	MaxOrganisations = 50000
	MaxRoutes        = 10000
	MaxServices      = 1000
	MaxDatacentres   = 100
	MaxKeys          = 32
	MinRate          = 0.001
	MaxRate          = 1e6
	MaxBurst         = 1000000
	MaxSlots         = 10000
	MaxRamp          = time.Hour
	MinDeadline      = 10 * time.Millisecond
	MaxDeadline      = 10 * time.Minute
	MaxObjective     = 0.99999
)

// The kinds of what a configuration holds.
const (
	Organisation = "organisation"
	Key          = "key"
	Route        = "route"
	Service      = "service"
	Datacentre   = "datacentre"
)

// Violation is one broken rule.
type Violation struct {
	Kind string
	// Name is the name of the organisation, route, service or data centre, and
	// organisation/ID for a key.
	Name string
	// Key is the key in a release note that is wrong; empty for the whole.
	Key string
	// Text says what is wrong and what is allowed.
	Text string
}

// Check returns every broken rule, in a fixed order.
func Check(s snapshot.Snapshot) []Violation {
	var found []Violation
	found = append(found, count(Organisation, len(s.Organisations), MaxOrganisations)...)
	found = append(found, count(Route, len(s.Routes), MaxRoutes)...)
	found = append(found, count(Service, len(s.Services), MaxServices)...)
	found = append(found, count(Datacentre, len(s.Datacentres), MaxDatacentres)...)
	for _, name := range slices.Sorted(maps.Keys(s.Datacentres)) {
		found = append(found, checkDatacentre(s.Datacentres[name])...)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		found = append(found, checkService(s.Services[name])...)
	}
	owners := map[key.Digest]string{}
	for _, name := range slices.Sorted(maps.Keys(s.Organisations)) {
		found = append(found, checkOrganisation(s.Organisations[name], owners)...)
	}
	return append(found, checkRoutes(s)...)
}

func count(kind string, n, limit int) []Violation {
	if n <= limit {
		return nil
	}
	return []Violation{{Kind: kind, Text: fmt.Sprintf("there are %d; allowed are at most %d", n, limit)}}
}

func checkName(kind, name string) []Violation {
	if field.IsName(name) {
		return nil
	}
	return []Violation{{Kind: kind, Name: name, Text: "the name is not allowed; allowed is " + field.NameAllowed}}
}

func checkDatacentre(d datacentre.Datacentre) []Violation {
	found := checkName(Datacentre, d.Name)
	if !field.IsName(d.Region) {
		found = append(found, Violation{Datacentre, d.Name, "region", "the region is missing or not allowed; allowed is " + field.NameAllowed})
	}
	return found
}

func checkService(v service.Service) []Violation {
	found := checkName(Service, v.Name)
	if !(v.Floor >= 0 && v.Floor <= 1) {
		found = append(found, Violation{Service, v.Name, "floor", "the floor is not allowed; allowed is a share from 0 to 1"})
	}
	if v.Ramp < 0 || v.Ramp > MaxRamp {
		found = append(found, Violation{Service, v.Name, "ramp", fmt.Sprintf("the ramp is not allowed; allowed is at most %s", MaxRamp)})
	}
	if v.Slots < 1 || v.Slots > MaxSlots {
		found = append(found, Violation{Service, v.Name, "slots", fmt.Sprintf("the slots are not allowed; allowed are 1 to %d", MaxSlots)})
	}
	return found
}

func checkOrganisation(o organisation.Organisation, owners map[key.Digest]string) []Violation {
	found := checkName(Organisation, o.Name)
	if !(o.Rate >= MinRate && o.Rate <= MaxRate) {
		found = append(found, Violation{Organisation, o.Name, "rate", fmt.Sprintf("the rate is not allowed; allowed are %g to %g requests a second", MinRate, MaxRate)})
	}
	if o.Burst < 1 || o.Burst > MaxBurst {
		found = append(found, Violation{Organisation, o.Name, "burst", fmt.Sprintf("the burst is not allowed; allowed are 1 to %d requests", MaxBurst)})
	}
	if len(o.Keys) > MaxKeys {
		found = append(found, Violation{Organisation, o.Name, "", fmt.Sprintf("there are %d keys; allowed are at most %d", len(o.Keys), MaxKeys)})
	}
	ids := map[string]bool{}
	for _, k := range o.Keys {
		name := o.Name + "/" + k.ID
		found = append(found, checkKey(name, k, ids[k.ID], owners)...)
		ids[k.ID] = true
	}
	return found
}

func checkKey(name string, k key.Key, repeated bool, owners map[key.Digest]string) []Violation {
	var found []Violation
	if !field.IsName(k.ID) {
		found = append(found, Violation{Key, name, "", "the ID is not allowed; allowed is " + field.NameAllowed})
	}
	if repeated {
		found = append(found, Violation{Key, name, "", "the ID stands twice; allowed is once in an organisation"})
	}
	if first, ok := owners[k.Digest]; ok {
		found = append(found, Violation{Key, name, "digest", "the digest is also that of key " + first + "; allowed is a digest of its own"})
		return found
	}
	owners[k.Digest] = name
	return found
}
