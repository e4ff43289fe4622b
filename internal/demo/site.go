package demo

import (
	"time"

	"go.uber.org/zap"

	"github.com/verbenastep/verbenastep/internal/localsite"
)

const (
	// daemonCount is how many daemons run; each keeps the durable state.
	daemonCount = 3
	// stopTimeout bounds a graceful shutdown; it exceeds the request timeout of
	// the embedded configuration, after which no request is in flight.
	stopTimeout = 18 * time.Second
)

// places are where the daemons are.
var places = []localsite.Location{
	{Region: "gauteng", DataCentre: "jhb-north"},
	{Region: "gauteng", DataCentre: "pta-east"},
	{Region: "western-cape", DataCentre: "cpt-south"},
}

// newSite prepares three daemons whose events go to the recorder.
func newSite(folder string, log *zap.Logger, rec *recorder) (*localsite.Site, error) {
	return localsite.New(localsite.Options{
		Folder: folder, Locations: places, Replicas: daemonCount,
		Log: log, Observe: rec.record, StopTimeout: stopTimeout,
	})
}
