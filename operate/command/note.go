package command

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"berylpass/config/approval"
	"berylpass/config/archive"
	"berylpass/config/chunk"
	"berylpass/config/manifest"
	"berylpass/config/note"
	"berylpass/config/settings"
	"berylpass/config/signature"
	"berylpass/config/snapshot"
	"berylpass/store/object"
)

// storeFlags are the flags of commands that use the object store.
type storeFlags struct {
	Settings string        `long:"settings" short:"s" value-name:"FILE" required:"yes" description:"settings file with the platform's address and the owners' public keys"`
	Timeout  time.Duration `long:"timeout" value-name:"DURATION" default:"30s" description:"time limit for the whole command"`
}

// deployment gives a command the operator's settings and the archive of revisions.
type deployment struct {
	settings settings.Settings
	archive  *archive.Archive
	verifier *signature.Verifier
}

func (c *Command) addNote() {
	n := mustAdd(c.parser.AddCommand("note", "write, sign and publish release notes",
		"A release note lists what it adds to, changes in and withdraws from the revision in force. "+
			"Two different owners must sign it before it can be published.", &struct{}{}))
	for _, sub := range []struct {
		name, short, long string
		data              any
	}{
		{"new", "draft a note", "Print a draft note based on the revision in force, or write it to a new file.", &noteNew{root: c}},
		{"check", "check notes", "Check one or more notes, each against the result of the one before. The first is checked against the revision in force if --settings is given, or otherwise, if its base is 0, against an empty configuration.", &noteCheck{root: c}},
		{"sign", "sign a note", "Sign the revision that a note creates from the revision in force. Signatures are kept in FILE.signed.", &noteSign{root: c}},
		{"publish", "publish a note", "Publish a note that two owners have signed, which puts its revision in force. Publishing a note that is already published succeeds.", &notePublish{root: c}},
		{"show", "show a revision", "Show the note that created a revision, by default the one in force.", &noteShow{root: c}},
		{"history", "list revisions", "List the revisions that the store keeps, newest first.", &noteHistory{root: c}},
		{"status", "show where a revision is in force", "Ask daemons which members of the fleet have a revision in force. The command fails unless all live members have it and every daemon asked has answered.", &noteStatus{root: c}},
	} {
		mustAdd(n.AddCommand(sub.name, sub.short, sub.long, sub.data))
	}
}

// open loads the operator's settings and returns the deployment and a context limited by --timeout.
func (a storeFlags) open(c *Command) (deployment, context.Context, context.CancelFunc, error) {
	s, err := settings.LoadOperator(a.Settings)
	if err != nil {
		return deployment{}, nil, nil, err
	}
	v := signature.NewVerifier(s.Owners)
	ctx, cancel := context.WithTimeout(c.ctx, a.Timeout)
	return deployment{settings: s, archive: archive.New(c.environment.Store(s.Platform), v), verifier: v}, ctx, cancel, nil
}

// inForce returns the revision in force and its configuration.
func (d deployment) inForce(ctx context.Context) (archive.Head, snapshot.Snapshot, error) {
	head, err := d.archive.Head(ctx)
	if err != nil {
		return head, snapshot.Snapshot{}, err
	}
	current, err := d.archive.Load(ctx, head)
	return head, current, err
}

// proposal is the revision that a note creates from the one in force.
type proposal struct {
	note     note.Note
	text     []byte
	manifest manifest.Manifest
	chunks   []chunk.Chunk
}

// propose applies the note in file to current, the configuration of head.
func propose(file string, head archive.Head, current snapshot.Snapshot) (proposal, error) {
	n, text, err := readNote(file)
	if err != nil {
		return proposal{}, err
	}
	next, err := n.Apply(current)
	if errors.Is(err, note.ErrBase) {
		return proposal{}, fmt.Errorf("%s: %w: set base = %d, then check the note and have it signed again", file, err, current.Revision)
	}
	if err != nil {
		return proposal{}, err
	}
	m, chunks, err := manifest.New(next, head.Base(), text)
	return proposal{note: n, text: text, manifest: m, chunks: chunks}, err
}

func readNote(file string) (note.Note, []byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return note.Note{}, nil, err
	}
	n, err := note.Parse(file, text)
	return n, text, err
}

// readApproval returns the signatures in the file beside a note. It returns false without an error if that file does
// not exist.
func readApproval(file string) (approval.Approval, bool, error) {
	text, err := os.ReadFile(file + approval.Suffix)
	if errors.Is(err, os.ErrNotExist) {
		return approval.Approval{}, false, nil
	}
	if err != nil {
		return approval.Approval{}, false, err
	}
	a, err := approval.Parse(file+approval.Suffix, text)
	return a, err == nil, err
}

// title returns the title of the note that created a revision, or a remark in parentheses if the note is missing or
// malformed.
func (d deployment) title(ctx context.Context, m manifest.Manifest) (string, error) {
	text, err := d.archive.Note(ctx, m)
	if errors.Is(err, object.ErrNotFound) {
		return "(note not in the store)", nil
	}
	if err != nil {
		return "", err
	}
	if n, err := note.Parse("note", text); err == nil {
		return n.Title, nil
	}
	return "(malformed note)", nil
}

// change is one change of a note, for output; line is its text form.
type change struct {
	Verb   string            `json:"verb"`
	Kind   string            `json:"kind"`
	Name   string            `json:"name"`
	Values map[string]string `json:"values,omitempty"`
	line   string
}

func changes(n note.Note) []change {
	list := make([]change, 0, len(n.Changes))
	for _, c := range n.Changes {
		r := change{Verb: c.Verb, Kind: c.Kind, Name: c.Name, Values: map[string]string{}}
		var values []string
		for _, v := range c.Values {
			r.Values[v.Key] = v.Value
			values = append(values, v.Key+" = "+v.Value)
		}
		r.line = fmt.Sprintf("  %-9s %-12s %s", c.Verb, c.Kind, c.Name)
		if len(values) > 0 {
			r.line += ": " + strings.Join(values, ", ")
		}
		list = append(list, r)
	}
	return list
}
