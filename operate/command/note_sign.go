package command

import (
	"crypto/ed25519"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"

	"berylpass/config/approval"
	"berylpass/config/signature"
)

// noteSign signs a note.
type noteSign struct {
	root *Command
	output
	access
	Owner     string `long:"owner" value-name:"NAME" required:"yes" description:"your name in the settings"`
	Key       string `long:"key" value-name:"FILE" required:"yes" description:"your private key, as keygen --out wrote it"`
	Anew      bool   `long:"anew" description:"drop signatures that were made on another base or text"`
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"release note, in INI"`
	} `positional-args:"yes" required:"yes"`
}

type signedNote struct {
	File     string   `json:"file"`
	Revision uint64   `json:"revision"`
	Digest   string   `json:"digest"`
	Owners   []string `json:"owners"`
	Required int      `json:"required"`
	Changes  []change `json:"changes"`
}

func (r signedNote) writeText(w io.Writer) {
	printf(w, "%s: revision %d, manifest %s\n", r.File, r.Revision, r.Digest)
	for _, c := range r.Changes {
		printf(w, "%s\n", c.line)
	}
	printf(w, "signed by %s: %d of %d owners required\n", strings.Join(r.Owners, ", "), len(r.Owners), r.Required)
}

// Execute runs the command.
func (c *noteSign) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	d, ctx, cancel, err := c.open(c.root)
	if err != nil {
		return err
	}
	defer cancel()
	private, err := c.privateKey(d)
	if err != nil {
		return err
	}
	head, current, err := d.inForce(ctx)
	if err != nil {
		return err
	}
	p, err := propose(c.Arguments.File, head, current)
	if err != nil {
		return err
	}
	a, err := c.approval(d, p)
	if err != nil {
		return err
	}
	a = a.With(signature.Sign(c.Owner, private, p.manifest.Digest()))
	if err := os.WriteFile(c.Arguments.File+approval.Suffix, a.Encode(), 0o644); err != nil {
		return err
	}
	return c.print(c.root.environment.Stdout, signedNote{
		File: c.Arguments.File, Revision: a.Revision, Digest: hex.EncodeToString(a.Digest[:]),
		Owners: a.Owners(), Required: signature.Required, Changes: changes(p.note),
	})
}

func (c *noteSign) privateKey(d desk) (ed25519.PrivateKey, error) {
	public, ok := d.settings.Owners[c.Owner]
	if !ok {
		names := strings.Join(slices.Sorted(maps.Keys(d.settings.Owners)), ", ")
		return nil, fmt.Errorf("no owner %q in %s; allowed are %s", c.Owner, c.Settings, names)
	}
	private, err := readPrivateKey(c.Key)
	if err != nil {
		return nil, err
	}
	if !public.Equal(private.Public()) {
		return nil, fmt.Errorf("%s is not the private key of %s in %s", c.Key, c.Owner, c.Settings)
	}
	return private, nil
}

// approval returns the valid signatures that the note has already.
func (c *noteSign) approval(d desk, p proposal) (approval.Approval, error) {
	fresh := approval.New(p.manifest.Revision, p.manifest.Digest())
	a, exists, err := readApproval(c.Arguments.File)
	if c.Anew || err == nil && !exists {
		return fresh, nil
	}
	if err != nil {
		return fresh, err
	}
	if a.Digest != fresh.Digest {
		return fresh, fmt.Errorf("%w: %s%s was signed on another base or text; sign with --anew to drop those signatures",
			ErrSignatures, c.Arguments.File, approval.Suffix)
	}
	valid := d.verifier.Signers(signature.Envelope{Signatures: a.Signatures}, a.Digest)
	for _, s := range a.Signatures {
		if slices.Contains(valid, s.Owner) {
			fresh = fresh.With(s)
		}
	}
	return fresh, nil
}
