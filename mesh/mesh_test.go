package mesh

import (
	"context"
	"errors"
	"testing"
	"time"

	"berylpass/fleet/member"
	"berylpass/mesh/meshkey"
)

// released holds late answers back until it is closed.
var released = make(chan struct{})

type directory map[member.ID]string

func (d directory) ControlAddress(id member.ID) (string, bool) {
	address, ok := d[id]
	return address, ok
}

type echo struct{ release chan struct{} }

// Say returns its argument.
func (echo) Say(text string, reply *string) error {
	*reply = text
	return nil
}

// Late returns its argument once it is released.
func (e echo) Late(text string, reply *string) error {
	<-e.release
	*reply = text
	return nil
}

func start(t *testing.T, d directory, secrets ...string) *Mesh {
	t.Helper()
	key, err := meshkey.New(secrets[0], secrets[1:]...)
	if err != nil {
		t.Fatal(err)
	}
	m, err := New("127.0.0.1:0", key, d)
	if err != nil {
		t.Fatal(err)
	}
	if err := m.Register("Echo", echo{release: released}); err != nil {
		t.Fatal(err)
	}
	m.Serve()
	t.Cleanup(m.Close)
	return m
}

func say(m *Mesh, to member.ID, text string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	var reply string
	err := m.Call(ctx, to, "Echo.Say", text, &reply)
	return reply, err
}

func TestCallBetweenMembersAcrossAKeyRotation(t *testing.T) {
	d := directory{}
	oldOnly := start(t, d, "old-secret-0123456789")
	both := start(t, d, "new-secret-0123456789", "old-secret-0123456789")
	d["old"], d["both"] = oldOnly.Address(), both.Address()
	if reply, err := say(oldOnly, "both", "hello"); err == nil {
		t.Fatalf("a daemon that lacks the new secret accepted it: %q", reply)
	}
	rotating := start(t, d, "old-secret-0123456789", "new-secret-0123456789")
	d["rotating"] = rotating.Address()
	for _, call := range []struct {
		from *Mesh
		to   member.ID
	}{{both, "rotating"}, {rotating, "both"}, {rotating, "old"}} {
		if reply, err := say(call.from, call.to, "hello"); err != nil || reply != "hello" {
			t.Errorf("call to %s: %q, %v", call.to, reply, err)
		}
	}
}

func TestStrangerIsRefused(t *testing.T) {
	d := directory{}
	d["a"] = start(t, d, "secret-of-this-fleet").Address()
	stranger := start(t, d, "secret-of-another-fleet")
	if _, err := say(stranger, "a", "hello"); err == nil {
		t.Fatal("a stranger's call was answered")
	}
}

func TestOversizedMessageClosesTheConnection(t *testing.T) {
	d := directory{}
	d["a"] = start(t, d, "secret-of-this-fleet").Address()
	b := start(t, d, "secret-of-this-fleet")
	if _, err := say(b, "a", string(make([]byte, MaxMessage+1))); err == nil {
		t.Fatal("an oversized message was answered")
	}
	if reply, err := say(b, "a", "again"); err != nil || reply != "again" {
		t.Fatalf("call after an oversized message: %q, %v", reply, err)
	}
}

func TestUnknownAndUnreachableMembers(t *testing.T) {
	d := directory{"gone": "127.0.0.1:1"}
	m := start(t, d, "secret-of-this-fleet")
	if _, err := say(m, "nobody", ""); !errors.Is(err, ErrUnknownMember) {
		t.Errorf("unknown member: %v", err)
	}
	if _, err := say(m, "gone", ""); !errors.Is(err, ErrUnreachable) {
		t.Errorf("unreachable member: %v", err)
	}
}

// TestLateAnswerLeavesTheReplyAlone ends a call before its answer, lets the answer
// come, and reads the reply: under the race detector nothing else may write it.
func TestLateAnswerLeavesTheReplyAlone(t *testing.T) {
	released = make(chan struct{})
	d := directory{}
	d["a"] = start(t, d, "secret-of-this-fleet").Address()
	b := start(t, d, "secret-of-this-fleet")
	if _, err := say(b, "a", "connect"); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	reply := "untouched"
	if err := b.Call(ctx, "a", "Echo.Late", "late", &reply); !errors.Is(err, context.DeadlineExceeded) {
		t.Fatalf("got %v, want the context's end", err)
	}
	close(released)
	if _, err := say(b, "a", "after"); err != nil {
		t.Fatal(err)
	}
	if reply != "untouched" {
		t.Errorf("the reply was written after the call had ended: %q", reply)
	}
}
