// Package rules checks that a configuration is consistent and within its bounds.
//
// The revision that a release note makes is checked before the note is signed, and a
// daemon checks each revision again before it uses it, whoever signed it.
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

// Bounds of a configuration. MaxKeys is for each organisation, MaxSlots for each backend
// server. Rates are in requests per second, bursts in requests; MaxObjective is a share.
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

// The kinds of items in a configuration.
const (
	Organisation = "organisation"
	Key          = "key"
	Route        = "route"
	Service      = "service"
	Datacentre   = "datacentre"
)

// Violation is one broken rule.
type Violation struct {
	// Kind is the kind of the item that breaks the rule.
	Kind string
	// Name is the name of the item, ORGANISATION/ID for a key; empty if the rule concerns
	// all items of the kind.
	Name string
	// Key is the key in a release note whose value is wrong; empty if the rule concerns the
	// whole item.
	Key string
	// Text says what is wrong and what is allowed.
	Text string
}

// Check returns every violation in s, in a fixed order; none if s is valid.
func Check(s snapshot.Snapshot) []Violation {
	var found []Violation
	found = append(found, checkCount(Organisation, len(s.Organisations), MaxOrganisations)...)
	found = append(found, checkCount(Route, len(s.Routes), MaxRoutes)...)
	found = append(found, checkCount(Service, len(s.Services), MaxServices)...)
	found = append(found, checkCount(Datacentre, len(s.Datacentres), MaxDatacentres)...)
	for _, name := range slices.Sorted(maps.Keys(s.Datacentres)) {
		found = append(found, checkDatacentre(s.Datacentres[name])...)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Services)) {
		found = append(found, checkService(s.Services[name])...)
	}
	keyOf := map[key.Digest]string{}
	for _, name := range slices.Sorted(maps.Keys(s.Organisations)) {
		found = append(found, checkOrganisation(s.Organisations[name], keyOf)...)
	}
	return append(found, checkRoutes(s)...)
}

// checkCount checks that there are at most limit items of a kind.
func checkCount(kind string, n, limit int) []Violation {
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
		found = append(found, Violation{Service, v.Name, "slots", fmt.Sprintf("the number of slots is not allowed; allowed are 1 to %d", MaxSlots)})
	}
	return found
}

// checkOrganisation checks an organisation and its keys. keyOf holds the name of the key with
// each digest so far; it gains those of the organisation.
func checkOrganisation(o organisation.Organisation, keyOf map[key.Digest]string) []Violation {
	found := checkName(Organisation, o.Name)
	if !(o.Rate >= MinRate && o.Rate <= MaxRate) {
		found = append(found, Violation{Organisation, o.Name, "rate", fmt.Sprintf("the rate is not allowed; allowed are %g to %g requests per second", MinRate, MaxRate)})
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
		found = append(found, checkKey(name, k, ids[k.ID], keyOf)...)
		ids[k.ID] = true
	}
	return found
}

// checkKey checks a key of the given name and adds its digest to keyOf. repeated reports whether
// an earlier key of the organisation has the same ID.
func checkKey(name string, k key.Key, repeated bool, keyOf map[key.Digest]string) []Violation {
	var found []Violation
	if !field.IsName(k.ID) {
		found = append(found, Violation{Key, name, "", "the ID is not allowed; allowed is " + field.NameAllowed})
	}
	if repeated {
		found = append(found, Violation{Key, name, "", "the ID is used twice; allowed is once in an organisation"})
	}
	if first, ok := keyOf[k.Digest]; ok {
		found = append(found, Violation{Key, name, "digest", "the digest is also that of key " + first + "; allowed is a digest of its own"})
		return found
	}
	keyOf[k.Digest] = name
	return found
}
