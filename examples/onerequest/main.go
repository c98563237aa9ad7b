// Command onerequest starts a fleet of two daemons in this process, sends one request
// through the first daemon to a backend server on the VM of the second, and prints the
// response.
//
//	go run ./examples/onerequest
package main

import (
	"context"
	"fmt"
	"io"
	"log"
	"net/http"
	"time"

	"berylpass/config/datacentre"
	"berylpass/config/key"
	"berylpass/config/organisation"
	"berylpass/config/route"
	"berylpass/config/service"
	"berylpass/config/snapshot"
	"berylpass/operate/localfleet"
)

// secret is the API key of the organisation that sends the request.
const secret = "key-of-hope-bay-library"

func main() {
	if err := run(); err != nil {
		log.Fatal(err)
	}
}

func run() error {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	fleet, err := localfleet.New()
	if err != nil {
		return err
	}
	defer fleet.Close()
	first, err := fleet.StartDaemon("vm-1", "mandeville")
	if err != nil {
		return err
	}
	if _, err := fleet.StartDaemon("vm-2", "christiana"); err != nil {
		return err
	}
	if _, err := fleet.StartBackend("vm-2", "catalogue-desk-1", "catalogue-desk"); err != nil {
		return err
	}
	if err := fleet.Publish(ctx, configuration()); err != nil {
		return err
	}
	if err := fleet.AwaitReady(ctx, 1); err != nil {
		return err
	}
	if err := fleet.AwaitLimits(ctx); err != nil {
		return err
	}
	return sendRequest(ctx, first.Addresses().Callers)
}

func configuration() snapshot.Snapshot {
	return snapshot.New(1).
		WithDatacentre(datacentre.New("mandeville", "jamaica")).
		WithDatacentre(datacentre.New("christiana", "jamaica")).
		WithService(service.New("catalogue-desk")).
		WithRoute(route.New("titles", "catalogue-desk").WithMatch("", "/titles", "GET").WithRepeatable(true)).
		WithOrganisation(organisation.New("hope-bay-library").WithLimit(10, 20).WithKey(key.New("desk", key.DigestOf(secret)))).
		Index()
}

func sendRequest(ctx context.Context, address string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/titles/17", nil)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+secret)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	fmt.Println(response.Status, response.Header.Get("Berylpass-Outcome"))
	fmt.Print(string(body))
	return err
}
