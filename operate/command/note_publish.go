package command

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"io"

	"berylpass/config/approval"
	"berylpass/config/archive"
	"berylpass/config/signature"
	"berylpass/store/object"
)

// notePublish implements "berylpass note publish".
type notePublish struct {
	root *Command
	outputFlags
	storeFlags
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"release note, in INI format, with its signatures in FILE.signed"`
	} `positional-args:"yes" required:"yes"`
}

type publishResult struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	// AlreadyPublished reports whether the revision had been published before.
	AlreadyPublished bool `json:"already"`
}

func (r publishResult) writeText(w io.Writer) {
	if r.AlreadyPublished {
		printf(w, "revision %d was already published, manifest %s\n", r.Revision, r.Digest)
		return
	}
	printf(w, "published revision %d, manifest %s\n", r.Revision, r.Digest)
}

// Execute runs the command.
func (c *notePublish) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	a, exists, err := readApproval(c.Arguments.File)
	if err != nil {
		return err
	}
	if !exists {
		return fmt.Errorf("%s: %w: %s%s does not exist; have two owners run berylpass note sign", c.Arguments.File, signature.ErrNotSigned, c.Arguments.File, approval.Suffix)
	}
	d, ctx, cancel, err := c.open(c.root)
	if err != nil {
		return err
	}
	defer cancel()
	r := publishResult{Revision: a.Revision, Digest: hex.EncodeToString(a.Digest[:])}
	if r.AlreadyPublished, err = d.isPublished(ctx, a); err != nil {
		return err
	}
	if !r.AlreadyPublished {
		if err := c.publish(ctx, d, a); err != nil {
			return err
		}
	}
	return c.print(c.root.environment.Stdout, r)
}

// isPublished reports whether the approved manifest is, or was, in force. It returns an error if the store can't be
// read.
func (d deployment) isPublished(ctx context.Context, a approval.Approval) (bool, error) {
	m, err := d.archive.Revision(ctx, a.Revision)
	if errors.Is(err, object.ErrNotFound) {
		return false, nil
	}
	return err == nil && m.Digest() == a.Digest, err
}

// publish publishes the note if it still has the base and text that its owners signed.
func (c *notePublish) publish(ctx context.Context, d deployment, a approval.Approval) error {
	head, current, err := d.inForce(ctx)
	if err != nil {
		return err
	}
	p, err := propose(c.Arguments.File, head, current)
	if err != nil {
		return err
	}
	if p.manifest.Digest() != a.Digest {
		return fmt.Errorf("%w: %s was changed after signing or signed on another base; have two owners sign it again", ErrSignatureMismatch, c.Arguments.File)
	}
	e := signature.NewEnvelope(p.manifest.Encode())
	e.Signatures = a.Signatures
	if err := d.archive.Publish(ctx, head, archive.Publication{Envelope: e, Chunks: p.chunks, Note: p.text}); err != nil {
		return fmt.Errorf("%s: %w", c.Arguments.File, err)
	}
	return nil
}
