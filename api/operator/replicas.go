package operator

// Paths about the replicas.
const (
	// PathReplicas answers a list of Replica by GET; DELETE with ?name= takes a
	// replica out of the group.
	PathReplicas = "/operator/v1/replicas"
	// PathBackup answers a Backup.
	PathBackup = "/operator/v1/backup"
)

// Backup holds a snapshot of the durable state.
type Backup struct {
	Snapshot []byte `json:"snapshot"`
}

// Replica is one replica's own position in the log.
type Replica struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Role is "leader", "follower", "candidate", or "new" before it has joined.
	Role   string `json:"role"`
	Term   uint64 `json:"term"`
	Leader string `json:"leader,omitempty"`
	// Last, Committed and Applied are log indexes.
	Last      uint64 `json:"last"`
	Committed uint64 `json:"committed"`
	Applied   uint64 `json:"applied"`
	// Version is the accepted configuration's as far as applied here.
	Version uint64 `json:"version"`
	// Lag is how many entries it lacks, as far as the leader knows.
	Lag uint64 `json:"lag"`
	// Voter says that the replica counts for commits.
	Voter bool `json:"voter"`
	// Error says why the replica does not answer or stands still.
	Error string `json:"error,omitempty"`
}
