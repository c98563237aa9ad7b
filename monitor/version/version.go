// Package version reports which build of berylpass is running.
//
// # Usage
//
//	fmt.Println(version.Current())
package version

import (
	"runtime/debug"
)

// unknownVersion is the version of a build without version information.
const unknownVersion = "devel"

// shortCommitDigits is the number of hexadecimal digits of a commit's hash that are kept.
const shortCommitDigits = 12

// Build describes a build.
type Build struct {
	Version string `json:"version"`
	// Commit is the short hash of the source's commit, with the suffix -dirty if there were
	// uncommitted changes; empty if unknown.
	Commit string `json:"commit,omitempty"`
	// Go is the version of the Go toolchain that built the program.
	Go string `json:"go"`
}

// Current returns the version of the running program.
func Current() Build {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Build{Version: unknownVersion}
	}
	v := Build{Version: info.Main.Version, Go: info.GoVersion}
	if v.Version == "" || v.Version == "(devel)" {
		v.Version = unknownVersion
	}
	settings := map[string]string{}
	for _, s := range info.Settings {
		settings[s.Key] = s.Value
	}
	commit := settings["vcs.revision"]
	v.Commit = commit[:min(len(commit), shortCommitDigits)]
	if v.Commit != "" && settings["vcs.modified"] == "true" {
		v.Commit += "-dirty"
	}
	return v
}

// String returns the version as one line of text.
func (b Build) String() string {
	text := "berylpass " + b.Version
	if b.Commit != "" {
		text += " (" + b.Commit + ")"
	}
	if b.Go != "" {
		text += " " + b.Go
	}
	return text
}
