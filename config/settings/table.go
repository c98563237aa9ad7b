package settings

import (
	"net/netip"
	"net/url"
	"strings"
	"time"

	"berylpass/config/document"
	"berylpass/config/field"
	"berylpass/config/mistake"
	"berylpass/mesh/meshkey"
)

// group is a section with a fixed set of keys.
type group struct {
	name  string
	table field.Table[Settings]
}

// read fills s from the section, with defaults for the keys it lacks, and returns every
// mistake. Missing keys are mistakes only if the section must be complete.
func (g group) read(s *Settings, file string, section document.Section, complete bool) mistake.List {
	g.table.Defaults(s)
	found := g.table.Read(s, file, section)
	if !complete {
		return found
	}
	return append(found, g.table.Missing(file, section)...)
}

// Names of sections that other code refers to.
const (
	ownersSection      = "owners"
	datacentresSection = "datacentres"
	platformSection    = "platform"
)

// groups are the sections with fixed keys, in the order of docs/SETTINGS.md.
var groups = []group{
	{"daemon", field.Table[Settings]{
		field.Name("id", func(s *Settings) *string { return &s.Daemon.ID }).WithRequired().
			WithMeaning("Name of the daemon, unique in the fleet; keep it the same across restarts."),
		field.Name("datacentre", func(s *Settings) *string { return &s.Daemon.Datacentre }).WithRequired().
			WithMeaning("Data centre of the VM, by its name in the release notes."),
		field.Name("region", func(s *Settings) *string { return &s.Daemon.Region }).WithRequired().
			WithMeaning("Region of the data centre."),
		field.Choice("dialect", func(s *Settings) *string { return &s.Daemon.Dialect }, BerylpassDialect, PlatformDialect).
			WithDefault(BerylpassDialect).WithMeaning("Interface for callers, backend servers and operators: berylpass's own, or that of the users' platform."),
		field.Text("service", maxPath, func(s *Settings) *string { return &s.Daemon.Service }).
			WithMeaning("Service of the backend server on the same VM; required in the platform's dialect."),
	}},
	{"listen", field.Table[Settings]{
		field.Address("callers", anyAllowed, anyAddress, func(s *Settings) *string { return &s.Listen.Callers }).WithRequired().
			WithMeaning("Address for callers' HTTP requests."),
		field.Address("control", specificAllowed, specificAddress, func(s *Settings) *string { return &s.Listen.Control }).WithRequired().
			WithMeaning("Address for control calls from other daemons; it is announced to them."),
		field.Address("data", specificAllowed, specificAddress, func(s *Settings) *string { return &s.Listen.Data }).WithRequired().
			WithMeaning("Address for requests that other daemons forward; it is announced to them."),
		field.Address("backends", specificAllowed, specificAddress, func(s *Settings) *string { return &s.Listen.Backends }).
			WithDefault("127.0.0.1:7003").WithMeaning("Address for announcements of the backend servers on the same VM; must be on loopback in berylpass's own dialect."),
		field.Address("operators", anyAllowed, anyAddress, func(s *Settings) *string { return &s.Listen.Operators }).
			WithDefault("127.0.0.1:7004").WithMeaning("Address for status, metrics and the burn report. It has no authentication: make it reachable for operators only."),
		field.Address("readiness", specificAllowed, specificAddress, func(s *Settings) *string { return &s.Listen.Readiness }).
			WithMeaning("Address for the platform's readiness checks; without it the daemon answers none."),
	}},
	{"mesh", field.Table[Settings]{
		field.Of("secret", secretAllowed, func(s *Settings) *string { return &s.Mesh.Secret }, parseSecret).WithRequired().WithHidden().
			WithMeaning("Secret that all daemons of the fleet share, with which they authenticate to each other."),
		field.List("also-trusted-secrets", "secrets of at least 16 bytes, separated by commas", isSecret,
			func(s *Settings) *[]string { return &s.Mesh.AlsoTrustedSecrets }).WithHidden().
			WithMeaning("Further secrets to trust, during a rotation."),
		field.List("seeds", "addresses IP:port, separated by commas", isAddress,
			func(s *Settings) *[]string { return &s.Mesh.Seeds }).
			WithMeaning("Control addresses of daemons through which to join the fleet while the store is unreachable."),
	}},
	{platformSection, field.Table[Settings]{
		field.Of("url", "a URL that starts with http:// or https:// and names a host", func(s *Settings) *string { return &s.Platform.URL }, parseURL).WithRequired().
			WithMeaning("URL of the platform's object API."),
		field.Duration("timeout", 100*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.Platform.Timeout }).
			WithDefault("2s").WithMeaning("Timeout of a call to the platform; watches may take longer."),
	}},
	{"limits", field.Table[Settings]{
		field.Size("max-body", 1<<10, 1<<30, func(s *Settings) *int64 { return &s.Limits.MaxBody }).
			WithDefault("64MiB").WithMeaning("Largest body of a request or an answer."),
		field.Size("max-header", 1<<10, 1<<20, func(s *Settings) *int64 { return &s.Limits.MaxHeader }).
			WithDefault("32KiB").WithMeaning("Largest header of a request or an answer."),
		field.Integer("queue-per-backend", 1, 100000, func(s *Settings) *int { return &s.Limits.QueuePerBackend }).
			WithDefault("64").WithMeaning("Largest number of requests queued for one backend server."),
		field.Share("retry-share", func(s *Settings) *float64 { return &s.Limits.RetryShare }).
			WithDefault("0.1").WithMeaning("Retries and hedges allowed, as a share of a service's requests."),
		field.Integer("retry-slack", 0, 1000000, func(s *Settings) *int { return &s.Limits.RetrySlack }).
			WithDefault("100").WithMeaning("Retries and hedges that the whole fleet may save up for a service."),
		field.Share("hedge-share", func(s *Settings) *float64 { return &s.Limits.HedgeShare }).
			WithDefault("0").WithMeaning("Extra work that hedges may put on a service's backend servers, as a share of the service's work; 0 for no hedges. Hedges count as retries too."),
		field.Share("limit-overshoot", func(s *Settings) *float64 { return &s.Limits.LimitOvershoot }).
			WithDefault("0").WithMeaning("Share by which the requests run for an organisation may exceed its rate and burst."),
		field.Integer("limit-slack", 0, 1000000, func(s *Settings) *int { return &s.Limits.LimitSlack }).
			WithDefault("0").WithMeaning("Number by which the requests run for an organisation may exceed its limit in addition."),
		field.Integer("caller-connections", 1, 1000000, func(s *Settings) *int { return &s.Limits.CallerConnections }).
			WithDefault("20000").WithMeaning("Largest number of callers' connections open at once; memory and descriptors may allow fewer. A further one takes the place of one without a request, or of one that reads nothing, else it is closed."),
		memoryField, descriptorsField,
	}},
	{"regions", field.Table[Settings]{
		field.Number("link-rate", 0.1, 1e6, func(s *Settings) *float64 { return &s.Regions.LinkRate }).
			WithDefault("50").WithMeaning("Capacity of the link between two regions in each direction, in Mbit/s."),
		field.Share("spill-share", func(s *Settings) *float64 { return &s.Regions.SpillShare }).
			WithDefault("0.25").WithMeaning("Share of that link that requests may use which their own region has no room for, those of all daemons of a region together."),
	}},
	{"rollout", field.Table[Settings]{
		field.Share("exposure-share", func(s *Settings) *float64 { return &s.Rollout.ExposureShare }).
			WithDefault("0").WithMeaning("Share of a service's requests that an unproven new version may get from the order to its deadline; with 0, orders are not carried out."),
		field.Integer("exposure-slack", 0, 1000000, func(s *Settings) *int { return &s.Rollout.ExposureSlack }).
			WithDefault("0").WithMeaning("Number of requests that an unproven new version may get in addition."),
	}},
	{"shutdown", field.Table[Settings]{
		field.Duration("grace", 0, time.Hour, func(s *Settings) *time.Duration { return &s.Shutdown.Grace }).
			WithDefault("30s").WithMeaning("Time for requests in flight to end after SIGTERM, before the daemon exits anyway."),
		field.Duration("reserve", 0, time.Minute, func(s *Settings) *time.Duration { return &s.Shutdown.Reserve }).
			WithDefault("0s").WithMeaning("Last part of the grace in which the daemon must have ended, because it is killed at the end of the grace."),
	}},
	{"tls", field.Table[Settings]{
		field.Text("certificate", maxPath, func(s *Settings) *string { return &s.TLS.Certificate }).
			WithMeaning("PEM file with the certificate chain of the callers' port. Without it the port speaks plain HTTP."),
		field.Text("key", maxPath, func(s *Settings) *string { return &s.TLS.Key }).
			WithMeaning("PEM file with the certificate's private key."),
	}},
	{"log", field.Table[Settings]{
		field.Choice("level", func(s *Settings) *string { return &s.Log.Level }, "debug", "info", "warn", "error").
			WithDefault("info").WithMeaning("Lowest level that is logged."),
	}},
}

