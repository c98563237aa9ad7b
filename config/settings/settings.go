// Package settings reads the settings of one daemon from an INI file.
//
// Settings say where a daemon runs, on which addresses it listens, how it authenticates
// itself to its peers, where the platform is and whose signatures it trusts.
// Everything else is configuration, which daemons get from release notes.
// The file is checked as a whole and every mistake is reported at once.
// docs/SETTINGS.md lists the keys; a test generates it and checks that it is current.
//
// # Usage
//
//	s, err := settings.Load("daemon.ini")
//	if errors.Is(err, mistake.ErrInvalid) { fmt.Fprintln(os.Stderr, err) }
package settings

import (
	"crypto/ed25519"
	"os"
	"time"

	"berylpass/config/document"
)

// MinOwners is the smallest number of owners: two different ones sign each release note.
const MinOwners = 2

// Settings are the settings of one daemon, as its file gives them.
type Settings struct {
	Daemon   Daemon
	Listen   Listen
	Mesh     Mesh
	Platform Platform
	// Owners are the trusted public keys by the owner's name; none in the platform's dialect.
	Owners   map[string]ed25519.PublicKey
	Limits   Limits
	Regions  Regions
	Rollout  Rollout
	Shutdown Shutdown
	TLS      TLS
	Log      Log
	// Datacentres are the regions of the data centres, by name. They are given in the
	// platform's dialect only, which has no release notes to name them.
	Datacentres map[string]string
}

// The dialects: the interfaces that a daemon offers to callers, backend servers and operators.
const (
	// BerylpassDialect is berylpass's own dialect, with signed release notes.
	BerylpassDialect = "berylpass"
	// PlatformDialect is the dialect of the users' platform.
	PlatformDialect = "platform"
)

// Daemon is the section [daemon]: the identity of the daemon.
type Daemon struct {
	ID, Datacentre, Region string
	Dialect                string
	// Service is the service of the backend server on the same VM; required in the
	// platform's dialect.
	Service string
}

// Listen is the section [listen]: the addresses, IP:port, on which the daemon listens.
// Readiness may be empty.
type Listen struct{ Callers, Control, Data, Backends, Operators, Readiness string }

// Mesh is the section [mesh]: how daemons of the fleet authenticate and find each other.
type Mesh struct {
	// Secret authenticates the daemon to its peers; AlsoTrustedSecrets are accepted from
	// peers too, during a rotation.
	Secret             string
	AlsoTrustedSecrets []string
	// Seeds are the control addresses, IP:port, of daemons through which to join the fleet
	// while the store is unreachable.
	Seeds []string
}

// Platform is the section [platform]: how to reach the platform's object API.
type Platform struct {
	URL     string
	Timeout time.Duration
}

// Limits is the section [limits]: bounds on requests. Sizes are in bytes.
type Limits struct {
	MaxBody   int64
	MaxHeader int64
	// QueuePerBackend is the largest number of requests queued for one backend server.
	QueuePerBackend int
	// RetryShare is the number of retries and hedges, as a share from 0 to 1 of a service's
	// requests, that may be made. RetrySlack is the number of them that the whole fleet may
	// save up for a service.
	RetryShare float64
	RetrySlack int
	// HedgeShare is the extra work that hedged requests may put on a service's backend servers,
	// as a share from 0 to 1 of the service's work; 0 for no hedges.
	HedgeShare float64
	// LimitOvershoot is the share, and LimitSlack the number, by which the requests that
	// the whole fleet runs for an organisation may exceed its limit.
	LimitOvershoot float64
	LimitSlack     int
	// CallerConnections is the largest number of callers' connections open at once.
	CallerConnections int
	// Memory is the memory in bytes that the daemon may use, Descriptors the number of file
	// descriptors; 0 for what the VM has.
	Memory      int64
	Descriptors int
}

// Regions is the section [regions]: what requests may use of the link between two regions. It has no effect in a
// fleet with one region.
type Regions struct {
	// LinkRate is the capacity of the link in each direction, in Mbit/s. SpillShare is the share of it, from 0 to 1, that
	// requests of all daemons of a region may use together.
	LinkRate   float64
	SpillShare float64
}

// SpillRate returns the bytes a second that requests of all daemons of a region may use together.
func (r Regions) SpillRate() float64 { return r.LinkRate * r.SpillShare * bytesPerMegabit }

// bytesPerMegabit is the number of bytes in 1 Mbit.
const bytesPerMegabit = 1e6 / 8

// Rollout is the section [rollout]: bounds on the requests that a new version of a service may get before it is proven.
type Rollout struct {
	// ExposureShare is the share, from 0 to 1, of a service's requests from the order to its deadline; 0 if services are
	// not moved to new versions by orders. ExposureSlack is the number of requests in addition.
	ExposureShare float64
	ExposureSlack int
}

// Shutdown is the section [shutdown]. Grace is how long requests in flight may go on after
// SIGTERM, less Reserve, the last part of it in which the daemon must have ended.
type Shutdown struct{ Grace, Reserve time.Duration }

// Time returns the time from SIGTERM to the end of the requests in flight; not below zero.
func (s Shutdown) Time() time.Duration { return max(s.Grace-s.Reserve, 0) }

// TLS is the section [tls]: the names of the PEM files for the callers' port. Both are empty
// for plain HTTP.
type TLS struct{ Certificate, Key string }

// Log is the section [log]. Level is the lowest level that is logged.
type Log struct{ Level string }

// Load reads and checks a daemon's file. If the file has mistakes, the error is a
// mistake.List.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	return Parse(file, text)
}

// LoadOperator reads and checks a file for the operators' commands: a daemon's file,
// or one with the sections platform and owners only. Sections that are given must be
// complete.
func LoadOperator(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	return parse(file, text, func(section string) bool { return section == platformSection })
}

// Parse reads and checks the text of a daemon's file. Its error is a mistake.List.
func Parse(file string, text []byte) (Settings, error) {
	return parse(file, text, func(string) bool { return true })
}

// parse reads and checks the text of a file. A section must have its required keys if it is
// given or if mustBeComplete reports true for its name.
func parse(file string, text []byte, mustBeComplete func(section string) bool) (Settings, error) {
	d, found := document.Parse(file, text)
	if len(d.Sections) == 0 && len(found) > 0 {
		return Settings{}, found.Err()
	}
	s := Settings{Owners: map[string]ed25519.PublicKey{}, Datacentres: map[string]string{}}
	given := map[string]document.Section{}
	for _, section := range d.Sections {
		given[section.Name] = section
		if !isSection(section.Name) {
			found = found.With(file, section.Name, "", "unknown section; allowed are "+sectionNames())
		}
	}
	for _, g := range groups {
		section, ok := given[g.name]
		if !ok {
			section = document.Section{Name: g.name}
		}
		found = append(found, g.read(&s, file, section, ok || mustBeComplete(g.name))...)
	}
	found = append(found, readDatacentres(&s, file, given[datacentresSection])...)
	if s.Daemon.Dialect != PlatformDialect {
		found = append(found, readOwners(&s, file, given[ownersSection])...)
	}
	found = append(found, checkCombinations(s, file)...)
	if len(found) > 0 {
		return Settings{}, found
	}
	return s, nil
}
