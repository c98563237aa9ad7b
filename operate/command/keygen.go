package command

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"

	"berylpass/config/key"
)

// callerSecretBytes is the number of random bytes in a caller's key, before encoding.
const callerSecretBytes = 32

// callerPrefix starts every caller's key, so that people and secret scanners recognise a leaked key.
const callerPrefix = "bp-"

// keygen implements "berylpass keygen", which generates keys.
type keygen struct {
	root *Command
	outputFlags
	Caller bool   `long:"caller" description:"generate a key for an organisation's callers"`
	Out    string `long:"out" short:"o" value-name:"FILE" description:"write the private key, or the caller's key, to a new file that only you can read"`
}

type keyResult struct {
	// Secret is an owner's private key in base64, or a caller's key. It is empty if it was written to a file.
	Secret string `json:"secret,omitempty"`
	File   string `json:"file,omitempty"`
	// PublicKey is an owner's public key in base64; Digest is the digest of a caller's key in hex.
	PublicKey string `json:"public-key,omitempty"`
	Digest    string `json:"digest,omitempty"`
}

func (r keyResult) writeText(w io.Writer) {
	if r.File != "" {
		printf(w, "secret written to %s\n", r.File)
	} else {
		printf(w, "secret = %s\n", r.Secret)
	}
	if r.Digest != "" {
		printf(w, "digest = %s\n", r.Digest)
		return
	}
	printf(w, "public key = %s\n", r.PublicKey)
}

// Execute runs the command.
func (c *keygen) Execute(args []string) error {
	if err := noArguments(args); err != nil {
		return err
	}
	r, err := c.generate()
	if err != nil {
		return fmt.Errorf("generate a key: %w", err)
	}
	if c.Out != "" {
		if err := writeSecret(c.Out, r.Secret); err != nil {
			return err
		}
		r.Secret, r.File = "", c.Out
	}
	return c.print(c.root.environment.Stdout, r)
}

func (c *keygen) generate() (keyResult, error) {
	if c.Caller {
		raw := make([]byte, callerSecretBytes)
		if _, err := io.ReadFull(c.root.environment.Random, raw); err != nil {
			return keyResult{}, err
		}
		secret := callerPrefix + base64.RawURLEncoding.EncodeToString(raw)
		digest := key.DigestOf(secret)
		return keyResult{Secret: secret, Digest: hex.EncodeToString(digest[:])}, nil
	}
	seed := make([]byte, ed25519.SeedSize)
	if _, err := io.ReadFull(c.root.environment.Random, seed); err != nil {
		return keyResult{}, err
	}
	public := ed25519.NewKeyFromSeed(seed).Public().(ed25519.PublicKey)
	return keyResult{
		Secret:    base64.StdEncoding.EncodeToString(seed),
		PublicKey: base64.StdEncoding.EncodeToString(public),
	}, nil
}

// writeSecret writes the secret to a new file that only its owner can read. It fails if the file exists.
func writeSecret(file, secret string) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	_, errWrite := io.WriteString(f, secret+"\n")
	if err := f.Close(); err != nil {
		return err
	}
	return errWrite
}

// readPrivateKey reads an owner's private key from a file that keygen wrote.
func readPrivateKey(file string) (ed25519.PrivateKey, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, fmt.Errorf("%s: not an owner's private key; use a file written by berylpass keygen --out", file)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}
