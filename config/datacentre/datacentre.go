// Package datacentre describes a data centre and whether it takes work.
//
// # Usage
//
//	d := datacentre.New("srem", "wielkopolska").WithInService(false)
package datacentre

// Datacentre is a place that holds VMs.
type Datacentre struct {
	Name   string
	Region string
	// InService tells that backend servers of the data centre take new work.
	InService bool
}

// New returns a data centre in service.
func New(name, region string) Datacentre {
	return Datacentre{Name: name, Region: region, InService: true}
}

// WithInService returns a copy that is in, or out of, service.
func (d Datacentre) WithInService(in bool) Datacentre {
	d.InService = in
	return d
}
