// Package datacentre describes a data centre and whether it is in service.
//
// # Usage
//
//	d := datacentre.New("srem", "wielkopolska").WithInService(false)
package datacentre

// Datacentre is a data centre with VMs of the fleet.
type Datacentre struct {
	Name   string
	Region string
	// InService reports whether the backend servers of the data centre take new requests.
	InService bool
}

// New returns a data centre in service.
func New(name, region string) Datacentre {
	return Datacentre{Name: name, Region: region, InService: true}
}

// WithInService returns a copy that is in service if in is true, else out of service.
func (d Datacentre) WithInService(in bool) Datacentre {
	d.InService = in
	return d
}
