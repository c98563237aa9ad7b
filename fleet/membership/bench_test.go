package membership

import (
	"fmt"
	"testing"
	"time"

	"berylpass/fleet/member"
	"berylpass/platform/client"
	"berylpass/platform/standin"
)

// BenchmarkTraffic reports the traffic of a daemon's TLS connections in bytes per
// second, sent and received together, in a fleet on loopback in which nothing changes.
// It counts for 10 s, after 20 s in which the daemons join and open their connections.
func BenchmarkTraffic(b *testing.B) {
	for _, size := range []int{3, 9, 24} {
		b.Run(fmt.Sprintf("daemons=%d", size), func(b *testing.B) {
			platform, err := standin.New("127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			defer platform.Close()
			store := client.New("http://"+platform.Address(), client.WithSeed(1))
			defer store.Close()
			fleet := make([]*daemon, size)
			for i := range fleet {
				fleet[i] = startDaemon(b, member.ID(fmt.Sprintf("vm-%03d", i)), store)
			}
			for range b.N {
				<-time.After(20 * time.Second)
				before := traffic(fleet)
				calls := platform.Store().Counts().Total()
				<-time.After(10 * time.Second)
				b.ReportMetric(float64(traffic(fleet)-before)/10/float64(size), "B/s")
				b.ReportMetric(float64(platform.Store().Counts().Total()-calls)/10, "store/s")
			}
		})
	}
}

// traffic returns the bytes that the daemons have sent and received since their start.
func traffic(fleet []*daemon) int64 {
	total := int64(0)
	for _, d := range fleet {
		sent, received := d.mesh.Traffic()
		total += sent + received
	}
	return total
}
