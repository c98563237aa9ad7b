package note

import (
	"strings"
	"time"

	"berylpass/config/class"
	"berylpass/config/datacentre"
	"berylpass/config/field"
	"berylpass/config/organisation"
	"berylpass/config/route"
	"berylpass/config/rules"
	"berylpass/config/service"
	"berylpass/config/snapshot"
)

// The editors of all kinds but keys. Their tables also make docs/RELEASE-NOTES.md.
var organisations = itemEditor[organisation.Organisation]{
	newItem: organisation.New,
	items:   func(s snapshot.Snapshot) map[string]organisation.Organisation { return s.Organisations },
	table: field.Table[organisation.Organisation]{
		field.Number("rate", rules.MinRate, rules.MaxRate, func(o *organisation.Organisation) *float64 { return &o.Rate }).WithRequired().
			WithMeaning("Sustained rate limit over all VMs together, in requests per second."),
		field.Integer("burst", 1, rules.MaxBurst, func(o *organisation.Organisation) *int { return &o.Burst }).WithRequired().
			WithMeaning("Size of the token bucket: the number of requests allowed at once."),
	},
}

var routes = itemEditor[route.Route]{
	newItem: func(name string) route.Route { return route.New(name, "") },
	items:   func(s snapshot.Snapshot) map[string]route.Route { return s.Routes },
	table: field.Table[route.Route]{
		field.Name("service", func(r *route.Route) *string { return &r.Service }).WithRequired().
			WithMeaning("Service whose backend servers run the requests."),
		field.Of("host", rules.HostAllowed, func(r *route.Route) *string { return &r.Host }, parseHost).
			WithDefault("any").WithMeaning("Host whose requests the route serves."),
		field.Of("prefix", rules.PrefixAllowed, func(r *route.Route) *string { return &r.Prefix }, parsePrefix).WithRequired().
			WithMeaning("Path prefix, matched at segment boundaries with the path as the caller sent it, without decoding; the longest wins."),
		field.Of("methods", rules.MethodsAllowed, func(r *route.Route) *[]string { return &r.Methods }, parseMethods).
			WithDefault("all").WithMeaning("HTTP methods that the route serves."),
		field.Flag("repeatable", func(r *route.Route) *bool { return &r.Repeatable }).WithRequired().
			WithMeaning("Whether a request may run more than once."),
		field.Of("class", "reservation, transfer or background", func(r *route.Route) *class.Class { return &r.Class }, parseClass).WithRequired().
			WithMeaning("Class of the requests. While requests wait, reservation gets the largest share of the slots, transfer (uploads and lookups) less, background least."),
		field.Flag("open", func(r *route.Route) *bool { return &r.Open }).
			WithDefault("no").WithMeaning("Whether requests are accepted without a key."),
		field.Duration("deadline", rules.MinDeadline, rules.MaxDeadline, func(r *route.Route) *time.Duration { return &r.Deadline }).
			WithDefault("10s").WithMeaning("Time within which a request must be answered, from its arrival."),
		field.Number("objective", 0, rules.MaxObjective, func(r *route.Route) *float64 { return &r.Objective }).
			WithDefault("0").WithMeaning("Target share of requests answered in time, for the burn report; 0 for none."),
	},
}

var services = itemEditor[service.Service]{
	newItem: service.New,
	items:   func(s snapshot.Snapshot) map[string]service.Service { return s.Services },
	table: field.Table[service.Service]{
		field.Number("floor", 0, 1, func(v *service.Service) *float64 { return &v.Floor }).
			WithDefault("0.5").WithMeaning("Share of healthy capacity that ejections must leave in use."),
		field.Duration("ramp", 0, rules.MaxRamp, func(v *service.Service) *time.Duration { return &v.Ramp }).
			WithDefault("10s").WithMeaning("Time in which a freshly started backend server reaches all its slots."),
		field.Integer("slots", 1, rules.MaxSlots, func(v *service.Service) *int { return &v.Slots }).
			WithDefault("4").WithMeaning("Number of requests at once on a backend server that announces no slots of its own."),
	},
}

var datacentres = itemEditor[datacentre.Datacentre]{
	newItem: func(name string) datacentre.Datacentre { return datacentre.New(name, "") },
	items:   func(s snapshot.Snapshot) map[string]datacentre.Datacentre { return s.Datacentres },
	table: field.Table[datacentre.Datacentre]{
		field.Name("region", func(d *datacentre.Datacentre) *string { return &d.Region }).WithRequired().
			WithMeaning("Region of the data centre."),
		field.Flag("in-service", func(d *datacentre.Datacentre) *bool { return &d.InService }).
			WithDefault("yes").WithMeaning("Whether its backend servers get new requests."),
	},
}

// parseHost reads a route's host; "any" stands for the empty one.
func parseHost(text string) (string, bool) {
	if text == "any" {
		return "", true
	}
	return text, text != "" && rules.IsHost(text)
}

func parsePrefix(text string) (string, bool) { return text, rules.IsPrefix(text) }

// parseMethods reads a list of HTTP methods; "all" stands for the empty list.
func parseMethods(text string) ([]string, bool) {
	if text == "all" {
		return nil, true
	}
	var methods []string
	for m := range strings.SplitSeq(text, ",") {
		m = strings.TrimSpace(m)
		if !rules.IsMethod(m) {
			return nil, false
		}
		methods = append(methods, m)
	}
	return methods, true
}

func parseClass(text string) (class.Class, bool) {
	c, err := class.Parse(text)
	return c, err == nil
}
