// Package status describes a daemon and its view of the fleet for operators.
//
// A daemon serves its Status as JSON on the operators' port under /status;
// `berylpass status` reads it and prints it as tables.
//
// # Usage
//
//	s, err := status.Fetch(ctx, "http://127.0.0.1:7005")
//	err = s.WriteTable(os.Stdout)
package status

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"berylpass/choice/admission"
	"berylpass/choice/picker"
)

// maxStatusBytes bounds the size of an encoded status. One with 3,400 backend servers takes less than 2 MiB.
const maxStatusBytes = 16 << 20

// ErrUnreadable reports that a daemon's status could not be fetched.
var ErrUnreadable = errors.New("status can't be read")

// Member is the state of one daemon of the fleet, as the daemon that reports the status knows it.
type Member struct {
	ID         string `json:"id"`
	Datacentre string `json:"datacentre"`
	State      string `json:"state"`
	// Revision is the configuration revision that the member has in force.
	Revision uint64 `json:"revision"`
	// Control is the address of the member's control port.
	Control string `json:"control"`
}

// Datacentre is the state of one data centre of the configuration, with the numbers of
// its members and backend servers.
type Datacentre struct {
	Name      string `json:"name"`
	Region    string `json:"region"`
	InService bool   `json:"in-service"`
	Members   int    `json:"members"`
	Backends  int    `json:"backends"`
}

// Rollout is the state of an operator's order to move a service to another version.
type Rollout struct {
	Service string `json:"service"`
	// Target is the new version, State the state of the order as far as the daemon knows it.
	Target string `json:"target"`
	State  string `json:"state"`
	// Step is the present step if the daemon conducts the order, else empty.
	Step string `json:"step,omitempty"`
	// Share is the share of the daemon's requests that goes to the new version while the order runs.
	Share float64 `json:"share"`
}

// Status is the state of a daemon and its view of the fleet.
type Status struct {
	Daemon      string `json:"daemon"`
	Datacentre  string `json:"datacentre"`
	Version     string `json:"version"`
	Incarnation uint64 `json:"incarnation"`
	Revision    uint64 `json:"revision"`
	// Ready is "ready" or, in kebab case, the reason why the daemon accepts no requests.
	Ready    string `json:"ready"`
	InFlight int    `json:"in-flight"`
	// Shares is the number of limit shares from which the daemon may grant tokens.
	Shares      int                    `json:"shares"`
	Members     []Member               `json:"members"`
	Datacentres []Datacentre           `json:"datacentres"`
	Backends    []picker.BackendStatus `json:"backends"`
	Rollouts    []Rollout              `json:"rollouts,omitempty"`
	// Admission is, for each service, the least urgent level that the daemon admits and what it has refused.
	Admission []admission.Status `json:"admission"`
	// Spill is what has left the region from this daemon; nil in a fleet with one region.
	Spill *Spill `json:"spill,omitempty"`
}

// Spill is what has left a daemon's region since its start.
type Spill struct {
	Region string `json:"region"`
	// Requests and Bytes have left, with their answers; Kept is the number of requests that stayed for lack of this
	// daemon's part of the link's share.
	Requests int64                 `json:"requests"`
	Bytes    int64                 `json:"bytes"`
	Kept     int64                 `json:"kept"`
	Services []picker.RegionStatus `json:"services"`
}

// Fetch reads the status of the daemon whose operators' port is at baseURL. Its error wraps ErrUnreadable.
func Fetch(ctx context.Context, baseURL string) (Status, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL+"/status", nil)
	if err != nil {
		return Status{}, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return Status{}, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Status{}, fmt.Errorf("%w: %s answered %s", ErrUnreadable, baseURL, response.Status)
	}
	var s Status
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&s); err != nil {
		return Status{}, fmt.Errorf("%w: %w", ErrUnreadable, err)
	}
	return s, nil
}

// WriteTable writes the status as tables of text for operators.
func (s Status) WriteTable(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "daemon %s in %s: %s, revision %d, %d requests in flight\n\n",
		s.Daemon, s.Datacentre, s.Ready, s.Revision, s.InFlight); err != nil {
		return err
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeRow(t, "MEMBER", "DATA CENTRE", "STATE", "REVISION", "CONTROL")
	for _, m := range s.Members {
		writeRow(t, m.ID, m.Datacentre, m.State, strconv.FormatUint(m.Revision, 10), m.Control)
	}
	writeRow(t)
	writeRow(t, "DATA CENTRE", "REGION", "SERVICE", "MEMBERS", "BACKENDS")
	for _, d := range s.Datacentres {
		writeRow(t, d.Name, d.Region, inOrOut(d.InService), strconv.Itoa(d.Members), strconv.Itoa(d.Backends))
	}
	if s.Spill != nil {
		writeRow(t)
		writeRow(t, "REGION", "LEFT IT", "BYTES", "KEPT")
		writeRow(t, s.Spill.Region, strconv.FormatInt(s.Spill.Requests, 10), strconv.FormatInt(s.Spill.Bytes, 10), strconv.FormatInt(s.Spill.Kept, 10))
		writeRow(t, "SERVICE", "LOAD IN REGION", "LET OUT")
		for _, line := range s.Spill.Services {
			writeRow(t, line.Service, strconv.FormatFloat(line.Load, 'f', 2, 64), strconv.FormatFloat(line.Fraction, 'f', 2, 64))
		}
	}
	writeRow(t)
	if len(s.Rollouts) > 0 {
		writeRow(t, "ROLL-OUT", "NEW VERSION", "STATE", "STEP", "SHARE")
		for _, r := range s.Rollouts {
			writeRow(t, r.Service, r.Target, r.State, r.Step, strconv.FormatFloat(r.Share, 'f', 2, 64))
		}
		writeRow(t)
	}
	writeRow(t, "SERVICE", "ADMITTED", "REFUSED")
	for _, a := range s.Admission {
		writeRow(t, a.Service, a.Admitted, refusals(a.Refused))
	}
	writeRow(t)
	writeRow(t, "BACKEND", "SERVICE", "DATA CENTRE", "STATE", "REASON", "IN USE", "QUEUED", "LIMIT")
	for _, b := range s.Backends {
		writeRow(t, string(b.Backend), b.Service, b.Datacentre, b.State, b.Reason,
			strconv.Itoa(b.InUse), strconv.Itoa(b.Queued), strconv.Itoa(b.Limit))
	}
	return t.Flush()
}

// refusals returns the numbers of refusals by reason as text, "none" if there are none.
func refusals(byReason map[string]uint64) string {
	var all []string
	for _, reason := range slices.Sorted(maps.Keys(byReason)) {
		all = append(all, fmt.Sprintf("%s %d", reason, byReason[reason]))
	}
	if len(all) == 0 {
		return "none"
	}
	return strings.Join(all, ", ")
}

func inOrOut(in bool) string {
	if in {
		return "in"
	}
	return "out"
}

// writeRow writes the cells of one row, each followed by a tab.
func writeRow(w io.Writer, cells ...string) {
	for _, c := range cells {
		_, _ = io.WriteString(w, c+"\t")
	}
	_, _ = io.WriteString(w, "\n")
}
