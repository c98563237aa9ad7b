package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"net/netip"
	"strings"

	"berylpass/config/document"
	"berylpass/config/field"
	"berylpass/config/mistake"
)

// ownerAllowed says which values an owner may have.
const ownerAllowed = "a base64 Ed25519 public key, as `berylpass keygen` prints it"

// readOwners reads the lines name = public key of section [owners] and returns every mistake.
func readOwners(s *Settings, file string, section document.Section) mistake.List {
	var found mistake.List
	ownerOf := map[string]string{}
	for _, e := range section.Entries {
		raw, err := base64.StdEncoding.DecodeString(e.Value)
		switch {
		case !field.IsName(e.Key):
			found = found.With(file, ownersSection, e.Key, "the owner's name is not allowed; allowed is "+field.NameAllowed)
		case err != nil || len(raw) != ed25519.PublicKeySize:
			found = found.With(file, ownersSection, e.Key, "the value is not allowed; allowed is "+ownerAllowed)
		case ownerOf[string(raw)] != "":
			found = found.With(file, ownersSection, e.Key, "the public key is also that of "+ownerOf[string(raw)]+"; allowed are different keys")
		default:
			ownerOf[string(raw)] = e.Key
			s.Owners[e.Key] = raw
		}
	}
	if len(section.Entries) < MinOwners {
		found = found.With(file, ownersSection, "", fmt.Sprintf("%d owners are given; allowed are at least %d, one a line as name = public key", len(section.Entries), MinOwners))
	}
	return found
}

// readDatacentres reads the lines name = region of section [datacentres] and returns every
// mistake.
func readDatacentres(s *Settings, file string, section document.Section) mistake.List {
	var found mistake.List
	for _, e := range section.Entries {
		if !field.IsName(e.Key) || !field.IsName(e.Value) {
			found = found.With(file, datacentresSection, e.Key, "the name or its region is not allowed; allowed is "+field.NameAllowed)
			continue
		}
		s.Datacentres[e.Key] = e.Value
	}
	return found
}

// checkDialect checks the keys that are required or not allowed in the daemon's dialect.
func checkDialect(s Settings, file string) mistake.List {
	var found mistake.List
	if s.Daemon.Dialect != PlatformDialect {
		address, err := netip.ParseAddrPort(s.Listen.Backends)
		if err == nil && !address.Addr().IsLoopback() {
			found = found.With(file, "listen", "backends", "the value is not allowed; allowed is "+loopbackAllowed)
		}
		if len(s.Datacentres) > 0 {
			found = found.With(file, datacentresSection, "", "data centres are given; in berylpass's own dialect release notes name them")
		}
		return found
	}
	if s.Daemon.Service == "" {
		found = found.With(file, "daemon", "service", "the key is missing; it is required in the platform's dialect")
	}
	if s.Daemon.Datacentre != "" && s.Datacentres[s.Daemon.Datacentre] == "" {
		found = found.With(file, datacentresSection, s.Daemon.Datacentre, "the daemon's data centre is missing; allowed is a line name = region for it")
	}
	return found
}

// checkCombinations checks the rules that concern several keys.
func checkCombinations(s Settings, file string) mistake.List {
	var found mistake.List
	if (s.TLS.Certificate == "") != (s.TLS.Key == "") {
		found = found.With(file, "tls", "", "one of certificate and key is given; allowed are both or none")
	}
	found = append(found, checkDialect(s, file)...)
	return append(found, checkAddresses(s, file)...)
}

// anyPort is the end of an address whose port the system chooses.
const anyPort = ":0"

// checkAddresses checks that no two listeners have the same address.
func checkAddresses(s Settings, file string) mistake.List {
	var found mistake.List
	seen := map[string]string{}
	for _, l := range []struct{ key, address string }{
		{"callers", s.Listen.Callers}, {"control", s.Listen.Control}, {"data", s.Listen.Data},
		{"backends", s.Listen.Backends}, {"operators", s.Listen.Operators},
		{"readiness", s.Listen.Readiness},
	} {
		if l.address == "" || strings.HasSuffix(l.address, anyPort) {
			continue
		}
		if first, ok := seen[l.address]; ok {
			found = found.With(file, "listen", l.key, fmt.Sprintf("the address %s is also that of %s; allowed are different ones", l.address, first))
			continue
		}
		seen[l.address] = l.key
	}
	return found
}
