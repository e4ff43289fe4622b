package operator

// PathRollout returns the last Rollout of the pool named by ?pool= by GET; by POST it takes a
// RolloutOrder and returns the Rollout that it began; DELETE with ?pool= rolls a running one
// back and returns it. Daemons without the settings for rollouts answer not_found.
const PathRollout = "/operator/v1/rollout"

// RolloutOrder moves the traffic of a pool to the upstreams of a software version. The same
// order may be sent again; another one conflicts while a rollout of the pool runs.
type RolloutOrder struct {
	Pool    string  `json:"pool"`
	Target  string  `json:"target"`
	Seconds float64 `json:"duration_s"`
}

// Rollout is the state of a pool's last rollout.
type Rollout struct {
	Pool   string `json:"pool"`
	Target string `json:"target"`
	// Number counts the orders of the pool, from 1.
	Number uint64 `json:"number"`
	// Phase is "trial", "shift", "settle", "completed" or "rolled_back"; the last two are
	// final.
	Phase   string  `json:"phase"`
	Seconds float64 `json:"duration_s"`
	// ElapsedSeconds is the time from the order to the last commit.
	ElapsedSeconds float64 `json:"elapsed_s"`
	// Requests is a lower bound of the requests to the pool since the order, and Reserved an
	// upper bound of those that the target may have got; both up to the settle phase.
	Requests uint64 `json:"requests"`
	Reserved uint64 `json:"reserved"`
	// Reason is why the rollout ended.
	Reason string `json:"reason,omitempty"`
}
