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

var organisations = itemEditor[organisation.Organisation]{
	blank: organisation.New,
	items: func(s snapshot.Snapshot) map[string]organisation.Organisation { return s.Organisations },
	table: field.Table[organisation.Organisation]{
		field.Number("rate", rules.MinRate, rules.MaxRate, func(o *organisation.Organisation) *float64 { return &o.Rate }).WithRequired().
			WithMeaning("Sustained limit over all VMs, in requests a second."),
		field.Integer("burst", 1, rules.MaxBurst, func(o *organisation.Organisation) *int { return &o.Burst }).WithRequired().
			WithMeaning("Requests allowed at once."),
	},
}

var routes = itemEditor[route.Route]{
	blank: func(name string) route.Route { return route.New(name, "") },
	items: func(s snapshot.Snapshot) map[string]route.Route { return s.Routes },
	table: field.Table[route.Route]{
		field.Name("service", func(r *route.Route) *string { return &r.Service }).WithRequired().
			WithMeaning("Service whose backend servers run the requests."),
		field.Of("host", rules.HostAllowed, func(r *route.Route) *string { return &r.Host }, parseHost).
			WithDefault("any").WithMeaning("Host that the route serves."),
		field.Of("prefix", rules.PrefixAllowed, func(r *route.Route) *string { return &r.Prefix }, parsePrefix).WithRequired().
			WithMeaning("Path prefix, matched at segment boundaries; the longest wins."),
		field.Of("methods", rules.MethodsAllowed, func(r *route.Route) *[]string { return &r.Methods }, parseMethods).
			WithDefault("all").WithMeaning("HTTP methods."),
		field.Flag("repeatable", func(r *route.Route) *bool { return &r.Repeatable }).WithRequired().
			WithMeaning("Whether a request may run more than once."),
		field.Of("class", "reservation, transfer or background", func(r *route.Route) *class.Class { return &r.Class }, parseClass).WithRequired().
			WithMeaning("Order of service: reservations before uploads and lookups before background work."),
		field.Flag("open", func(r *route.Route) *bool { return &r.Open }).
			WithDefault("no").WithMeaning("Whether requests need no key."),
		field.Duration("deadline", rules.MinDeadline, rules.MaxDeadline, func(r *route.Route) *time.Duration { return &r.Deadline }).
			WithDefault("10s").WithMeaning("Time from arrival in which a request must be answered."),
		field.Number("objective", 0, rules.MaxObjective, func(r *route.Route) *float64 { return &r.Objective }).
			WithDefault("0").WithMeaning("Share of requests to be answered in time, for the burn report; 0 for none."),
	},
}

var services = itemEditor[service.Service]{
	blank: service.New,
	items: func(s snapshot.Snapshot) map[string]service.Service { return s.Services },
	table: field.Table[service.Service]{
		field.Number("floor", 0, 1, func(v *service.Service) *float64 { return &v.Floor }).
			WithDefault("0.5").WithMeaning("Share of healthy capacity that eviction must leave in use."),
		field.Duration("ramp", 0, rules.MaxRamp, func(v *service.Service) *time.Duration { return &v.Ramp }).
			WithDefault("10s").WithMeaning("Time in which a fresh backend server reaches all its slots."),
		field.Integer("slots", 1, rules.MaxSlots, func(v *service.Service) *int { return &v.Slots }).
			WithDefault("4").WithMeaning("Requests at once on a backend server that announces none."),
	},
}

var datacentres = itemEditor[datacentre.Datacentre]{
	blank: func(name string) datacentre.Datacentre { return datacentre.New(name, "") },
	items: func(s snapshot.Snapshot) map[string]datacentre.Datacentre { return s.Datacentres },
	table: field.Table[datacentre.Datacentre]{
		field.Name("region", func(d *datacentre.Datacentre) *string { return &d.Region }).WithRequired().
			WithMeaning("Region of the data centre."),
		field.Flag("in-service", func(d *datacentre.Datacentre) *bool { return &d.InService }).
			WithDefault("yes").WithMeaning("Whether its backend servers take new work."),
	},
}

func parseHost(text string) (string, bool) {
	if text == "any" {
		return "", true
	}
	return text, text != "" && rules.IsHost(text)
}

func parsePrefix(text string) (string, bool) { return text, rules.IsPrefix(text) }

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
