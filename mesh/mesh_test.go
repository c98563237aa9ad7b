package mesh

import (
	"context"
	"errors"
	"testing"
	"time"

	"berylpass/fleet/member"
	"berylpass/mesh/meshkey"
)

// releaseLate blocks the answers of echo.Late until it is closed.
var releaseLate = make(chan struct{})

// directory is a Directory of control addresses by member.
type directory map[member.ID]string

func (d directory) ControlAddress(id member.ID) (string, bool) {
	address, ok := d[id]
	return address, ok
}

// echo is the receiver under test.
type echo struct{ release chan struct{} }

// Say returns its argument.
func (echo) Say(text string, reply *string) error {
	*reply = text
	return nil
}

// Late returns its argument once release is closed.
func (e echo) Late(text string, reply *string) error {
	<-e.release
	*reply = text
	return nil
}

// startMesh starts a mesh that shows the first secret and trusts all of them.
func startMesh(t *testing.T, d directory, secrets ...string) *Mesh {
	t.Helper()
	key, err := meshkey.New(secrets[0], secrets[1:]...)
	if err != nil {
		t.Fatal(err)
	}
	m, err := New("127.0.0.1:0", key, d)
	if err != nil {
		t.Fatal(err)
	}
	if err := m.Register("Echo", echo{release: releaseLate}); err != nil {
		t.Fatal(err)
	}
	m.Serve()
	t.Cleanup(m.Close)
	return m
}

// callEcho calls Echo.Say at a member and returns the reply.
func callEcho(m *Mesh, to member.ID, text string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var reply string
	err := m.Call(ctx, to, "Echo.Say", text, &reply)
	return reply, err
}

// TestCallBetweenMembersAcrossAKeyRotation checks that members at adjacent steps of a
// rotation of the mesh secret can call each other, and that a member without the new
// secret refuses one that shows it.
func TestCallBetweenMembersAcrossAKeyRotation(t *testing.T) {
	d := directory{}
	oldOnly := startMesh(t, d, "old-secret-0123456789")
	both := startMesh(t, d, "new-secret-0123456789", "old-secret-0123456789")
	d["old"], d["both"] = oldOnly.Address(), both.Address()
	if reply, err := callEcho(oldOnly, "both", "hello"); err == nil {
		t.Fatalf("a member without the new secret called one that shows it: got reply %q, want an error", reply)
	}
	rotating := startMesh(t, d, "old-secret-0123456789", "new-secret-0123456789")
	d["rotating"] = rotating.Address()
	for _, call := range []struct {
		from *Mesh
		to   member.ID
	}{{both, "rotating"}, {rotating, "both"}, {rotating, "old"}} {
		if reply, err := callEcho(call.from, call.to, "hello"); err != nil || reply != "hello" {
			t.Errorf("call to %s: got %q, %v, want hello", call.to, reply, err)
		}
	}
}

// TestPeerWithOtherSecretIsRefused checks that a peer with another secret gets no answer.
func TestPeerWithOtherSecretIsRefused(t *testing.T) {
	d := directory{}
	d["a"] = startMesh(t, d, "secret-of-this-fleet").Address()
	untrusted := startMesh(t, d, "secret-of-another-fleet")
	if _, err := callEcho(untrusted, "a", "hello"); err == nil {
		t.Fatal("the call of a peer with another secret was answered")
	}
}

// TestOversizedMessageClosesTheConnection checks that a message over MaxMessageBytes
// fails, and that the next call works over a new connection.
func TestOversizedMessageClosesTheConnection(t *testing.T) {
	d := directory{}
	d["a"] = startMesh(t, d, "secret-of-this-fleet").Address()
	b := startMesh(t, d, "secret-of-this-fleet")
	if _, err := callEcho(b, "a", string(make([]byte, MaxMessageBytes+1))); err == nil {
		t.Fatal("an oversized message was answered")
	}
	if reply, err := callEcho(b, "a", "again"); err != nil || reply != "again" {
		t.Fatalf("call after an oversized message: got %q, %v, want again", reply, err)
	}
}

// TestUnknownAndUnreachableMembers checks the errors of calls that have certainly not run.
func TestUnknownAndUnreachableMembers(t *testing.T) {
	d := directory{"gone": "127.0.0.1:1"}
	m := startMesh(t, d, "secret-of-this-fleet")
	if _, err := callEcho(m, "nobody", ""); !errors.Is(err, ErrUnknownMember) {
		t.Errorf("call to an unknown member: got error %v, want ErrUnknownMember", err)
	}
	if _, err := callEcho(m, "gone", ""); !errors.Is(err, ErrUnreachable) {
		t.Errorf("call to an unreachable member: got error %v, want ErrUnreachable", err)
	}
}

// TestLateAnswerDoesNotWriteReply lets the answer to a call arrive after the call has timed
// out. The reply must keep its value, and the race detector must see no write to it.
func TestLateAnswerDoesNotWriteReply(t *testing.T) {
	releaseLate = make(chan struct{})
	d := directory{}
	d["a"] = startMesh(t, d, "secret-of-this-fleet").Address()
	b := startMesh(t, d, "secret-of-this-fleet")
	if _, err := callEcho(b, "a", "connect"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	reply := "untouched"
	if err := b.Call(ctx, "a", "Echo.Late", "late", &reply); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("got %v, want context.DeadlineExceeded", err)
	}
	close(releaseLate)
	if _, err := callEcho(b, "a", "after"); err != nil {
		t.Fatal(err)
	}
	if reply != "untouched" {
		t.Errorf("the reply was written after the call had ended: %q", reply)
	}
}
