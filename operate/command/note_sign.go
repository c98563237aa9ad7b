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

// noteSign implements "berylpass note sign".
type noteSign struct {
	root *Command
	outputFlags
	storeFlags
	Owner             string `long:"owner" value-name:"NAME" required:"yes" description:"your name in the section owners of the settings"`
	Key               string `long:"key" value-name:"FILE" required:"yes" description:"your private key, as written by berylpass keygen --out"`
	DiscardSignatures bool   `long:"anew" description:"discard all existing signatures, such as those made for another base or text"`
	Arguments         struct {
		File string `positional-arg-name:"FILE" description:"release note, in INI format"`
	} `positional-args:"yes" required:"yes"`
}

type signResult struct {
	File     string   `json:"file"`
	Revision uint64   `json:"revision"`
	Digest   string   `json:"digest"`
	Owners   []string `json:"owners"`
	Required int      `json:"required"`
	Changes  []change `json:"changes"`
}

func (r signResult) writeText(w io.Writer) {
	printf(w, "%s: revision %d, manifest %s\n", r.File, r.Revision, r.Digest)
	for _, c := range r.Changes {
		printf(w, "%s\n", c.line)
	}
	printf(w, "signed by %s: %d of %d required owners\n", strings.Join(r.Owners, ", "), len(r.Owners), r.Required)
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
	return c.print(c.root.environment.Stdout, signResult{
		File: c.Arguments.File, Revision: a.Revision, Digest: hex.EncodeToString(a.Digest[:]),
		Owners: a.Owners(), Required: signature.RequiredSigners, Changes: changes(p.note),
	})
}

// privateKey reads the owner's private key and checks it against the public key in the settings.
func (c *noteSign) privateKey(d deployment) (ed25519.PrivateKey, error) {
	public, ok := d.settings.Owners[c.Owner]
	if !ok {
		names := strings.Join(slices.Sorted(maps.Keys(d.settings.Owners)), ", ")
		return nil, fmt.Errorf("no owner %q in %s; owners are %s", c.Owner, c.Settings, names)
	}
	private, err := readPrivateKey(c.Key)
	if err != nil {
		return nil, err
	}
	if !public.Equal(private.Public()) {
		return nil, fmt.Errorf("%s does not match the public key of owner %q in %s", c.Key, c.Owner, c.Settings)
	}
	return private, nil
}

// approval returns the valid signatures that the note already has. With --anew it returns none.
func (c *noteSign) approval(d deployment, p proposal) (approval.Approval, error) {
	fresh := approval.New(p.manifest.Revision, p.manifest.Digest())
	a, exists, err := readApproval(c.Arguments.File)
	if c.DiscardSignatures || err == nil && !exists {
		return fresh, nil
	}
	if err != nil {
		return fresh, err
	}
	if a.Digest != fresh.Digest {
		return fresh, fmt.Errorf("%w: %s%s holds signatures for another base or text; use --anew to discard them",
			ErrSignatureMismatch, c.Arguments.File, approval.Suffix)
	}
	valid := d.verifier.Signers(signature.Envelope{Signatures: a.Signatures}, a.Digest)
	for _, s := range a.Signatures {
		if slices.Contains(valid, s.Owner) {
			fresh = fresh.With(s)
		}
	}
	return fresh, nil
}
