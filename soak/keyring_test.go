package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"berylpass/platform/document"
)

// callerKey is a caller's key and the organisation that it belongs to.
type callerKey struct{ organisation, secret string }

// keyring holds the keys that callers use, including withdrawn ones, and those that are
// in force.
type keyring struct {
	mu         sync.Mutex
	issued     []callerKey
	inForce    map[string][]string
	lastNumber int
	version    int
}

func newKeyring() *keyring {
	k := &keyring{inForce: map[string][]string{}}
	for _, organisation := range []string{"t-1", "t-2", "t-3"} {
		k.add(organisation)
	}
	return k
}

// add gives an organisation another key.
func (k *keyring) add(organisation string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastNumber++
	secret := fmt.Sprintf("key-of-%s-number-%06d", organisation, k.lastNumber)
	k.issued = append(k.issued, callerKey{organisation, secret})
	k.inForce[organisation] = append(k.inForce[organisation], secret)
}

// withdraw withdraws the oldest key in force of an organisation and returns it. Callers
// go on using it.
func (k *keyring) withdraw(organisation string) (secret string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	secret = k.inForce[organisation][0]
	k.inForce[organisation] = k.inForce[organisation][1:]
	return secret
}

// pick returns a random key. In one of four cases the key is picked from all that were
// issued, and may be withdrawn; otherwise it is the newest one of an organisation.
func (k *keyring) pick(random *rand.Rand) (picked callerKey, mayBeWithdrawn bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	picked = k.issued[random.IntN(len(k.issued))]
	if random.IntN(4) == 0 {
		return picked, true
	}
	current := k.inForce[picked.organisation]
	return callerKey{picked.organisation, current[len(current)-1]}, false
}

// configuration returns a new version of the configuration document, with the keys in
// force.
func (k *keyring) configuration() []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.version++
	return document.Configuration{
		Version: k.version, Host: "app.example", Service: "rounds",
		RepeatableByPrefix: map[string]bool{"/visits/": false, "/fields/": true},
		Timeout:            2 * time.Second, MaxAttempts: 3, ColdRate: 50,
		Keys: k.inForce, Rate: 1000, Burst: 1000,
	}.JSON()
}