// maxPath is the largest length of a path in bytes; it also bounds the service's name.
const maxPath = 4096

// Texts that say which values a key may have.
const (
	anyAllowed      = "IP:port"
	specificAllowed = "IP:port with an IP of this VM, not 0.0.0.0 or [::]"
	loopbackAllowed = "IP:port with a loopback IP"
	secretAllowed   = "text of at least 16 bytes without commas"
)

func anyAddress(netip.Addr) bool { return true }

// specificAddress reports whether a is an address of one host, which peers can be told, and
// not the unspecified address.
func specificAddress(a netip.Addr) bool { return !a.IsUnspecified() }

func isAddress(text string) bool {
	_, err := netip.ParseAddrPort(text)
	return err == nil
}

// isSecret reports whether text is long enough for a secret and has no comma, which separates
// the secrets of a list.
func isSecret(text string) bool {
	return len(text) >= meshkey.MinSecretLength && !strings.Contains(text, ",")
}

func parseSecret(text string) (string, bool) { return text, isSecret(text) }

func parseURL(text string) (string, bool) {
	u, err := url.Parse(text)
	return text, err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}

// isSection reports whether a file may have a section of the given name.
func isSection(name string) bool {
	for _, g := range groups {
		if g.name == name {
			return true
		}
	}
	return name == ownersSection || name == datacentresSection
}

// sectionNames returns the names of all sections, separated by commas.
func sectionNames() string {
	names := make([]string, 0, len(groups)+1)
	for _, g := range groups {
		names = append(names, g.name)
	}
	return strings.Join(append(names, datacentresSection, ownersSection), ", ")
}
