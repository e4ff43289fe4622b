package demo

import (
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/internal/localsite"
)

const (
	// daemonCount is how many daemons run; each is a replica of the logs.
	daemonCount = 3
	// stopTimeout bounds a graceful shutdown; it exceeds the request timeout of
	// the embedded configuration, after which no request is in flight.
	stopTimeout = 18 * time.Second
)

// locations are the regions and data centres of the daemons.
var locations = []localsite.Location{
	{Region: "gauteng", DataCentre: "jhb-north"},
	{Region: "gauteng", DataCentre: "pta-east"},
	{Region: "western-cape", DataCentre: "cpt-south"},
}

// newSite prepares the daemons, whose events go to the recorder; they are not
// started yet.
func newSite(folder string, log *zap.Logger, rec *recorder) (*localsite.Site, error) {
	return localsite.New(localsite.Options{
		Folder: folder, Locations: locations, Replicas: daemonCount,
		Log: log, Observe: rec.record, StopTimeout: stopTimeout,
	})
}
